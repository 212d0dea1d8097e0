//! Lets a request with an idempotency key run at most once: claims the keys of this entry's
//! requests, and holds claims for all entries.

use claim::{
    ClaimKey, Claimant, ClaimantInput, ClaimantOutput, Decision, Ending, Holder, HolderInput,
    HolderStatus, Layout, Limits, Message, Outgoing, Peer, Progress, Receiver, Timing,
};
use route::RequestId;
use std::collections::BTreeMap;
use types::{EntryName, TimeUs};

/// While another request with the same key runs, the claim is tried again after this time.
const CLAIM_RETRY_MS: u64 = 100;

/// The outcome of the claim of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request holds the claim and may be sent to an upstream.
    Run {
        request: RequestId,
        /// The time before which it must be sent.
        before_us: TimeUs,
    },
    /// An earlier request with the key finished, and its answer is retained.
    Replay {
        request: RequestId,
        /// The HTTP status code of the answer.
        status: u16,
        /// The answer, in the encoding in which the shell passed it in.
        answer: Vec<u8>,
    },
    /// An earlier request with the key may have run, or ran and its answer is no longer retained.
    Duplicate {
        request: RequestId,
        /// Whether the earlier request is known to have finished.
        finished: bool,
    },
    /// The claim could not be decided: no majority of the holders granted it in time, no holders
    /// are declared, or too many attempts are open.
    Unavailable { request: RequestId },
}

/// A request that waits for its claim or holds it.
#[derive(Debug)]
struct KeyedRequest {
    key: ClaimKey,
    deadline_us: TimeUs,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The claim was sent to the holders and is not decided yet.
    AwaitingDecision,
    /// Another request with the key runs; the claim is tried again at `retry_us`.
    AwaitingEnd { retry_us: TimeUs },
    /// The request holds the claim with this serial.
    Running { serial: u64 },
}

/// The claims of one entry: as a claimant for its requests, and as a holder for all entries.
#[derive(Debug)]
pub struct Claims {
    own_peer: Peer,
    claimant: Claimant,
    holder: Holder,
    requests: BTreeMap<RequestId, KeyedRequest>,
    /// The request of each claim that is undecided or held, by the serial of the claim.
    requests_by_serial: BTreeMap<u64, RequestId>,
    layout_epoch: Option<u64>,
    claimant_outputs: Vec<ClaimantOutput>,
    holder_outputs: Vec<Outgoing>,
    outcomes: Vec<ClaimOutcome>,
}

impl Claims {
    /// The claims of an entry that has just started and knows no layout yet.
    pub fn new(own_peer: Peer, now_us: TimeUs, timing: Timing, limits: Limits) -> Self {
        Self {
            claimant: Claimant::new(&own_peer, timing, limits),
            holder: Holder::new(&own_peer, now_us, timing, limits),
            own_peer,
            requests: BTreeMap::new(),
            requests_by_serial: BTreeMap::new(),
            layout_epoch: None,
            claimant_outputs: Vec::new(),
            holder_outputs: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// The epoch of the latest layout, which polls report to the control replicas.
    pub const fn layout_epoch(&self) -> Option<u64> {
        self.layout_epoch
    }

    /// The state of the claims that this entry holds, for the process dump.
    pub fn status(&self) -> HolderStatus {
        self.holder.status()
    }

    /// The number of requests that wait for their claims.
    pub fn waiting_count(&self) -> usize {
        let is_waiting = |keyed: &&KeyedRequest| !matches!(keyed.phase, Phase::Running { .. });
        self.requests.values().filter(is_waiting).count()
    }

    /// Applies the layout of a configuration that a majority of the replicas confirmed.
    pub fn apply_layout(&mut self, now_us: TimeUs, layout: Layout) {
        self.layout_epoch = Some(layout.epoch);
        self.holder.step(
            now_us,
            HolderInput::Layout(layout.clone()),
            &mut self.holder_outputs,
        );
        self.claimant.step(
            now_us,
            ClaimantInput::Layout(layout),
            &mut self.claimant_outputs,
        );
    }

    /// Updates the time until which the configuration lease is held.
    pub fn update_lease(&mut self, now_us: TimeUs, until_us: TimeUs) {
        self.holder.step(
            now_us,
            HolderInput::Lease { until_us },
            &mut self.holder_outputs,
        );
    }

    /// Checks the timers and sends the claims again whose retry is due.
    pub fn tick(&mut self, now_us: TimeUs) {
        self.holder
            .step(now_us, HolderInput::Tick, &mut self.holder_outputs);
        self.claimant
            .step(now_us, ClaimantInput::Tick, &mut self.claimant_outputs);
        let due = |keyed: &KeyedRequest| match keyed.phase {
            Phase::AwaitingEnd { retry_us } => retry_us.reached(now_us),
            Phase::AwaitingDecision | Phase::Running { .. } => false,
        };
        let due: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, keyed)| due(keyed))
            .map(|(id, _)| *id)
            .collect();
        for request in due {
            self.retry(now_us, request);
        }
    }

    /// Claims the key of a request; [`Self::process_outputs`] returns the outcome.
    pub fn request(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        key: ClaimKey,
        deadline_us: TimeUs,
    ) {
        let phase = Phase::AwaitingEnd { retry_us: now_us };
        self.requests.insert(
            request,
            KeyedRequest {
                key,
                deadline_us,
                phase,
            },
        );
        self.send_claim(now_us, request);
    }

    /// Handles a message about claims.
    pub fn receive(&mut self, now_us: TimeUs, from: Peer, message: Message) {
        match message.receiver() {
            Receiver::Claimant => {
                let input = ClaimantInput::Message { from, message };
                self.claimant
                    .step(now_us, input, &mut self.claimant_outputs);
            }
            Receiver::Holder => {
                let input = HolderInput::Message { from, message };
                self.holder.step(now_us, input, &mut self.holder_outputs);
            }
        }
    }

    /// Records how a request ended; one without a key is ignored.
    pub fn record_end(&mut self, now_us: TimeUs, request: RequestId, ending: Ending) {
        let Some(keyed) = self.requests.remove(&request) else {
            return;
        };
        match keyed.phase {
            Phase::Running { serial } => {
                self.requests_by_serial.remove(&serial);
                let input = ClaimantInput::Ended { serial, ending };
                self.claimant
                    .step(now_us, input, &mut self.claimant_outputs);
            }
            // If its claim is granted later, `release_claim` ends that as not run.
            Phase::AwaitingDecision | Phase::AwaitingEnd { .. } => {}
        }
    }

    /// Processes the outputs of claimant and holder until there are none left: appends messages to
    /// other entries, and the outcomes of claims.
    pub fn process_outputs(
        &mut self,
        now_us: TimeUs,
        messages: &mut Vec<(EntryName, Message)>,
        outcomes: &mut Vec<ClaimOutcome>,
    ) {
        outcomes.append(&mut self.outcomes);
        while !(self.claimant_outputs.is_empty() && self.holder_outputs.is_empty()) {
            for output in std::mem::take(&mut self.claimant_outputs) {
                match output {
                    ClaimantOutput::Send { to, message } => {
                        self.deliver(now_us, to, message, messages)
                    }
                    ClaimantOutput::Decided { serial, decision } => {
                        self.handle_decision(now_us, serial, decision, outcomes);
                    }
                }
            }
            for Outgoing { to, message } in std::mem::take(&mut self.holder_outputs) {
                self.deliver(now_us, to, message, messages);
            }
        }
    }

    /// Handles a message to this entry itself; appends any other to `messages`.
    fn deliver(
        &mut self,
        now_us: TimeUs,
        to: EntryName,
        message: Message,
        messages: &mut Vec<(EntryName, Message)>,
    ) {
        if to == self.own_peer.entry {
            self.receive(now_us, self.own_peer.clone(), message);
        } else {
            messages.push((to, message));
        }
    }

    /// Claims a key again that another request held at the last attempt, unless the deadline has
    /// passed.
    fn retry(&mut self, now_us: TimeUs, request: RequestId) {
        let Some(keyed) = self.requests.get(&request) else {
            return;
        };
        if keyed.deadline_us.reached(now_us) {
            self.requests.remove(&request);
            self.outcomes.push(ClaimOutcome::Duplicate {
                request,
                finished: false,
            });
        } else {
            self.send_claim(now_us, request);
        }
    }

    fn send_claim(&mut self, now_us: TimeUs, request: RequestId) {
        let Some(keyed) = self.requests.get_mut(&request) else {
            return;
        };
        let outputs = &mut self.claimant_outputs;
        let serial = self
            .claimant
            .request(now_us, &keyed.key, keyed.deadline_us, outputs);
        keyed.phase = Phase::AwaitingDecision;
        self.requests_by_serial.insert(serial, request);
    }

    fn handle_decision(
        &mut self,
        now_us: TimeUs,
        serial: u64,
        decision: Decision,
        outcomes: &mut Vec<ClaimOutcome>,
    ) {
        let request = self.requests_by_serial.get(&serial).copied();
        let keyed = request.and_then(|request| self.requests.get_mut(&request));
        let (Some(request), Some(keyed)) = (request, keyed) else {
            self.release_claim(now_us, serial, &decision);
            return;
        };
        let outcome = match decision {
            Decision::Run { before_us } => {
                keyed.phase = Phase::Running { serial };
                outcomes.push(ClaimOutcome::Run { request, before_us });
                return;
            }
            Decision::AlreadyClaimed { claim } => match claim.progress {
                Progress::Claimed if !keyed.deadline_us.reached(now_us) => {
                    let retry_us = now_us.after_ms(CLAIM_RETRY_MS).min(keyed.deadline_us);
                    keyed.phase = Phase::AwaitingEnd { retry_us };
                    self.requests_by_serial.remove(&serial);
                    return;
                }
                Progress::Claimed | Progress::Unknown => ClaimOutcome::Duplicate {
                    request,
                    finished: false,
                },
                Progress::Finished {
                    status,
                    answer: Some(answer),
                } => ClaimOutcome::Replay {
                    request,
                    status,
                    answer,
                },
                Progress::Finished { answer: None, .. } => ClaimOutcome::Duplicate {
                    request,
                    finished: true,
                },
            },
            Decision::Unavailable { .. } => ClaimOutcome::Unavailable { request },
        };
        self.requests_by_serial.remove(&serial);
        self.requests.remove(&request);
        outcomes.push(outcome);
    }

    /// Ends a claim, if it was granted, as not run: its request ended before the decision.
    fn release_claim(&mut self, now_us: TimeUs, serial: u64, decision: &Decision) {
        self.requests_by_serial.remove(&serial);
        if let Decision::Run { .. } = decision {
            let input = ClaimantInput::Ended {
                serial,
                ending: Ending::DidNotRun,
            };
            self.claimant
                .step(now_us, input, &mut self.claimant_outputs);
        }
    }
}
