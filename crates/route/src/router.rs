//! The router's state, its event handler, the dispatch of queued requests and their expiry.

use crate::{
    Input, Output, RequestId, RouterConfig,
    budget::RetryBudget,
    choose::{BASE_PASSES, ChoiceError, Pass},
    request::{Request, Stage},
    snapshot::Counters,
    table::Table,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use types::{
    DrainTarget, EntryName, EntrySpec, Priority, Refusal, ResourceName, ShiftSpec, TimeUs,
};

/// Credit, in percent of one request, that lets a browse request leave the queue before critical
/// ones, and that it uses up by doing so.
const DISPATCH_CREDIT_PERCENT: u32 = 100;

/// How often queued requests are checked again: a link or the cap can gain room without an event.
const RECHECK_US: u64 = 5_000;

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
    /// When a backoff or an ejection ends, with the upstream's index.
    pub(crate) suspension_ends: BTreeSet<(TimeUs, usize)>,
    pub(crate) rng: SmallRng,
    pub(crate) counters: Counters,
    /// Services with queued requests.
    waiting_services: BTreeSet<usize>,
    /// Queued requests by deadline.
    deadlines: BTreeSet<(TimeUs, RequestId)>,
    /// Unused credit of browse requests, in percent of a request: each critical request taken from
    /// a queue adds `browse_percent`, each browse request takes 100; reset when all queues are
    /// empty.
    browse_credit_percent: u32,
}

impl Router {
    /// A router without resources, upstreams or shares.
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
            suspension_ends: BTreeSet::new(),
            counters: Counters::default(),
            waiting_services: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            browse_credit_percent: 0,
        }
    }

    /// Handles one event and appends the resulting actions to `outputs`.
    pub fn step(&mut self, now_us: TimeUs, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.expire_queued(now_us, outputs);
        self.end_suspensions(now_us);
        match input {
            Input::Declared(resource) => self.handle_declared(resource, outputs),
            Input::Withdrawn(resource) => self.handle_withdrawn(resource, outputs),
            Input::Upstream { name, announcement } => self.handle_announcement(name, announcement),
            Input::UpstreamExpired { name } => self.handle_upstream_expired(name),
            Input::Arrive {
                request,
                service,
                deadline_us,
                idempotent,
            } => {
                self.handle_arrival(now_us, request, service, deadline_us, idempotent, outputs);
                return;
            }
            Input::Answering { request } => {
                self.handle_answering(request);
                return;
            }
            Input::Ended { request, ending } => self.handle_ended(now_us, request, ending, outputs),
            Input::Share {
                region,
                slots,
                expires_us,
            } => {
                let id = self.table.region_id_or_insert(region);
                self.table.regions[id]
                    .allowance
                    .set_share(slots, expires_us);
            }
            Input::LinkShare {
                from,
                to,
                kbps,
                expires_us,
            } => {
                if *to == self.config.region {
                    let id = self.table.region_id_or_insert(from);
                    self.table.regions[id].link.set_share(kbps, expires_us);
                }
            }
            Input::EntryActive { name, active } => self.handle_entry_active(name, active),
            Input::Tick => self.advance_shifts(now_us),
        }
        self.dispatch(now_us, outputs);
    }

    /// When the next [`Input::Tick`] is due if no other event comes first; `None` while no request
    /// is queued and no upstream is in backoff or ejected.
    #[must_use]
    pub fn next_tick_us(&self, now_us: TimeUs) -> Option<TimeUs> {
        let deadline_us = self.deadlines.first().map(|&(deadline_us, _)| deadline_us);
        let suspension_end_us = self.suspension_ends.first().map(|&(until_us, _)| until_us);
        let waiting = !self.waiting_services.is_empty();
        let recheck_us = waiting.then(|| now_us.after_us(RECHECK_US));
        [deadline_us, suspension_end_us, recheck_us]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether the service has queued requests.
    pub(crate) fn has_queued(&self, service: usize) -> bool {
        self.waiting_services.contains(&service)
    }

    /// Queues a request: at the back, or at the front if it was forwarded before.
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
        self.waiting_services.insert(request.service);
        self.deadlines.insert((request.deadline_us, id));
    }

    /// Removes a request from its queue and the deadline index.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline_us, id));
        let queue = &mut self.table.services[request.service].queue;
        queue.remove(id);
        if queue.is_empty() {
            self.waiting_services.remove(&request.service);
        }
    }

    /// Forwards queued requests while there is room, and refuses those that can't finish in time or
    /// can't be forwarded at all. The pass for home slots is complete before the one for borrowed
    /// slots starts. Within a pass critical requests go first, unless browse requests have enough
    /// credit.
    pub(crate) fn dispatch(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        for pass in BASE_PASSES {
            self.dispatch_pass(now_us, pass, outputs);
        }
        if self.waiting_services.is_empty() {
            self.browse_credit_percent = 0;
        }
    }

    fn dispatch_pass(&mut self, now_us: TimeUs, pass: Pass, outputs: &mut Vec<Output>) {
        while !self.waiting_services.is_empty() {
            let first = match self.browse_credit_percent >= DISPATCH_CREDIT_PERCENT {
                true => Priority::Browse,
                false => Priority::Critical,
            };
            let second = match first {
                Priority::Browse => Priority::Critical,
                Priority::Critical => Priority::Browse,
            };
            if !self.dispatch_one(now_us, first, pass, outputs)
                && !self.dispatch_one(now_us, second, pass, outputs)
            {
                return;
            }
        }
    }

    fn dispatch_one(
        &mut self,
        now_us: TimeUs,
        priority: Priority,
        pass: Pass,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let services: Vec<usize> = self
            .waiting_services
            .iter()
            .copied()
            .filter(|&id| self.table.services[id].priority == priority)
            .collect();
        for service in services {
            let Some(id) = self.table.services[service].queue.front() else {
                continue;
            };
            if self.process_queued(now_us, id, pass, outputs) {
                self.count_dispatched(priority);
                return true;
            }
        }
        false
    }

    fn count_dispatched(&mut self, priority: Priority) {
        match priority {
            Priority::Critical => self.browse_credit_percent += self.config.limits.browse_percent,
            Priority::Browse => {
                self.browse_credit_percent = self
                    .browse_credit_percent
                    .saturating_sub(DISPATCH_CREDIT_PERCENT);
            }
        }
    }

    /// Forwards or refuses a queued request; `false` when it has to stay in the queue.
    fn process_queued(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        pass: Pass,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        let choice = match self.would_miss_deadline(now_us, &request) {
            true => Err(ChoiceError::Refuse(Refusal::Deadline)),
            false => self.choose(now_us, &request, &[pass]),
        };
        self.requests.insert(id, request);
        match choice {
            Ok(upstream) => {
                self.dequeue(id);
                self.forward(now_us, id, upstream, outputs);
                true
            }
            Err(ChoiceError::Wait(refusal)) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.wait_reason = refusal;
                }
                false
            }
            Err(ChoiceError::Refuse(refusal)) => {
                self.dequeue(id);
                self.settle(id, refusal, outputs);
                true
            }
        }
    }

    fn advance_shifts(&mut self, now_us: TimeUs) {
        for service in &mut self.table.services {
            service.shift.advance(now_us);
        }
    }

    fn expire_queued(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        while let Some(&(deadline_us, id)) = self.deadlines.first() {
            if !deadline_us.reached(now_us) {
                return;
            }
            let refusal = match self.requests.get(&id).map(|request| request.wait_reason) {
                Some(Refusal::NoCapacity) => Refusal::NoCapacity,
                _ => Refusal::Deadline,
            };
            self.dequeue(id);
            self.settle(id, refusal, outputs);
        }
    }
}
