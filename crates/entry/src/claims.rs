//! At most one run of a request with an idempotency key: the claims of this entry's requests, and
//! those that it holds for others.

use claim::{
    ClaimKey, Claimant, ClaimantInput, ClaimantOutput, Decision, Ending, Holder, HolderInput,
    HolderStatus, Layout, Limits, Message, Outgoing, Peer, Progress, Receiver, Timing,
};
use route::RequestId;
use std::collections::BTreeMap;
use types::{EntryName, TimeUs};

/// A key that another attempt still runs is asked for again after this time.
const RUNNING_ASK_AGAIN_MS: u64 = 100;

/// What becomes of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// It may be sent to an upstream before the deadline.
    Run {
        /// The request.
        request: RequestId,
        /// The deadline.
        before_us: TimeUs,
    },
    /// An earlier attempt finished, and its answer is held.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer's status.
        status: u16,
        /// The answer, as the shell encoded it.
        answer: Vec<u8>,
    },
    /// An earlier attempt may have run, or ran and its answer is no longer held.
    Duplicate {
        /// The request.
        request: RequestId,
        /// Whether it is known to have finished.
        finished: bool,
    },
    /// No majority of the holders answered.
    Unavailable {
        /// The request.
        request: RequestId,
    },
}

/// A request that waits for its claim or holds it.
#[derive(Debug)]
struct Keyed {
    key: ClaimKey,
    deadline_us: TimeUs,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Asking,
    /// Another attempt runs; its end is waited for.
    Waiting {
        ask_us: TimeUs,
    },
    Running {
        serial: u64,
    },
}

/// The claims of one entry.
#[derive(Debug)]
pub struct Claims {
    own: Peer,
    claimant: Claimant,
    holder: Holder,
    keyed: BTreeMap<RequestId, Keyed>,
    serials: BTreeMap<u64, RequestId>,
    layout_epoch: Option<u64>,
    from_claimant: Vec<ClaimantOutput>,
    from_holder: Vec<Outgoing>,
    decided: Vec<Claimed>,
}

impl Claims {
    /// The claims of a run of an entry that knows no configuration yet.
    pub fn new(own: Peer, now_us: TimeUs, timing: Timing, limits: Limits) -> Self {
        Self {
            claimant: Claimant::new(&own, timing, limits),
            holder: Holder::new(&own, now_us, timing, limits),
            own,
            keyed: BTreeMap::new(),
            serials: BTreeMap::new(),
            layout_epoch: None,
            from_claimant: Vec::new(),
            from_holder: Vec::new(),
            decided: Vec::new(),
        }
    }

    /// The epoch of the latest layout, to be told to the control replicas.
    pub const fn layout_epoch(&self) -> Option<u64> {
        self.layout_epoch
    }

    /// What this entry holds for others.
    pub fn status(&self) -> HolderStatus {
        self.holder.status()
    }

    /// How many requests wait for their claims.
    pub fn waiting(&self) -> usize {
        let waits = |keyed: &&Keyed| !matches!(keyed.phase, Phase::Running { .. });
        self.keyed.values().filter(waits).count()
    }

    /// Takes the entry sets of a configuration that a majority of the replicas confirmed.
    pub fn adopt(&mut self, now_us: TimeUs, layout: Layout) {
        self.layout_epoch = Some(layout.epoch);
        self.holder.step(
            now_us,
            HolderInput::Layout(layout.clone()),
            &mut self.from_holder,
        );
        self.claimant.step(
            now_us,
            ClaimantInput::Layout(layout),
            &mut self.from_claimant,
        );
    }

    /// Follows the configuration lease.
    pub fn lease(&mut self, now_us: TimeUs, until_us: TimeUs) {
        self.holder.step(
            now_us,
            HolderInput::Lease { until_us },
            &mut self.from_holder,
        );
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: TimeUs) {
        self.holder
            .step(now_us, HolderInput::Tick, &mut self.from_holder);
        self.claimant
            .step(now_us, ClaimantInput::Tick, &mut self.from_claimant);
        let due = |keyed: &Keyed| match keyed.phase {
            Phase::Waiting { ask_us } => ask_us.reached(now_us),
            Phase::Asking | Phase::Running { .. } => false,
        };
        let due: Vec<RequestId> = self
            .keyed
            .iter()
            .filter(|(_, keyed)| due(keyed))
            .map(|(id, _)| *id)
            .collect();
        for request in due {
            self.ask_again(now_us, request);
        }
    }

    /// Asks for the claim of a request.
    pub fn request(
        &mut self,
        now_us: TimeUs,
        request: RequestId,
        key: ClaimKey,
        deadline_us: TimeUs,
    ) {
        let phase = Phase::Waiting { ask_us: now_us };
        self.keyed.insert(
            request,
            Keyed {
                key,
                deadline_us,
                phase,
            },
        );
        self.ask(now_us, request);
    }

    /// Takes a message of another entry.
    pub fn receive(&mut self, now_us: TimeUs, from: Peer, message: Message) {
        match message.receiver() {
            Receiver::Claimant => {
                let input = ClaimantInput::Message { from, message };
                self.claimant.step(now_us, input, &mut self.from_claimant);
            }
            Receiver::Holder => {
                let input = HolderInput::Message { from, message };
                self.holder.step(now_us, input, &mut self.from_holder);
            }
        }
    }

    /// Tells how a request ended; one without a key changes nothing.
    pub fn ended(&mut self, now_us: TimeUs, request: RequestId, ending: Ending) {
        let Some(keyed) = self.keyed.remove(&request) else {
            return;
        };
        match keyed.phase {
            Phase::Running { serial } => {
                self.serials.remove(&serial);
                let input = ClaimantInput::Ended { serial, ending };
                self.claimant.step(now_us, input, &mut self.from_claimant);
            }
            // An attempt that is decided later may be granted: it then ends as not run.
            Phase::Asking | Phase::Waiting { .. } => {}
        }
    }

    /// Decisions and messages to other entries, until there are none left.
    pub fn drain(
        &mut self,
        now_us: TimeUs,
        send: &mut Vec<(EntryName, Message)>,
        decided: &mut Vec<Claimed>,
    ) {
        decided.append(&mut self.decided);
        while !(self.from_claimant.is_empty() && self.from_holder.is_empty()) {
            for output in std::mem::take(&mut self.from_claimant) {
                match output {
                    ClaimantOutput::Send { to, message } => self.route(now_us, to, message, send),
                    ClaimantOutput::Decided { serial, decision } => {
                        self.decide(now_us, serial, decision, decided);
                    }
                }
            }
            for Outgoing { to, message } in std::mem::take(&mut self.from_holder) {
                self.route(now_us, to, message, send);
            }
        }
    }

    fn route(
        &mut self,
        now_us: TimeUs,
        to: EntryName,
        message: Message,
        send: &mut Vec<(EntryName, Message)>,
    ) {
        if to == self.own.entry {
            self.receive(now_us, self.own.clone(), message);
        } else {
            send.push((to, message));
        }
    }

    /// Asks for a key that another attempt ran when it was last asked for, within the deadline.
    fn ask_again(&mut self, now_us: TimeUs, request: RequestId) {
        let Some(keyed) = self.keyed.get(&request) else {
            return;
        };
        if keyed.deadline_us.reached(now_us) {
            self.keyed.remove(&request);
            self.decided.push(Claimed::Duplicate {
                request,
                finished: false,
            });
        } else {
            self.ask(now_us, request);
        }
    }

    fn ask(&mut self, now_us: TimeUs, request: RequestId) {
        let Some(keyed) = self.keyed.get_mut(&request) else {
            return;
        };
        let outputs = &mut self.from_claimant;
        let serial = self
            .claimant
            .request(now_us, &keyed.key, keyed.deadline_us, outputs);
        keyed.phase = Phase::Asking;
        self.serials.insert(serial, request);
    }

    fn decide(
        &mut self,
        now_us: TimeUs,
        serial: u64,
        decision: Decision,
        decided: &mut Vec<Claimed>,
    ) {
        let request = self.serials.get(&serial).copied();
        let keyed = request.and_then(|request| self.keyed.get_mut(&request));
        let (Some(request), Some(keyed)) = (request, keyed) else {
            self.release(now_us, serial, &decision);
            return;
        };
        let claimed = match decision {
            Decision::Run { before_us } => {
                keyed.phase = Phase::Running { serial };
                decided.push(Claimed::Run { request, before_us });
                return;
            }
            Decision::AlreadyClaimed { claim } => match claim.progress {
                Progress::Claimed if !keyed.deadline_us.reached(now_us) => {
                    let ask_us = now_us.after_ms(RUNNING_ASK_AGAIN_MS).min(keyed.deadline_us);
                    keyed.phase = Phase::Waiting { ask_us };
                    self.serials.remove(&serial);
                    return;
                }
                Progress::Claimed | Progress::Unknown => Claimed::Duplicate {
                    request,
                    finished: false,
                },
                Progress::Finished {
                    status,
                    answer: Some(answer),
                } => Claimed::Replay {
                    request,
                    status,
                    answer,
                },
                Progress::Finished { answer: None, .. } => Claimed::Duplicate {
                    request,
                    finished: true,
                },
            },
            Decision::Unavailable { .. } => Claimed::Unavailable { request },
        };
        self.serials.remove(&serial);
        self.keyed.remove(&request);
        decided.push(claimed);
    }

    /// Gives back a claim whose request has gone meanwhile.
    fn release(&mut self, now_us: TimeUs, serial: u64, decision: &Decision) {
        self.serials.remove(&serial);
        if let Decision::Run { .. } = decision {
            let input = ClaimantInput::Ended {
                serial,
                ending: Ending::DidNotRun,
            };
            self.claimant.step(now_us, input, &mut self.from_claimant);
        }
    }
}
