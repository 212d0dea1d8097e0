//! The entry that received a request: asks for the claim, decides, and tells how it ended.

use crate::{
    decision::{ClaimantInput, ClaimantOutput, Decision, Unavailable},
    key::ClaimKey,
    layout::Layout,
    message::{Attempt, Ending, Message, Peer},
    tally::{Answers, Tally},
    timing::{Limits, Timing},
};
use std::collections::{BTreeMap, BTreeSet};
use types::{EntryName, TimeUs};

/// An unanswered claim is sent again after this time.
const CLAIM_RESEND_US: u64 = 250_000;
/// An unconfirmed ending is sent again after this time.
const END_RESEND_US: u64 = 1_000_000;
/// An unconfirmed ending is given up after this time.
const END_GIVE_UP_US: u64 = 60_000_000;

#[derive(Debug)]
enum Phase {
    Asking {
        answers: Answers,
        decide_by_us: TimeUs,
        resend_us: TimeUs,
    },
    Running,
    Ending {
        ending: Ending,
        unconfirmed: BTreeSet<EntryName>,
        resend_us: TimeUs,
        give_up_us: TimeUs,
    },
}

#[derive(Debug)]
struct Followed {
    key: ClaimKey,
    /// Every holder that was ever asked.
    asked: BTreeSet<EntryName>,
    phase: Phase,
}

/// The attempts of one run of an entry.
#[derive(Debug)]
pub struct Claimant {
    peer: Peer,
    timing: Timing,
    limits: Limits,
    layout: Layout,
    last_serial: u64,
    attempts: BTreeMap<u64, Followed>,
}

impl Claimant {
    /// A claimant that knows no configuration yet.
    #[must_use]
    pub fn new(peer: &Peer, timing: Timing, limits: Limits) -> Self {
        Self {
            peer: peer.clone(),
            timing,
            limits,
            layout: Layout::default(),
            last_serial: 0,
            attempts: BTreeMap::new(),
        }
    }

    /// Asks for a claim; the decision follows under the serial number that is returned.
    pub fn request(
        &mut self,
        now_us: TimeUs,
        key: &ClaimKey,
        deadline_us: TimeUs,
        outputs: &mut Vec<ClaimantOutput>,
    ) -> u64 {
        self.last_serial += 1;
        let serial = self.last_serial;
        if let Some(reason) = self.obstacle() {
            let decision = Decision::Unavailable { reason };
            outputs.push(ClaimantOutput::Decided { serial, decision });
            return serial;
        }
        let followed = Followed {
            key: key.clone(),
            asked: BTreeSet::new(),
            phase: Phase::Asking {
                answers: Answers::default(),
                decide_by_us: deadline_us.min(now_us.after_us(self.timing.decide_us)),
                resend_us: now_us,
            },
        };
        self.attempts.insert(serial, followed);
        self.advance(now_us, serial, outputs);
        serial
    }

    fn obstacle(&self) -> Option<Unavailable> {
        if self.attempts.len() >= self.limits.attempts {
            return Some(Unavailable::TooMany);
        }
        let declared = self.layout.is_declared();
        (!declared).then_some(Unavailable::NoHolders)
    }

    /// Takes in what happened and tells what follows.
    pub fn step(
        &mut self,
        now_us: TimeUs,
        input: ClaimantInput,
        outputs: &mut Vec<ClaimantOutput>,
    ) {
        match input {
            ClaimantInput::Layout(layout) => self.adopt(now_us, layout, outputs),
            ClaimantInput::Message { from, message } => {
                self.receive(now_us, &from, message, outputs);
            }
            ClaimantInput::Ended { serial, ending } => self.end(now_us, serial, ending, outputs),
            ClaimantInput::Tick => self.advance_all(now_us, outputs),
        }
    }

    /// When [`ClaimantInput::Tick`] is due.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<TimeUs> {
        let deadline = |followed: &Followed| match &followed.phase {
            Phase::Asking {
                decide_by_us,
                resend_us,
                ..
            } => Some(*decide_by_us.min(resend_us)),
            Phase::Running => None,
            Phase::Ending {
                resend_us,
                give_up_us,
                ..
            } => Some(*resend_us.min(give_up_us)),
        };
        self.attempts.values().filter_map(deadline).min()
    }

    /// Attempts that are followed.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    fn adopt(&mut self, now_us: TimeUs, layout: Layout, outputs: &mut Vec<ClaimantOutput>) {
        if layout.epoch <= self.layout.epoch {
            return;
        }
        self.layout = layout;
        for followed in self.attempts.values_mut() {
            if let Phase::Asking { resend_us, .. } = &mut followed.phase {
                *resend_us = now_us;
            }
        }
        self.advance_all(now_us, outputs);
    }

    fn receive(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        message: Message,
        outputs: &mut Vec<ClaimantOutput>,
    ) {
        match message {
            Message::Answer { attempt, verdict } if attempt.claimant == self.peer => {
                let Some(followed) = self.attempts.get_mut(&attempt.serial) else {
                    return;
                };
                if let Phase::Asking { answers, .. } = &mut followed.phase {
                    answers.note(from, verdict);
                }
                self.advance(now_us, attempt.serial, outputs);
            }
            Message::EndNoted { attempt } if attempt.claimant == self.peer => {
                self.confirm(&from.entry, attempt.serial);
            }
            Message::Answer { .. }
            | Message::EndNoted { .. }
            | Message::Claim { .. }
            | Message::End { .. }
            | Message::Recover { .. }
            | Message::Recovered { .. } => {}
        }
    }

    fn confirm(&mut self, holder: &EntryName, serial: u64) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        if let Phase::Ending { unconfirmed, .. } = &mut followed.phase {
            unconfirmed.remove(holder);
            if unconfirmed.is_empty() {
                self.attempts.remove(&serial);
            }
        }
    }

    fn advance_all(&mut self, now_us: TimeUs, outputs: &mut Vec<ClaimantOutput>) {
        let serials: Vec<u64> = self.attempts.keys().copied().collect();
        for serial in serials {
            self.advance(now_us, serial, outputs);
        }
    }

    /// Decides, sends again or gives up what is due.
    fn advance(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        match &followed.phase {
            Phase::Asking { .. } => self.advance_asking(now_us, serial, outputs),
            Phase::Running => {}
            Phase::Ending {
                resend_us,
                give_up_us,
                ..
            } => {
                if give_up_us.reached(now_us) {
                    self.attempts.remove(&serial);
                } else if resend_us.reached(now_us) {
                    self.send_ending(now_us, serial, outputs);
                }
            }
        }
    }

    fn advance_asking(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        let Phase::Asking {
            answers,
            decide_by_us,
            resend_us,
        } = &mut followed.phase
        else {
            return;
        };
        let before_us = *decide_by_us;
        let sets = match self.layout.is_declared() {
            true => self.layout.holders(&followed.key),
            false => Vec::new(),
        };
        let decision = match answers.tally(&sets) {
            _ if before_us.reached(now_us) => Some(Decision::Unavailable {
                reason: Unavailable::NoMajority,
            }),
            Tally::Granted => Some(Decision::Run { before_us }),
            Tally::Taken(claim) => Some(Decision::AlreadyClaimed { claim }),
            Tally::Open => None,
        };
        if let Some(decision) = decision {
            self.decide(now_us, serial, decision, outputs);
            return;
        }
        if !resend_us.reached(now_us) {
            return;
        }
        *resend_us = now_us.after_us(CLAIM_RESEND_US);
        for holder in sets.into_iter().flatten().collect::<BTreeSet<_>>() {
            if answers.counts(&holder) {
                continue;
            }
            followed.asked.insert(holder.clone());
            let message = Message::Claim {
                epoch: self.layout.epoch,
                key: followed.key.clone(),
                attempt: Attempt {
                    claimant: self.peer.clone(),
                    serial,
                },
            };
            outputs.push(ClaimantOutput::Send {
                to: holder,
                message,
            });
        }
    }

    fn decide(
        &mut self,
        now_us: TimeUs,
        serial: u64,
        decision: Decision,
        outputs: &mut Vec<ClaimantOutput>,
    ) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        followed.phase = Phase::Running;
        let run = matches!(decision, Decision::Run { .. });
        outputs.push(ClaimantOutput::Decided { serial, decision });
        if !run {
            self.end(now_us, serial, Ending::DidNotRun, outputs);
        }
    }

    fn end(
        &mut self,
        now_us: TimeUs,
        serial: u64,
        ending: Ending,
        outputs: &mut Vec<ClaimantOutput>,
    ) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        if !matches!(followed.phase, Phase::Running) {
            return;
        }
        let mut unconfirmed = followed.asked.clone();
        if !matches!(ending, Ending::DidNotRun) {
            unconfirmed.extend(self.layout.all_holders(&followed.key));
        }
        followed.phase = Phase::Ending {
            ending,
            unconfirmed,
            resend_us: now_us,
            give_up_us: now_us.after_us(END_GIVE_UP_US),
        };
        self.send_ending(now_us, serial, outputs);
    }

    fn send_ending(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(followed) = self.attempts.get_mut(&serial) else {
            return;
        };
        let Phase::Ending {
            ending,
            unconfirmed,
            resend_us,
            ..
        } = &mut followed.phase
        else {
            return;
        };
        *resend_us = now_us.after_us(END_RESEND_US);
        for holder in unconfirmed.iter() {
            let message = Message::End {
                key: followed.key.clone(),
                attempt: Attempt {
                    claimant: self.peer.clone(),
                    serial,
                },
                ending: ending.clone(),
            };
            outputs.push(ClaimantOutput::Send {
                to: holder.clone(),
                message,
            });
        }
    }
}
