//! The choice of an upstream by each policy.

use crate::{
    Policy, request::Request, router::Router, service::Group, table::OWN_REGION, upstream::Upstream,
};
use rand::{Rng, rngs::SmallRng};
use types::{Refusal, TimeUs};

/// Random draws before every upstream with room is looked at.
const DRAWS: u32 = 4;

/// Which upstreams with room are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pass {
    /// Those with a free slot that was dealt to this entry.
    Home,
    /// The others.
    Borrow,
    /// Those in the region that a declared shift sends the request to.
    Shift,
}

/// Why a request can't be forwarded now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Block {
    /// It may wait; the refusal is what it gets when the wait ends without room.
    Wait(Refusal),
    /// Waiting doesn't help.
    Refuse(Refusal),
}

/// All passes, in their order.
pub(crate) const ALL_PASSES: [Pass; 2] = [Pass::Home, Pass::Borrow];

impl Router {
    /// The upstream for a request, or why there is none now.
    pub(crate) fn choose(
        &mut self,
        now_us: TimeUs,
        request: &Request,
        passes: &[Pass],
    ) -> Result<usize, Block> {
        let service = &self.table.services[request.service];
        let usable = service.usable();
        if usable == 0 {
            return Err(Block::Refuse(Refusal::NoUpstream));
        }
        let adaptive = self.config.policy == Policy::Adaptive;
        if !adaptive && request.tried.len() >= usable {
            return Err(Block::Refuse(Refusal::UpstreamRefused));
        }
        let reach_us = match adaptive {
            true => service.reach_us(),
            false => u64::MAX,
        };
        let may_move = request.moved || service.mover.may_move();
        if !may_move && !service.is_home_usable() {
            return Err(Block::Refuse(Refusal::NoCapacity));
        }
        if request.sent_to.is_some() && may_move {
            let chosen = self.choose_in_pass(now_us, request, Pass::Shift, u64::MAX, true);
            if let Ok(Some(chosen)) = chosen {
                return Ok(chosen);
            }
        }
        let mut blocked = Refusal::Overloaded;
        for &pass in passes {
            if pass == Pass::Borrow && adaptive && !self.budget.has_token() {
                break;
            }
            match self.choose_in_pass(now_us, request, pass, reach_us, may_move) {
                Ok(Some(chosen)) => return Ok(chosen),
                Ok(None) => {}
                Err(refusal) => blocked = refusal,
            }
        }
        Err(Block::Wait(blocked))
    }

    fn choose_in_pass(
        &mut self,
        now_us: TimeUs,
        request: &Request,
        pass: Pass,
        reach_us: u64,
        may_move: bool,
    ) -> Result<Option<usize>, Refusal> {
        let Self {
            config,
            table,
            rng,
            counters,
            ..
        } = self;
        let mut blocked = None;
        let service = &mut table.services[request.service];
        let home = service.home_region();
        for group in &mut service.groups {
            counters.steps += 1;
            if pass == Pass::Shift && Some(group.region) != request.sent_to {
                continue;
            }
            let list_empty = match pass {
                Pass::Home => group.home.is_empty(),
                Pass::Borrow | Pass::Shift => group.open.is_empty(),
            };
            let closed = pass != Pass::Home && !group.closed_until_us.reached(now_us);
            if list_empty || closed || group.cost_us > reach_us {
                continue;
            }
            if Some(group.region) != home && !may_move {
                blocked = Some(Refusal::NoCapacity);
                continue;
            }
            let region = &table.regions[group.region];
            let link_open = group.region == OWN_REGION
                || region
                    .link
                    .has_room(now_us, config.fallback, config.limits.link_burst_us);
            if !link_open || !region.room.has_room(now_us, config.fallback) {
                blocked = Some(Refusal::NoCapacity);
                continue;
            }
            let mut draw = Draw {
                upstreams: &table.upstreams,
                tried: &request.tried,
                rng,
                steps: &mut counters.steps,
            };
            if let Some(chosen) = draw.pick(config.policy, pass, group) {
                return Ok(Some(chosen));
            }
        }
        blocked.map_or(Ok(None), Err)
    }
}

/// One choice within a group.
struct Draw<'a> {
    upstreams: &'a [Upstream],
    tried: &'a [usize],
    rng: &'a mut SmallRng,
    steps: &'a mut u64,
}

impl Draw<'_> {
    fn pick(&mut self, policy: Policy, pass: Pass, group: &mut Group) -> Option<usize> {
        match (policy, pass) {
            (Policy::NearestRoundRobin, _) => self.next_in_turn(group),
            (Policy::LeastReportedLoad, _) => self.least_reported(&group.open),
            (Policy::Adaptive, Pass::Home) => self.less_loaded_of_two(&group.home),
            (Policy::PowerOfTwo | Policy::Adaptive, _) => self.less_loaded_of_two(&group.open),
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

    fn least_reported(&mut self, open: &[usize]) -> Option<usize> {
        *self.steps += open.len() as u64;
        let start = self.rng.random_range(0..open.len());
        let (before, after) = open.split_at(start);
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

    fn less_loaded_of_two(&mut self, open: &[usize]) -> Option<usize> {
        let first = self.any(open)?;
        let second = self.any(open)?;
        Some(if self.is_less_loaded(second, first) {
            second
        } else {
            first
        })
    }

    fn any(&mut self, open: &[usize]) -> Option<usize> {
        for _ in 0..DRAWS {
            *self.steps += 1;
            let id = open[self.rng.random_range(0..open.len())];
            if !self.tried.contains(&id) {
                return Some(id);
            }
        }
        *self.steps += open.len() as u64;
        open.iter().copied().find(|id| !self.tried.contains(id))
    }

    /// Compares parts of slots taken without division.
    fn is_less_loaded(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.upstreams[a], &self.upstreams[b]);
        u64::from(a.in_flight) * u64::from(b.slots) < u64::from(b.in_flight) * u64::from(a.slots)
    }
}
