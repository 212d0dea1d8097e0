//! An entry that holds the claims of the keys that hash to it.

use crate::{
    key::ClaimKey,
    layout::Layout,
    message::{Attempt, Ending, HeldClaim, HeldRecord, Message, Peer, Progress, Refusal, Verdict},
    recovery::{Part, Recovery},
    table::{Owner, Table},
    timing::{Limits, Timing},
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use types::{EntryName, TimeUs};

/// What a holder takes in.
#[derive(Clone, Debug)]
pub enum HolderInput {
    /// A configuration came into force, confirmed by a majority of the control replicas.
    Layout(Layout),
    /// The configuration lease was renewed.
    Lease {
        /// It runs out then.
        until_us: TimeUs,
    },
    /// A peer sent a message.
    Message {
        /// The peer.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// A deadline may have come.
    Tick,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver; it may be this entry itself.
    pub to: EntryName,
    /// The message.
    pub message: Message,
}

/// What a holder tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderStatus {
    /// Keys that are kept.
    pub keys: usize,
    /// Bytes of answers that are kept.
    pub answer_bytes: usize,
    /// Entries whose claims are not yet recovered after a restart.
    pub missing: Vec<EntryName>,
}

/// The claims of one run of an entry.
#[derive(Debug)]
pub struct Holder {
    peer: Peer,
    timing: Timing,
    started_us: TimeUs,
    layout: Option<Layout>,
    lease_until_us: TimeUs,
    table: Table,
    recovery: Option<Recovery>,
    /// The latest run of each peer that asked for a recovery or answered one.
    seen: BTreeMap<EntryName, u64>,
}

impl Holder {
    /// A holder without memory that knows no configuration yet.
    #[must_use]
    pub fn new(peer: &Peer, now_us: TimeUs, timing: Timing, limits: Limits) -> Self {
        Self {
            peer: peer.clone(),
            timing,
            started_us: now_us,
            layout: None,
            lease_until_us: now_us,
            table: Table::new(limits),
            recovery: None,
            seen: BTreeMap::new(),
        }
    }

    /// Takes in what happened and tells what to send.
    pub fn step(&mut self, now_us: TimeUs, input: HolderInput, outputs: &mut Vec<Outgoing>) {
        self.table.expire(now_us);
        if let Some(recovery) = &mut self.recovery {
            recovery.expire(now_us);
        }
        match input {
            HolderInput::Layout(layout) => self.adopt(now_us, layout),
            HolderInput::Lease { until_us } => self.lease_until_us = until_us,
            HolderInput::Message { from, message } => {
                self.receive(now_us, &from, message, outputs);
            }
            HolderInput::Tick => {}
        }
        self.ask(now_us, outputs);
    }

    /// When [`HolderInput::Tick`] is due.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<TimeUs> {
        let recovery = self.recovery.as_ref().and_then(Recovery::next_deadline_us);
        self.table
            .next_expiry_us()
            .into_iter()
            .chain(recovery)
            .min()
    }

    /// What the holder keeps and lacks.
    #[must_use]
    pub fn status(&self) -> HolderStatus {
        HolderStatus {
            keys: self.table.len(),
            answer_bytes: self.table.answer_bytes(),
            missing: self.missing(),
        }
    }

    fn missing(&self) -> Vec<EntryName> {
        self.recovery
            .as_ref()
            .map(Recovery::missing)
            .unwrap_or_default()
    }

    fn adopt(&mut self, now_us: TimeUs, layout: Layout) {
        let known = self.layout.as_ref().map(|known| known.epoch);
        if known >= Some(layout.epoch) {
            return;
        }
        if self.recovery.is_none() {
            let expires_us = self.started_us.after_us(self.timing.keep_us());
            let recovery = Recovery::new(&self.peer.entry, now_us, expires_us, &layout.sets);
            self.recovery = Some(recovery);
        }
        self.layout = Some(layout);
    }

    fn ask(&mut self, now_us: TimeUs, outputs: &mut Vec<Outgoing>) {
        let (Some(recovery), Some(layout)) = (&mut self.recovery, &self.layout) else {
            return;
        };
        for question in recovery.ask(now_us) {
            let message = Message::Recover {
                epoch: layout.epoch,
                after: question.after,
            };
            let to = question.to;
            outputs.push(Outgoing { to, message });
        }
    }

    fn receive(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        message: Message,
        outputs: &mut Vec<Outgoing>,
    ) {
        let answer = match message {
            Message::Claim {
                epoch,
                key,
                attempt,
            } if attempt.claimant == *from => {
                let verdict = self.claim(now_us, epoch, &key, &attempt);
                Some(Message::Answer { attempt, verdict })
            }
            Message::End {
                key,
                attempt,
                ending,
            } if attempt.claimant == *from => self.end(now_us, &key, attempt, ending),
            Message::Recover { epoch, after } => self.recover(now_us, from, epoch, after),
            Message::Recovered {
                asker_incarnation,
                after,
                missing,
                records,
                next,
            } if asker_incarnation == self.peer.incarnation => {
                let part = Part {
                    after: after.as_ref(),
                    missing: &missing,
                    next: next.as_ref(),
                };
                self.recovered(now_us, from, &part, &records);
                None
            }
            Message::Claim { .. }
            | Message::End { .. }
            | Message::Recovered { .. }
            | Message::Answer { .. }
            | Message::EndNoted { .. } => None,
        };
        if let Some(message) = answer {
            let to = from.entry.clone();
            outputs.push(Outgoing { to, message });
        }
    }

    fn claim(&mut self, now_us: TimeUs, epoch: u64, key: &ClaimKey, attempt: &Attempt) -> Verdict {
        match self.check_claim(now_us, epoch, key, attempt) {
            Err(verdict) => verdict,
            Ok(fellows) => {
                let claim = HeldClaim {
                    attempt: attempt.clone(),
                    progress: Progress::Claimed,
                };
                let expires_us = now_us.after_us(self.timing.keep_us());
                match self.table.put(key, claim, expires_us) {
                    true => self.granted(&fellows),
                    false => refused(Refusal::Full),
                }
            }
        }
    }

    /// The key's holders, if the attempt may be given the key now.
    fn check_claim(
        &self,
        now_us: TimeUs,
        epoch: u64,
        key: &ClaimKey,
        attempt: &Attempt,
    ) -> Result<BTreeSet<EntryName>, Verdict> {
        if self.lease_until_us.reached(now_us) {
            return Err(refused(Refusal::Lease));
        }
        let Some(layout) = self.layout.as_ref().filter(|known| known.epoch == epoch) else {
            return Err(refused(Refusal::Epoch));
        };
        let fellows = layout.all_holders(key);
        if !layout.is_declared() || !fellows.contains(&self.peer.entry) {
            return Err(refused(Refusal::NotHolder));
        }
        match self.table.owner(key) {
            Owner::One(claim) if claim.attempt != *attempt => return Err(taken(claim)),
            Owner::Contested(claims) => {
                let furthest = claims
                    .iter()
                    .filter(|claim| claim.attempt != *attempt)
                    .max_by_key(|claim| &claim.progress);
                return Err(furthest.map_or_else(|| refused(Refusal::Released), taken));
            }
            Owner::Released(released) if released == attempt => {
                return Err(refused(Refusal::Released));
            }
            Owner::None | Owner::Released(_) | Owner::One(_) => {}
        }
        let knows = self
            .recovery
            .as_ref()
            .is_some_and(|recovery| recovery.knows(key));
        if !knows {
            return Err(refused(Refusal::Recovering));
        }
        Ok(fellows)
    }

    fn granted(&self, fellows: &BTreeSet<EntryName>) -> Verdict {
        let seen = self
            .seen
            .iter()
            .filter(|(entry, _)| fellows.contains(*entry))
            .map(|(entry, incarnation)| Peer {
                entry: entry.clone(),
                incarnation: *incarnation,
            });
        Verdict::Granted {
            seen: seen.collect(),
        }
    }

    fn end(
        &mut self,
        now_us: TimeUs,
        key: &ClaimKey,
        attempt: Attempt,
        ending: Ending,
    ) -> Option<Message> {
        let expires_us = now_us.after_us(self.timing.keep_us());
        let forget_us = now_us.after_us(self.timing.decide_us);
        let noted = self.table.end(key, &attempt, ending, expires_us, forget_us);
        noted.then_some(Message::EndNoted { attempt })
    }

    /// Answers a peer that lost its memory, unless this entry is behind its configuration.
    fn recover(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        epoch: u64,
        after: Option<ClaimKey>,
    ) -> Option<Message> {
        if !self.note_run(from) {
            return None;
        }
        let layout = self.layout.as_ref().filter(|known| known.epoch >= epoch)?;
        let (records, next) = self.table.chunk(now_us, after.as_ref(), |key| {
            layout.all_holders(key).contains(&from.entry)
        });
        Some(Message::Recovered {
            asker_incarnation: from.incarnation,
            after,
            missing: self.missing(),
            records,
            next,
        })
    }

    fn recovered(&mut self, now_us: TimeUs, from: &Peer, part: &Part<'_>, records: &[HeldRecord]) {
        if !self.note_run(from) {
            return;
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if !recovery.expects(now_us, from, part) {
            return;
        }
        for record in records {
            let expires_us = now_us.after_us(record.remaining_us);
            for claim in &record.claims {
                if !self.table.put(&record.key, claim.clone(), expires_us) {
                    return;
                }
            }
        }
        recovery.advance(now_us, from, part);
    }

    /// Remembers the latest run of a peer; false for an earlier one.
    fn note_run(&mut self, peer: &Peer) -> bool {
        match self.seen.get_mut(&peer.entry) {
            Some(latest) if *latest > peer.incarnation => false,
            Some(latest) => {
                *latest = peer.incarnation;
                true
            }
            None => {
                self.seen.insert(peer.entry.clone(), peer.incarnation);
                true
            }
        }
    }
}

const fn refused(refusal: Refusal) -> Verdict {
    Verdict::Refused { refusal }
}

fn taken(claim: &HeldClaim) -> Verdict {
    Verdict::Taken {
        claim: claim.clone(),
    }
}
