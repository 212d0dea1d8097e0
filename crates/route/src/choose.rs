//! The choice of an upstream by each policy.

use crate::{
    Policy,
    request::Request,
    router::Router,
    table::{Group, OWN_REGION},
    upstream::Upstream,
};
use rand::{Rng, rngs::SmallRng};
use types::{Refusal, TimeUs};

/// Random draws before every upstream with room is looked at.
const DRAWS: u32 = 4;

impl Router {
    /// The upstream for a request, or why there is none now.
    pub(crate) fn choose(&mut self, now_us: TimeUs, request: &Request) -> Result<usize, Refusal> {
        let Self {
            config,
            table,
            rng,
            counters,
            ..
        } = self;
        let service = &mut table.services[request.service];
        let usable = service.usable();
        if usable == 0 {
            return Err(Refusal::NoUpstream);
        }
        if request.tried.len() >= usable {
            return Err(Refusal::UpstreamRefused);
        }
        let mut blocked = Refusal::Overloaded;
        for group in &mut service.groups {
            counters.steps += 1;
            if group.open.is_empty() {
                continue;
            }
            let region = &table.regions[group.region];
            let link_open = group.region == OWN_REGION
                || region
                    .link
                    .has_room(now_us, config.fallback, config.limits.link_burst_us);
            if !link_open || !region.room.has_room(now_us, config.fallback) {
                blocked = Refusal::NoCapacity;
                continue;
            }
            let mut draw = Draw {
                upstreams: &table.upstreams,
                tried: &request.tried,
                rng,
                steps: &mut counters.steps,
            };
            if let Some(chosen) = draw.pick(config.policy, group) {
                return Ok(chosen);
            }
        }
        Err(blocked)
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
    fn pick(&mut self, policy: Policy, group: &mut Group) -> Option<usize> {
        match policy {
            Policy::NearestRoundRobin => self.next_in_turn(group),
            Policy::LeastReportedLoad => self.least_reported(&group.open),
            Policy::PowerOfTwo => self.less_loaded_of_two(&group.open),
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
