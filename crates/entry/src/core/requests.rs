//! Requests from their arrival to their end, through claims and router.

use super::{EntryCore, Phase, Unclaimed};
use crate::{
    api::{Arrival, Output},
    claims::Claimed,
};
use claim::{Ending as ClaimEnding, Message};
use route::{Ending, RequestId, Settled};
use types::{EntryName, Outcome, Refusal, ServiceName, ServiceSpec, TimeUs};

impl EntryCore {
    pub(super) fn arrive(
        &mut self,
        now_us: TimeUs,
        arrival: Arrival<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let Arrival {
            request,
            service,
            patience_ms,
            key,
        } = arrival;
        let spec = match self.admit(now_us, service) {
            Ok(spec) => spec,
            Err(refusal) => {
                // An earlier sending of a request with a key may have run.
                let outcome = key.map_or(Outcome::DidNotRun, |_| Outcome::Unknown);
                settle(request, outcome, refusal, outputs);
                return;
            }
        };
        let patience_ms = patience_ms
            .unwrap_or(spec.deadline_ms)
            .min(spec.deadline_ms);
        let deadline_us = now_us.after_ms(patience_ms);
        let claims_key = key.filter(|_| !spec.idempotent);
        self.shares.arrive(request, &self.config, service);
        match claims_key {
            Some(key) => {
                let unclaimed = Unclaimed {
                    service: service.clone(),
                    deadline_us,
                };
                self.unclaimed.insert(request, unclaimed);
                self.claims
                    .request(now_us, request, key.clone(), deadline_us);
            }
            None => self.run(now_us, request, service, deadline_us),
        }
    }

    /// The service, if a request of it may be taken now.
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

    /// Hands a request to the router.
    pub(super) fn run(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        service: &ServiceName,
        deadline_us: TimeUs,
    ) {
        let idempotent = self
            .config
            .service(service)
            .is_some_and(|spec| spec.idempotent);
        self.route(
            now_us,
            route::Input::Arrive {
                request,
                service,
                deadline_us,
                idempotent,
            },
        );
    }

    pub(super) fn ended(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        ending: Ending,
        answer: Option<Vec<u8>>,
    ) {
        let claim_ending = match ending {
            Ending::Finished { status } => Some(ClaimEnding::Finished { status, answer }),
            Ending::CutShort => Some(ClaimEnding::Unknown),
            Ending::Cancelled if self.shares.is_sent(request) => Some(ClaimEnding::Unknown),
            Ending::Cancelled => Some(ClaimEnding::DidNotRun),
            Ending::NotSent | Ending::Refused | Ending::Broken => None,
        };
        let was_unclaimed = self.unclaimed.remove(&request).is_some();
        match claim_ending {
            Some(claim_ending) => {
                self.shares.settle(request);
                self.claims.ended(now_us, request, claim_ending);
            }
            None => self.shares.attempt_ended(request),
        }
        if !was_unclaimed {
            self.route(now_us, route::Input::Ended { request, ending });
        }
    }

    /// Carries out what the claims decided and sends their messages.
    pub(super) fn drain_claims(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        let (mut send, mut decided) = (Vec::new(), Vec::new());
        self.claims.drain(now_us, &mut send, &mut decided);
        let messages = send.into_iter();
        outputs.extend(
            messages.map(|(to, message): (EntryName, Message)| Output::Claim { to, message }),
        );
        for claimed in decided {
            self.claimed(now_us, claimed, outputs);
        }
        self.drain_routed(now_us, outputs);
    }

    pub(super) fn claimed(&mut self, now_us: TimeUs, claimed: Claimed, outputs: &mut Vec<Output>) {
        match claimed {
            Claimed::Run { request, before_us } => {
                if let Some(unclaimed) = self.unclaimed.remove(&request) {
                    let deadline_us = unclaimed.deadline_us.min(before_us);
                    self.run(now_us, request, &unclaimed.service, deadline_us);
                }
            }
            Claimed::Replay {
                request,
                status,
                answer,
            } => {
                self.give_up(request);
                outputs.push(Output::Replay {
                    request,
                    status,
                    answer,
                });
            }
            Claimed::Duplicate { request, finished } => {
                self.give_up(request);
                let outcome = if finished {
                    Outcome::Finished
                } else {
                    Outcome::Unknown
                };
                settle(request, outcome, Refusal::Duplicate, outputs);
            }
            Claimed::Unavailable { request } => {
                self.give_up(request);
                settle(
                    request,
                    Outcome::Unknown,
                    Refusal::ClaimUnavailable,
                    outputs,
                );
            }
        }
    }

    pub(super) fn give_up(&mut self, request: RequestId) {
        self.unclaimed.remove(&request);
        self.shares.settle(request);
    }

    pub(super) fn drain_routed(&mut self, now_us: TimeUs, outputs: &mut Vec<Output>) {
        for output in self.routed.drain(..) {
            match &output {
                route::Output::Settle { request, settled } => {
                    self.shares.settle(*request);
                    let ending = match settled.outcome {
                        Outcome::DidNotRun => ClaimEnding::DidNotRun,
                        Outcome::Finished | Outcome::Unknown => ClaimEnding::Unknown,
                    };
                    self.claims.ended(now_us, *request, ending);
                }
                route::Output::Forward {
                    request, region, ..
                } => {
                    self.shares.begin(*request, region);
                }
                route::Output::Cancel { .. } => {}
            }
            outputs.push(Output::Route(output));
        }
    }
}

fn settle(request: RequestId, outcome: Outcome, refusal: Refusal, outputs: &mut Vec<Output>) {
    let settled = Settled {
        outcome,
        refusal: Some(refusal),
    };
    outputs.push(Output::Route(route::Output::Settle { request, settled }));
}
