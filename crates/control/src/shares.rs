//! The shares of capacities and links that this replica hands out while it surely leads.
//!
//! A replica leads surely for a while after a majority answered a round that began after it asked:
//! until then none of them votes for another. Only in that time are shares handed out.

use raft::Status;
use share::{Allocator, Grant, HolderId, Pool, PoolRow, Want};
use state::State;
use std::collections::BTreeSet;
use types::{Key, Kind, RegionName, Resource, ResourceName, Spec, TimeUs};

/// The name of the reads by which the leader makes sure that it leads; no request has it.
pub(crate) const LEADERSHIP_READ: u64 = 0;

/// The period of these reads.
const CONFIRM_PERIOD_MS: u64 = 200;

/// The leader stops making sure when no entry wanted anything for this long.
const WANTED_WITHIN_MS: u64 = 5_000;

/// What is taken off the time for which followers refuse votes, since clocks differ.
const CLOCK_DRIFT_PERCENT: u64 = share::CLOCK_DRIFT_PERCENT;

/// Leadership of one term.
#[derive(Debug)]
struct Leadership {
    term: u64,
    /// Resources declared after this index were declared under this leadership.
    began_index: u64,
    allocator: Allocator,
    asked_us: Option<TimeUs>,
    next_ask_us: TimeUs,
    wanted_until_us: TimeUs,
    sure_until_us: TimeUs,
    limits_revision: u64,
}

/// The shares of the current leadership, if this replica leads.
#[derive(Debug)]
pub(crate) struct Shares {
    election_us: u64,
    leadership: Option<Leadership>,
}

impl Shares {
    /// No leadership.
    pub(crate) const fn new(election_us: u64) -> Self {
        Self {
            election_us,
            leadership: None,
        }
    }

    /// Follows the role of the replica.
    pub(crate) fn follow(&mut self, leads: bool, status: &Status, now_us: TimeUs) {
        let known = self
            .leadership
            .as_ref()
            .is_some_and(|known| known.term == status.term);
        match (leads, known) {
            (true, true) => {}
            (true, false) => {
                self.leadership = Some(Leadership {
                    term: status.term,
                    began_index: status.last_index,
                    allocator: Allocator::new(status.term, now_us, 0),
                    asked_us: None,
                    next_ask_us: now_us,
                    wanted_until_us: now_us,
                    sure_until_us: TimeUs::default(),
                    limits_revision: 0,
                });
            }
            (false, _) => self.leadership = None,
        }
    }

    /// Whether it is time to make sure that this replica leads; the caller then reads.
    pub(crate) fn asks(&mut self, now_us: TimeUs) -> bool {
        let Some(leadership) = &mut self.leadership else {
            return false;
        };
        let wanted = !leadership.wanted_until_us.reached(now_us);
        if !wanted || leadership.asked_us.is_some() || !leadership.next_ask_us.reached(now_us) {
            return false;
        }
        leadership.asked_us = Some(now_us);
        leadership.next_ask_us = now_us.after_ms(CONFIRM_PERIOD_MS);
        true
    }

    /// A majority answered the read.
    pub(crate) fn confirmed(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if let Some(asked_us) = leadership.asked_us.take() {
            let sure_us = self.election_us * (100 - CLOCK_DRIFT_PERCENT) / 100;
            leadership.sure_until_us = asked_us.after_us(sure_us);
        }
    }

    /// The read was not taken.
    pub(crate) fn unconfirmed(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.asked_us = None;
        }
    }

    /// Answers an entry's wants; nothing unless this replica surely leads and has applied all that
    /// earlier leaders committed.
    pub(crate) fn grant(
        &mut self,
        now_us: TimeUs,
        state: &State,
        applied_term: Option<u64>,
        holder: &HolderId,
        wants: &[Want],
    ) -> Vec<Grant> {
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        if !wants.is_empty() {
            leadership.wanted_until_us = now_us.after_ms(WANTED_WITHIN_MS);
        }
        if leadership.sure_until_us.reached(now_us) || applied_term != Some(leadership.term) {
            return Vec::new();
        }
        leadership.follow_limits(state);
        let allocator = &mut leadership.allocator;
        let stands_in = standing_region(state, holder);
        let ask = |want| allocator.ask(now_us, holder, is_near(stands_in, want), want);
        wants.iter().filter_map(ask).collect()
    }

    /// Every pool, for the dump.
    pub(crate) fn rows(&self) -> Vec<PoolRow> {
        self.leadership
            .iter()
            .flat_map(|leadership| leadership.allocator.rows())
            .collect()
    }
}

impl Leadership {
    /// Takes the declared figures when they changed.
    fn follow_limits(&mut self, state: &State) {
        if self.limits_revision == state.revision() && self.limits_revision != 0 {
            return;
        }
        self.limits_revision = state.revision();
        self.allocator
            .set_longest_deadline_ms(longest_deadline_ms(state));
        let mut declared = BTreeSet::new();
        for kind in [Kind::Region, Kind::Link] {
            // What is declared again may still be held under a grant of an earlier leader.
            let first = !state.may_have_withdrawn(kind);
            for resource in state.resources(Some(kind)) {
                let is_new = first && resource.version == 1 && resource.revision > self.began_index;
                for (pool, limit) in pools(resource) {
                    match is_new {
                        true => self.allocator.set_first_limit(&pool, limit),
                        false => self.allocator.set_limit(&pool, limit),
                    }
                    declared.insert(pool);
                }
            }
        }
        self.allocator.keep_only(&declared);
    }
}

/// The pools of a resource with the operators' figures.
fn pools(resource: &Resource) -> Vec<(Pool, u64)> {
    match &resource.spec {
        Spec::Region(region) => resource
            .name
            .as_str()
            .parse()
            .map(|name| (Pool::Region { region: name }, region.capacity_slots.into()))
            .into_iter()
            .collect(),
        Spec::Link(link) => {
            let (a, b) = (link.a.clone(), link.b.clone());
            let there = Pool::Link {
                from: a.clone(),
                to: b.clone(),
            };
            let back = Pool::Link { from: b, to: a };
            vec![(there, link.limit_kbps), (back, link.limit_kbps)]
        }
        Spec::Service(_) | Spec::Entry(_) | Spec::Shift(_) | Spec::Drain(_) => Vec::new(),
    }
}

/// The region in which a declared entry stands.
fn standing_region<'a>(state: &'a State, holder: &HolderId) -> Option<&'a RegionName> {
    let name = ResourceName::new(holder.entry.as_str()).ok()?;
    match &state
        .get(&Key {
            kind: Kind::Entry,
            name,
        })?
        .spec
    {
        Spec::Entry(entry) => Some(&entry.region),
        _ => None,
    }
}

/// Whether an entry stands where the wanted pool's limit holds; every user of a link does.
fn is_near(stands_in: Option<&RegionName>, want: &Want) -> bool {
    match &want.pool {
        Pool::Region { region } => stands_in == Some(region),
        Pool::Link { .. } => true,
    }
}

fn longest_deadline_ms(state: &State) -> u64 {
    let deadlines =
        state
            .resources(Some(Kind::Service))
            .filter_map(|resource| match &resource.spec {
                Spec::Service(service) => Some(service.deadline_ms),
                _ => None,
            });
    deadlines.max().unwrap_or(0)
}
