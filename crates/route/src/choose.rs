//! The choice of an upstream for one attempt, under the policy, the shares, the links and the cap.

use crate::{
    Policy, request::Request, router::Router, service::Group, table::OWN_REGION, upstream::Upstream,
};
use rand::{Rng, rngs::SmallRng};
use types::{Refusal, TimeUs};

/// Random draws of an untried upstream before the whole list is searched.
const DRAWS_MAX: u32 = 4;

/// Which of the upstreams with room are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pass {
    /// Those with a free home slot.
    Home,
    /// The others, whose slots are borrowed.
    Borrow,
    /// Those in the region that a declared shift picked for the request.
    Shift,
}

/// Why a request can't be forwarded now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChoiceError {
    /// It may wait for room. The refusal applies to a new request that finds the queue full; a
    /// retry is refused with the reason of its last attempt. When the deadline passes in the queue,
    /// [`Refusal::NoCapacity`] stays, and any other becomes [`Refusal::Deadline`].
    Wait(Refusal),
    /// Waiting can't help; refuse it now.
    Refuse(Refusal),
}

/// The passes of every request, in order. The adaptive policy skips [`Pass::Borrow`] while no retry
/// token is left. [`Pass::Shift`] comes before them, but only for a request with a shift target,
/// and only while the cap lets it move.
pub(crate) const BASE_PASSES: [Pass; 2] = [Pass::Home, Pass::Borrow];

impl Router {
    /// Picks the upstream for a request's next attempt.
    pub(crate) fn choose(
        &mut self,
        now_us: TimeUs,
        request: &Request,
        passes: &[Pass],
    ) -> Result<usize, ChoiceError> {
        let service = &self.table.services[request.service];
        let usable = service.usable_count();
        if usable == 0 {
            return Err(ChoiceError::Refuse(Refusal::NoUpstream));
        }
        let adaptive = self.config.policy == Policy::Adaptive;
        if !adaptive && request.tried.len() >= usable {
            return Err(ChoiceError::Refuse(Refusal::UpstreamRefused));
        }
        let max_cost_us = match adaptive {
            true => service.max_cost_us(),
            false => u64::MAX,
        };
        let may_move = request.moved || service.shift.may_move();
        if !may_move && !service.is_home_usable() {
            return Err(ChoiceError::Refuse(Refusal::NoCapacity));
        }
        if request.shift_target.is_some() && may_move {
            let chosen = self.choose_in_pass(now_us, request, Pass::Shift, u64::MAX, true);
            if let Ok(Some(chosen)) = chosen {
                return Ok(chosen);
            }
        }
        let mut wait_reason = Refusal::Overloaded;
        for &pass in passes {
            if pass == Pass::Borrow && adaptive && !self.budget.has_token() {
                break;
            }
            match self.choose_in_pass(now_us, request, pass, max_cost_us, may_move) {
                Ok(Some(chosen)) => return Ok(chosen),
                Ok(None) => {}
                Err(refusal) => wait_reason = refusal,
            }
        }
        Err(ChoiceError::Wait(wait_reason))
    }

    fn choose_in_pass(
        &mut self,
        now_us: TimeUs,
        request: &Request,
        pass: Pass,
        max_cost_us: u64,
        may_move: bool,
    ) -> Result<Option<usize>, Refusal> {
        let Self {
            config,
            table,
            rng,
            counters,
            ..
        } = self;
        let mut wait_reason = None;
        let service = &mut table.services[request.service];
        let home = service.home_region();
        for group in &mut service.groups {
            counters.steps += 1;
            if pass == Pass::Shift && Some(group.region) != request.shift_target {
                continue;
            }
            let list_empty = match pass {
                Pass::Home => group.home.is_empty(),
                Pass::Borrow | Pass::Shift => group.borrowable.is_empty(),
            };
            let in_backoff = pass != Pass::Home && !group.backoff_until_us.reached(now_us);
            if list_empty || in_backoff || group.cost_us > max_cost_us {
                continue;
            }
            if Some(group.region) != home && !may_move {
                wait_reason = Some(Refusal::NoCapacity);
                continue;
            }
            let region = &table.regions[group.region];
            let link_has_room = group.region == OWN_REGION
                || region
                    .link
                    .has_room(now_us, config.fallback, config.limits.link_burst_us);
            if !link_has_room || !region.allowance.has_room(now_us, config.fallback) {
                wait_reason = Some(Refusal::NoCapacity);
                continue;
            }
            let mut picker = Picker {
                upstreams: &table.upstreams,
                tried: &request.tried,
                rng,
                steps: &mut counters.steps,
            };
            if let Some(chosen) = picker.pick(config.policy, pass, group) {
                return Ok(Some(chosen));
            }
        }
        wait_reason.map_or(Ok(None), Err)
    }
}

/// Picks an untried upstream within one group.
struct Picker<'a> {
    upstreams: &'a [Upstream],
    tried: &'a [usize],
    rng: &'a mut SmallRng,
    steps: &'a mut u64,
}

impl Picker<'_> {
    fn pick(&mut self, policy: Policy, pass: Pass, group: &mut Group) -> Option<usize> {
        match (policy, pass) {
            (Policy::NearestRoundRobin, _) => self.next_in_turn(group),
            (Policy::LeastReportedLoad, _) => self.least_reported(&group.borrowable),
            (Policy::Adaptive, Pass::Home) => self.less_loaded_of_two(&group.home),
            (Policy::PowerOfTwo | Policy::Adaptive, _) => {
                self.less_loaded_of_two(&group.borrowable)
            }
        }
    }

    fn next_in_turn(&mut self, group: &mut Group) -> Option<usize> {
        let count = group.members.len();
        for offset in 0..count {
            *self.steps += 1;
            let position = (group.cursor + offset) % count;
            let id = group.members[position];
            if self.upstreams[id].has_room() && !self.tried.contains(&id) {
                group.cursor = position + 1;
                return Some(id);
            }
        }
        None
    }

    fn least_reported(&mut self, candidates: &[usize]) -> Option<usize> {
        *self.steps += candidates.len() as u64;
        // Starts at a random position, so that equal loads are chosen equally often.
        let start = self.rng.random_range(0..candidates.len());
        let (before, after) = candidates.split_at(start);
        after
            .iter()
            .chain(before)
            .copied()
            .filter(|id| !self.tried.contains(id))
            .min_by_key(|&id| {
                let upstream = &self.upstreams[id];
                u64::from(upstream.reported_load) * 1_000 / u64::from(upstream.slots.max(1))
            })
    }

    fn less_loaded_of_two(&mut self, candidates: &[usize]) -> Option<usize> {
        let first = self.random_untried(candidates)?;
        let second = self.random_untried(candidates)?;
        Some(if self.is_less_loaded(second, first) {
            second
        } else {
            first
        })
    }

    fn random_untried(&mut self, candidates: &[usize]) -> Option<usize> {
        for _ in 0..DRAWS_MAX {
            *self.steps += 1;
            let id = candidates[self.rng.random_range(0..candidates.len())];
            if !self.tried.contains(&id) {
                return Some(id);
            }
        }
        *self.steps += candidates.len() as u64;
        candidates
            .iter()
            .copied()
            .find(|id| !self.tried.contains(id))
    }

    /// Compares the fractions of slots in use; cross-multiplies to avoid a division.
    fn is_less_loaded(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.upstreams[a], &self.upstreams[b]);
        u64::from(a.in_flight) * u64::from(b.slots) < u64::from(b.in_flight) * u64::from(a.slots)
    }
}
