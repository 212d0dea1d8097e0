//! The claimant: asks holders for the claim of a request's key, decides whether the request may
//! run, and reports to the holders how it ended.

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

/// A claim is sent again after this time to holders whose grant is missing or doesn't count.
const CLAIM_RESEND_US: u64 = 250_000;
/// An ending is sent again after this time to holders that have not confirmed it.
const END_RESEND_US: u64 = 1_000_000;
/// An ending is no longer sent after this time, even to holders that have not confirmed it.
const END_GIVE_UP_US: u64 = 60_000_000;

/// What an attempt waits for.
#[derive(Debug)]
enum Phase {
    /// For grants from the holders, until the attempt is decided.
    Claiming {
        answers: Answers,
        decide_by_us: TimeUs,
        resend_us: TimeUs,
    },
    /// For the end of the request, which was allowed to run.
    Running,
    /// For the holders to confirm how the attempt ended.
    Ending {
        ending: Ending,
        unconfirmed: BTreeSet<EntryName>,
        resend_us: TimeUs,
        give_up_us: TimeUs,
    },
}

/// An attempt from its request until its ending is confirmed or given up.
#[derive(Debug)]
struct OpenAttempt {
    key: ClaimKey,
    /// Every holder that was sent the claim, under any layout.
    asked_holders: BTreeSet<EntryName>,
    phase: Phase,
}

/// The open attempts of one incarnation of an entry.
#[derive(Debug)]
pub struct Claimant {
    peer: Peer,
    timing: Timing,
    limits: Limits,
    layout: Layout,
    last_serial: u64,
    attempts: BTreeMap<u64, OpenAttempt>,
}

impl Claimant {
    /// A claimant without a layout. It lets no request run until it gets one with entries.
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

    /// Starts an attempt to claim `key` and returns its serial number. The decision comes as
    /// [`ClaimantOutput::Decided`] with that number, in these `outputs` or those of a later step.
    /// It is due at `deadline_us`, or [`Timing::decide_us`] from now when that is earlier.
    pub fn request(
        &mut self,
        now_us: TimeUs,
        key: &ClaimKey,
        deadline_us: TimeUs,
        outputs: &mut Vec<ClaimantOutput>,
    ) -> u64 {
        self.last_serial += 1;
        let serial = self.last_serial;
        if let Some(reason) = self.unavailable_reason() {
            let decision = Decision::Unavailable { reason };
            outputs.push(ClaimantOutput::Decided { serial, decision });
            return serial;
        }
        let open_attempt = OpenAttempt {
            key: key.clone(),
            asked_holders: BTreeSet::new(),
            phase: Phase::Claiming {
                answers: Answers::default(),
                decide_by_us: deadline_us.min(now_us.after_us(self.timing.decide_us)),
                resend_us: now_us,
            },
        };
        self.attempts.insert(serial, open_attempt);
        self.advance(now_us, serial, outputs);
        serial
    }

    fn unavailable_reason(&self) -> Option<Unavailable> {
        if self.attempts.len() >= self.limits.attempts {
            return Some(Unavailable::TooMany);
        }
        let has_entries = self.layout.has_entries();
        (!has_entries).then_some(Unavailable::NoHolders)
    }

    /// Processes an input and appends what is to be done to `outputs`.
    pub fn step(
        &mut self,
        now_us: TimeUs,
        input: ClaimantInput,
        outputs: &mut Vec<ClaimantOutput>,
    ) {
        match input {
            ClaimantInput::Layout(layout) => self.apply_layout(now_us, layout, outputs),
            ClaimantInput::Message { from, message } => {
                self.receive(now_us, &from, message, outputs);
            }
            ClaimantInput::Ended { serial, ending } => self.end(now_us, serial, ending, outputs),
            ClaimantInput::Tick => self.advance_all(now_us, outputs),
        }
    }

    /// When [`ClaimantInput::Tick`] is due; none while no attempt waits for a time.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<TimeUs> {
        let deadline = |open_attempt: &OpenAttempt| match &open_attempt.phase {
            Phase::Claiming {
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

    /// Number of open attempts, at most [`Limits::attempts`].
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    fn apply_layout(&mut self, now_us: TimeUs, layout: Layout, outputs: &mut Vec<ClaimantOutput>) {
        if layout.epoch <= self.layout.epoch {
            return;
        }
        self.layout = layout;
        for open_attempt in self.attempts.values_mut() {
            if let Phase::Claiming { resend_us, .. } = &mut open_attempt.phase {
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
                let Some(open_attempt) = self.attempts.get_mut(&attempt.serial) else {
                    return;
                };
                if let Phase::Claiming { answers, .. } = &mut open_attempt.phase {
                    answers.record(from, verdict);
                }
                self.advance(now_us, attempt.serial, outputs);
            }
            Message::EndConfirmed { attempt } if attempt.claimant == self.peer => {
                self.confirm_ending(&from.entry, attempt.serial);
            }
            Message::Answer { .. }
            | Message::EndConfirmed { .. }
            | Message::Claim { .. }
            | Message::End { .. }
            | Message::Recover { .. }
            | Message::Recovered { .. } => {}
        }
    }

    fn confirm_ending(&mut self, holder: &EntryName, serial: u64) {
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        if let Phase::Ending { unconfirmed, .. } = &mut open_attempt.phase {
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

    /// Decides the attempt, sends its messages again or gives it up, whichever is due.
    fn advance(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        match &open_attempt.phase {
            Phase::Claiming { .. } => self.advance_claiming(now_us, serial, outputs),
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

    fn advance_claiming(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        let Phase::Claiming {
            answers,
            decide_by_us,
            resend_us,
        } = &mut open_attempt.phase
        else {
            return;
        };
        let before_us = *decide_by_us;
        let sets = match self.layout.has_entries() {
            true => self.layout.holders(&open_attempt.key),
            false => Vec::new(),
        };
        let decision = match answers.tally(&sets) {
            _ if before_us.reached(now_us) => Some(Decision::Unavailable {
                reason: Unavailable::NoMajority,
            }),
            Tally::Granted => Some(Decision::Run { before_us }),
            Tally::Taken(claim) => Some(Decision::AlreadyClaimed { claim }),
            Tally::Undecided => None,
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
            if answers.has_valid_grant(&holder) {
                continue;
            }
            open_attempt.asked_holders.insert(holder.clone());
            let message = Message::Claim {
                epoch: self.layout.epoch,
                key: open_attempt.key.clone(),
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
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        open_attempt.phase = Phase::Running;
        let may_run = matches!(decision, Decision::Run { .. });
        outputs.push(ClaimantOutput::Decided { serial, decision });
        if !may_run {
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
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        if !matches!(open_attempt.phase, Phase::Running) {
            return;
        }
        let mut unconfirmed = open_attempt.asked_holders.clone();
        if !matches!(ending, Ending::DidNotRun) {
            unconfirmed.extend(self.layout.all_holders(&open_attempt.key));
        }
        open_attempt.phase = Phase::Ending {
            ending,
            unconfirmed,
            resend_us: now_us,
            give_up_us: now_us.after_us(END_GIVE_UP_US),
        };
        self.send_ending(now_us, serial, outputs);
    }

    fn send_ending(&mut self, now_us: TimeUs, serial: u64, outputs: &mut Vec<ClaimantOutput>) {
        let Some(open_attempt) = self.attempts.get_mut(&serial) else {
            return;
        };
        let Phase::Ending {
            ending,
            unconfirmed,
            resend_us,
            ..
        } = &mut open_attempt.phase
        else {
            return;
        };
        *resend_us = now_us.after_us(END_RESEND_US);
        for holder in unconfirmed.iter() {
            let message = Message::End {
                key: open_attempt.key.clone(),
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
