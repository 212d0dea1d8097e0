//! The router: one step for each event.

use crate::{
    Input, Output, RequestId, RouterConfig,
    budget::RetryBudget,
    choose::{ALL_PASSES, Block, Pass},
    request::{Request, Stage},
    snapshot::Counters,
    table::Table,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use types::{
    DrainTarget, EntryName, EntrySpec, Priority, Refusal, ResourceName, ShiftSpec, TimeUs,
};

/// Grants are counted in rounds of this many to keep browsing its part.
const ROUND_PERCENT: u32 = 100;

/// How long requests wait for a link or the cap before room is looked for again.
const RETRY_US: u64 = 5_000;

/// Decides for one entry which upstream runs each request, and which requests run at all.
#[derive(Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    pub(crate) table: Table,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) drains: BTreeMap<ResourceName, DrainTarget>,
    pub(crate) entries: BTreeMap<EntryName, EntrySpec>,
    pub(crate) inactive_entries: BTreeSet<EntryName>,
    pub(crate) shifts: BTreeMap<ResourceName, ShiftSpec>,
    pub(crate) budget: RetryBudget,
    /// Ends of closures and ejections.
    pub(crate) wakeups: BTreeSet<(TimeUs, usize)>,
    pub(crate) rng: SmallRng,
    pub(crate) counters: Counters,
    /// Services with requests that wait.
    waiting: BTreeSet<usize>,
    /// Requests that wait, by deadline.
    deadlines: BTreeSet<(TimeUs, RequestId)>,
    /// Percent points that browsing is owed.
    browse_credit: u32,
}

impl Router {
    /// A router that knows nothing but its configuration.
    #[must_use]
    pub fn new(config: RouterConfig) -> Self {
        Self {
            table: Table::new(&config.region, &config.failure_domain, config.limits.cap),
            rng: SmallRng::seed_from_u64(config.seed),
            config,
            requests: HashMap::new(),
            drains: BTreeMap::new(),
            entries: BTreeMap::new(),
            inactive_entries: BTreeSet::new(),
            shifts: BTreeMap::new(),
            budget: RetryBudget::new(),
            wakeups: BTreeSet::new(),
            counters: Counters::default(),
            waiting: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            browse_credit: 0,
        }
    }

    /// Takes one event and adds what follows from it to `outputs`.
    pub fn step(&mut self, now_us: TimeUs, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.expire(now_us, outputs);
        self.wake(now_us);
        match input {
            Input::Declared(resource) => self.declared(resource, outputs),
            Input::Withdrawn(resource) => self.withdrawn(resource, outputs),
            Input::Upstream { name, announcement } => self.announced(name, announcement),
            Input::UpstreamGone { name } => self.upstream_gone(name),
            Input::Arrive {
                request,
                service,
                deadline_us,
                idempotent,
            } => {
                self.arrive(now_us, request, service, deadline_us, idempotent, outputs);
                return;
            }
            Input::Answering { request } => {
                self.answering(request);
                return;
            }
            Input::Ended { request, ending } => self.ended(now_us, request, ending, outputs),
            Input::Share {
                region,
                slots,
                expires_us,
            } => {
                let id = self.table.region_id(region);
                self.table.regions[id].room.set_share(slots, expires_us);
            }
            Input::LinkShare {
                from,
                to,
                kbps,
                expires_us,
            } => {
                if *to == self.config.region {
                    let id = self.table.region_id(from);
                    self.table.regions[id].link.set_share(kbps, expires_us);
                }
            }
            Input::EntryActive { name, active } => self.entry_active(name, active),
            Input::Tick => self.roll_movers(now_us),
        }
        self.dispatch(now_us, outputs);
    }

    /// When the next [`Input::Tick`] is due, if no other event comes before; `None` while nothing
    /// waits and nothing is closed.
    #[must_use]
    pub fn next_tick_us(&self, now_us: TimeUs) -> Option<TimeUs> {
        let deadline_us = self.deadlines.first().map(|&(deadline_us, _)| deadline_us);
        let wakeup_us = self.wakeups.first().map(|&(until_us, _)| until_us);
        let waiting = !self.waiting.is_empty();
        let retry_us = waiting.then(|| now_us.after_us(RETRY_US));
        [deadline_us, wakeup_us, retry_us]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether requests of the service wait.
    pub(crate) fn is_waiting(&self, service: usize) -> bool {
        self.waiting.contains(&service)
    }

    /// Lets a request wait: behind the others, or before them when it was sent already.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Queued;
        request.tried.clear();
        let queue = &mut self.table.services[request.service].queue;
        if request.attempts == 0 {
            queue.push_back(id);
        } else {
            queue.push_front(id);
        }
        self.waiting.insert(request.service);
        self.deadlines.insert((request.deadline_us, id));
    }

    /// Takes a request out of its queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline_us, id));
        let queue = &mut self.table.services[request.service].queue;
        queue.remove(id);
        if queue.is_empty() {
            self.waiting.remove(&request.service);
        }
    }

    /// Gives room to requests that wait: critical ones first, and browsing its part.
    pub(crate) fn dispatch(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        for pass in ALL_PASSES {
            self.dispatch_pass(now_us, pass, outputs);
        }
        if self.waiting.is_empty() {
            self.browse_credit = 0;
        }
    }

    fn dispatch_pass(&mut self, now_us: TimeUs, pass: Pass, outputs: &mut Vec<Output>) {
        while !self.waiting.is_empty() {
            let first = match self.browse_credit >= ROUND_PERCENT {
                true => Priority::Browse,
                false => Priority::Critical,
            };
            let second = match first {
                Priority::Browse => Priority::Critical,
                Priority::Critical => Priority::Browse,
            };
            if !self.grant_one(now_us, first, pass, outputs)
                && !self.grant_one(now_us, second, pass, outputs)
            {
                return;
            }
        }
    }

    fn grant_one(
        &mut self,
        now_us: TimeUs,
        priority: Priority,
        pass: Pass,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let services: Vec<usize> = self
            .waiting
            .iter()
            .copied()
            .filter(|&id| self.table.services[id].priority == priority)
            .collect();
        for service in services {
            let Some(id) = self.table.services[service].queue.front() else {
                continue;
            };
            if self.place_queued(now_us, id, pass, outputs) {
                self.count_grant(priority);
                return true;
            }
        }
        false
    }

    fn count_grant(&mut self, priority: Priority) {
        match priority {
            Priority::Critical => self.browse_credit += self.config.limits.browse_percent,
            Priority::Browse => {
                self.browse_credit = self.browse_credit.saturating_sub(ROUND_PERCENT);
            }
        }
    }

    /// Tries to forward a request that waits; `true` when it left the queue.
    fn place_queued(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        pass: Pass,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        let choice = match self.is_too_late(now_us, &request) {
            true => Err(Block::Refuse(Refusal::Deadline)),
            false => self.choose(now_us, &request, &[pass]),
        };
        self.requests.insert(id, request);
        match choice {
            Ok(upstream) => {
                self.dequeue(id);
                self.forward(now_us, id, upstream, outputs);
                true
            }
            Err(Block::Wait(refusal)) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.blocked = refusal;
                }
                false
            }
            Err(Block::Refuse(refusal)) => {
                self.dequeue(id);
                self.settle(id, refusal, outputs);
                true
            }
        }
    }

    fn roll_movers(&mut self, now_us: TimeUs) {
        for service in &mut self.table.services {
            service.mover.roll(now_us);
        }
    }

    fn expire(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        while let Some(&(deadline_us, id)) = self.deadlines.first() {
            if !deadline_us.reached(now_us) {
                return;
            }
            let refusal = match self.requests.get(&id).map(|request| request.blocked) {
                Some(Refusal::NoCapacity) => Refusal::NoCapacity,
                _ => Refusal::Deadline,
            };
            self.dequeue(id);
            self.settle(id, refusal, outputs);
        }
    }
}
