//! The life of a request: arrival, admission, forwarding, the end of an attempt, and retry or
//! refusal.

use crate::{
    Ending, Output, RequestId, Settled,
    choose::{BASE_PASSES, ChoiceError},
    request::{Request, Stage},
    router::Router,
    table::OWN_REGION,
};
use types::{Outcome, Refusal, ServiceName, TimeUs};

impl Router {
    pub(crate) fn handle_arrival(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        service: &ServiceName,
        deadline_us: TimeUs,
        idempotent: bool,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.arrived += 1;
        self.budget.earn(self.config.limits.retry_percent);
        let service = self.table.service_id(service);
        let Some(service) = service.filter(|&id| self.table.services[id].declared) else {
            self.refuse(id, Refusal::UnknownService, outputs);
            return;
        };
        if deadline_us.reached(now_us) {
            self.refuse(id, Refusal::Deadline, outputs);
            return;
        }
        let request = Request {
            service,
            deadline_us,
            idempotent,
            may_have_run: false,
            shift_target: self.table.services[service].shift.record_arrival(now_us),
            moved: false,
            attempts: 0,
            tried: Vec::new(),
            wait_reason: Refusal::Overloaded,
            stage: Stage::Queued,
        };
        self.admit(now_us, id, request, outputs);
    }

    fn admit(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        mut request: Request,
        outputs: &mut Vec<Output>,
    ) {
        let choice = match self.has_queued(request.service) {
            true => Err(ChoiceError::Wait(Refusal::Overloaded)),
            false => self.choose(now_us, &request, &BASE_PASSES),
        };
        let service = &self.table.services[request.service];
        let queue_full = service.queue.len() >= self.config.limits.queue_requests;
        match choice {
            Ok(upstream) => {
                self.requests.insert(id, request);
                self.forward(now_us, id, upstream, outputs);
            }
            Err(ChoiceError::Wait(_)) if self.would_miss_deadline_after_wait(now_us, &request) => {
                self.refuse(id, Refusal::Deadline, outputs);
            }
            Err(ChoiceError::Wait(refusal)) if !queue_full => {
                request.wait_reason = refusal;
                self.requests.insert(id, request);
                self.enqueue(id);
            }
            Err(ChoiceError::Wait(refusal) | ChoiceError::Refuse(refusal)) => {
                self.refuse(id, refusal, outputs)
            }
        }
    }

    pub(crate) fn forward(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        upstream_id: usize,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let upstream = &mut self.table.upstreams[upstream_id];
        let region = &mut self.table.regions[upstream.region];
        request.attempts += 1;
        request.tried.push(upstream_id);
        request.stage = Stage::Forwarded {
            upstream: upstream_id,
            region: upstream.region,
            since_us: now_us,
            borrowed: !upstream.has_home_room(),
            answering: false,
        };
        let service = &mut self.table.services[request.service];
        service.in_flight += 1;
        if Some(upstream.region) != service.home_region() && !request.moved {
            request.moved = true;
            service.shift.record_moved();
        }
        upstream.in_flight += 1;
        region.allowance.start_request();
        if upstream.region != OWN_REGION {
            let bytes = service.answer_bytes;
            region.link.reserve(now_us, bytes);
        }
        outputs.push(Output::Forward {
            request: id,
            upstream: upstream.name.clone(),
            address: upstream.address,
            region: region.name.clone(),
            failure_domain: upstream.failure_domain.clone(),
            attempt: request.attempts,
            deadline_us: request.deadline_us,
        });
        self.counters.forwarded += 1;
        self.table.refresh_open_list(upstream_id);
    }

    pub(crate) fn handle_answering(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Stage::Forwarded { answering, .. } = &mut request.stage
        {
            *answering = true;
        }
    }

    pub(crate) fn handle_ended(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        ending: Ending,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Forwarded {
            upstream,
            region,
            since_us,
            borrowed,
            answering,
        } = request.stage
        else {
            self.handle_ended_in_queue(id, ending);
            return;
        };
        let (request_service, idempotent) = (request.service, request.idempotent);
        request.may_have_run |= answering || ending == Ending::Broken;
        self.release_slot(request_service, upstream, region);
        self.record_ending(now_us, upstream, since_us, borrowed, ending);
        self.table.remove_if_unused(upstream);
        match ending {
            Ending::Finished { .. } => self.finish(id),
            Ending::CutShort => self.drop_request(id),
            Ending::Cancelled => {
                outputs.push(Output::Cancel { request: id });
                self.counters.cancelled += 1;
                self.drop_request(id);
            }
            _ if answering => self.settle(id, Refusal::UpstreamRefused, outputs),
            Ending::NotSent => self.retry(now_us, id, Refusal::NoUpstream, outputs),
            // The request did not run, so it is retried even if no token is left.
            Ending::Refused => {
                self.budget.spend();
                self.retry(now_us, id, Refusal::UpstreamRefused, outputs);
            }
            Ending::Broken if idempotent && self.budget.spend() => {
                self.retry(now_us, id, Refusal::UpstreamRefused, outputs);
            }
            Ending::Broken => self.settle(id, Refusal::UpstreamRefused, outputs),
        }
    }

    fn handle_ended_in_queue(&mut self, id: RequestId, ending: Ending) {
        if ending == Ending::Cancelled {
            self.counters.cancelled += 1;
            self.dequeue(id);
            self.drop_request(id);
        }
    }

    fn release_slot(&mut self, service: usize, upstream: usize, region: usize) {
        self.table.services[service].in_flight -= 1;
        self.table.regions[region].allowance.in_flight -= 1;
        self.table.upstreams[upstream].in_flight -= 1;
        self.table.refresh_open_list(upstream);
    }

    fn retry(
        &mut self,
        now_us: TimeUs,
        id: RequestId,
        refusal: Refusal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let declared = self.table.services[request.service].declared;
        let may_retry = declared
            && request.attempts < self.config.limits.attempts
            && !request.deadline_us.reached(now_us);
        let choice = match may_retry {
            true => self.choose(now_us, &request, &BASE_PASSES),
            false => Err(ChoiceError::Refuse(refusal)),
        };
        let queued = self.table.services[request.service].queue.len();
        let queue_full = queued >= self.config.limits.queue_requests;
        self.requests.insert(id, request);
        match choice {
            Ok(upstream) => {
                self.counters.retried += 1;
                self.forward(now_us, id, upstream, outputs);
            }
            Err(ChoiceError::Wait(_)) if !queue_full => self.enqueue(id),
            Err(_) => self.settle(id, refusal, outputs),
        }
    }

    /// Ends a request without an answer: refused if it certainly did not run, else with an unknown
    /// outcome.
    pub(crate) fn settle(&mut self, id: RequestId, refusal: Refusal, outputs: &mut Vec<Output>) {
        let may_have_run = self.requests.get(&id).is_some_and(|r| r.may_have_run);
        self.drop_request(id);
        if !may_have_run {
            self.refuse(id, refusal, outputs);
            return;
        }
        self.counters.unknown += 1;
        outputs.push(Output::Settle {
            request: id,
            settled: Settled {
                outcome: Outcome::Unknown,
                refusal: None,
            },
        });
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, outputs: &mut Vec<Output>) {
        *self.counters.refused.entry(refusal.into()).or_default() += 1;
        outputs.push(Output::Settle {
            request: id,
            settled: Settled {
                outcome: Outcome::DidNotRun,
                refusal: Some(refusal),
            },
        });
    }

    fn finish(&mut self, id: RequestId) {
        self.counters.finished += 1;
        self.drop_request(id);
    }

    fn drop_request(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }
}
