//! Handles requests from their arrival, through claims and router, to their end.

use super::{EntryCore, PendingClaim, Phase};
use crate::{
    api::{Arrival, Output},
    claims::ClaimOutcome,
};
use claim::{Ending as ClaimEnding, Message};
use route::{Ending, RequestId, Settled};
use types::{EntryName, Outcome, Refusal, ServiceName, ServiceSpec, TimeUs};

impl EntryCore {
    pub(super) fn handle_arrival(
        &mut self,
        now_us: TimeUs,
        arrival: Arrival<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let Arrival {
            request,
            service,
            timeout_ms,
            key,
        } = arrival;
        let spec = match self.admit(now_us, service) {
            Ok(spec) => spec,
            Err(refusal) => {
                // A request with a key may have been sent, and have run, before.
                let outcome = key.map_or(Outcome::DidNotRun, |_| Outcome::Unknown);
                refuse(request, outcome, refusal, outputs);
                return;
            }
        };
        let timeout_ms = timeout_ms.unwrap_or(spec.deadline_ms).min(spec.deadline_ms);
        let deadline_us = now_us.after_ms(timeout_ms);
        let idempotent = spec.idempotent;
        let claim_key = key.filter(|_| !idempotent);
        self.shares.add(request, &self.config, service);
        match claim_key {
            Some(key) => {
                let pending = PendingClaim {
                    service: service.clone(),
                    deadline_us,
                };
                self.pending_claims.insert(request, pending);
                self.claims
                    .request(now_us, request, key.clone(), deadline_us);
            }
            None => self.send_to_router(now_us, request, service, deadline_us, idempotent),
        }
    }

    /// The declared service, if the entry may take a request for it now.
    pub(super) fn admit(
        &self,
        now_us: TimeUs,
        service: &ServiceName,
    ) -> Result<&ServiceSpec, Refusal> {
        if self.phase == Phase::Closing {
            return Err(Refusal::Stopping);
        }
        if !self.lease.is_held(now_us) {
            return Err(Refusal::ConfigurationLease);
        }
        self.config.service(service).ok_or(Refusal::UnknownService)
    }

    /// Passes a request to the router, which chooses an upstream.
    pub(super) fn send_to_router(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        service: &ServiceName,
        deadline_us: TimeUs,
        idempotent: bool,
    ) {
        self.step_router(
            now_us,
            route::Input::Arrive {
                request,
                service,
                deadline_us,
                idempotent,
            },
        );
    }

    pub(super) fn handle_ended(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        ending: Ending,
        answer: Option<Vec<u8>>,
    ) {
        let claim_ending = match ending {
            Ending::Finished { status } => Some(ClaimEnding::Finished { status, answer }),
            Ending::CutShort => Some(ClaimEnding::Unknown),
            Ending::Cancelled if self.shares.has_attempt(request) => Some(ClaimEnding::Unknown),
            Ending::Cancelled => Some(ClaimEnding::DidNotRun),
            Ending::NotSent | Ending::Refused | Ending::Broken => None,
        };
        let was_pending = self.pending_claims.remove(&request).is_some();
        match claim_ending {
            Some(claim_ending) => {
                self.shares.remove(request);
                self.claims.record_end(now_us, request, claim_ending);
            }
            None => self.shares.end_attempt(request),
        }
        if !was_pending {
            self.step_router(now_us, route::Input::Ended { request, ending });
        }
    }

    /// Acts on the outcomes of claims, and appends the messages about claims.
    pub(super) fn process_claim_outputs(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let (mut messages, mut outcomes) = (Vec::new(), Vec::new());
        self.claims
            .process_outputs(now_us, &mut messages, &mut outcomes);
        let messages = messages.into_iter();
        outputs.extend(
            messages.map(|(to, message): (EntryName, Message)| Output::Claim { to, message }),
        );
        for claim_outcome in outcomes {
            self.handle_claim_outcome(now_us, claim_outcome, outputs);
        }
        self.process_router_outputs(now_us, outputs);
    }

    pub(super) fn handle_claim_outcome(
        &mut self,
        now_us: TimeUs,
        claim_outcome: ClaimOutcome,
        outputs: &mut Vec<Output>,
    ) {
        match claim_outcome {
            ClaimOutcome::Run { request, before_us } => {
                if let Some(pending) = self.pending_claims.remove(&request) {
                    let deadline_us = pending.deadline_us.min(before_us);
                    // The claim lets it run at most once, whatever its service is declared as by now.
                    self.send_to_router(now_us, request, &pending.service, deadline_us, false);
                }
            }
            ClaimOutcome::Replay {
                request,
                status,
                answer,
            } => {
                self.remove_request(request);
                outputs.push(Output::Replay {
                    request,
                    status,
                    answer,
                });
            }
            ClaimOutcome::Duplicate { request, finished } => {
                self.remove_request(request);
                let outcome = if finished {
                    Outcome::Finished
                } else {
                    Outcome::Unknown
                };
                refuse(request, outcome, Refusal::Duplicate, outputs);
            }
            ClaimOutcome::Unavailable { request } => {
                self.remove_request(request);
                refuse(
                    request,
                    Outcome::Unknown,
                    Refusal::ClaimUnavailable,
                    outputs,
                );
            }
        }
    }

    pub(super) fn remove_request(&mut self, request: RequestId) {
        self.pending_claims.remove(&request);
        self.shares.remove(request);
    }

    pub(super) fn process_router_outputs(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        for output in self.router_outputs.drain(..) {
            match &output {
                route::Output::Settle { request, settled } => {
                    self.shares.remove(*request);
                    // The router settles no request as finished; the match names it to be
                    // exhaustive.
                    let ending = match settled.outcome {
                        Outcome::DidNotRun => ClaimEnding::DidNotRun,
                        Outcome::Finished | Outcome::Unknown => ClaimEnding::Unknown,
                    };
                    self.claims.record_end(now_us, *request, ending);
                }
                route::Output::Forward {
                    request, region, ..
                } => {
                    self.shares.begin_attempt(*request, region);
                }
                route::Output::Cancel { .. } => {}
            }
            outputs.push(Output::Route(output));
        }
    }
}

fn refuse(request: RequestId, outcome: Outcome, refusal: Refusal, outputs: &mut Vec<Output>) {
    let settled = Settled {
        outcome,
        refusal: Some(refusal),
    };
    outputs.push(Output::Route(route::Output::Settle { request, settled }));
}
