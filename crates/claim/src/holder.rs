//! The holder: grants and stores the claims of the keys that hash to its entry, and recovers them
//! from other holders after a restart.

use crate::{
    key::ClaimKey,
    layout::Layout,
    message::{Attempt, Ending, HeldClaim, HeldRecord, Message, Peer, Progress, Refusal, Verdict},
    recovery::{ChunkHeader, Recovery},
    table::{Owner, Table},
    timing::{Limits, Timing},
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use types::{EntryName, TimeUs};

/// An input of a holder.
#[derive(Clone, Debug)]
pub enum HolderInput {
    /// A configuration with this layout came into force, confirmed by a majority of the control
    /// replicas.
    Layout(Layout),
    /// The configuration lease was renewed.
    Lease {
        /// When the lease expires by this entry's clock.
        until_us: TimeUs,
    },
    /// A message from another entry, or from this one, arrived.
    Message {
        /// The sender, as its connection authenticated it.
        from: Peer,
        /// Messages that are not for a holder are ignored.
        message: Message,
    },
    /// The time of [`Holder::next_deadline_us`] may have come.
    Tick,
}

/// A message that a holder sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver; it may be this entry itself.
    pub to: EntryName,
    /// An answer to a claimant or holder, or a request for records.
    pub message: Message,
}

/// State of a holder in the entry's process dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderStatus {
    /// Number of keys that are stored.
    pub keys: usize,
    /// Bytes of answers that are stored, over all keys.
    pub answer_bytes: usize,
    /// Entries from which the holder has not recovered yet after its start.
    pub missing: Vec<EntryName>,
}

/// The claims that one incarnation of an entry holds.
#[derive(Debug)]
pub struct Holder {
    peer: Peer,
    timing: Timing,
    started_us: TimeUs,
    layout: Option<Layout>,
    lease_until_us: TimeUs,
    table: Table,
    recovery: Option<Recovery>,
    /// The latest incarnation of each peer that asked for a recovery or answered one.
    latest_incarnations: BTreeMap<EntryName, u64>,
}

impl Holder {
    /// A holder without records and without a layout, as an entry has at its start.
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
            latest_incarnations: BTreeMap::new(),
        }
    }

    /// Processes an input and appends the messages to send to `outputs`.
    pub fn step(&mut self, now_us: TimeUs, input: HolderInput, outputs: &mut Vec<Outgoing>) {
        self.table.expire(now_us);
        if let Some(recovery) = &mut self.recovery {
            recovery.expire(now_us);
        }
        match input {
            HolderInput::Layout(layout) => self.apply_layout(now_us, layout),
            HolderInput::Lease { until_us } => self.lease_until_us = until_us,
            HolderInput::Message { from, message } => {
                self.receive(now_us, &from, message, outputs);
            }
            HolderInput::Tick => {}
        }
        self.send_recovery_requests(now_us, outputs);
    }

    /// When [`HolderInput::Tick`] is due; none while nothing is stored and no recovery is in
    /// progress.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<TimeUs> {
        let recovery = self.recovery.as_ref().and_then(Recovery::next_deadline_us);
        self.table
            .next_expiry_us()
            .into_iter()
            .chain(recovery)
            .min()
    }

    /// What the holder stores, and what it has not recovered.
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

    fn apply_layout(&mut self, now_us: TimeUs, layout: Layout) {
        let known = self.layout.as_ref().map(|known| known.epoch);
        if known >= Some(layout.epoch) {
            return;
        }
        if self.recovery.is_none() {
            let expires_us = self.started_us.after_us(self.timing.retention_us());
            let recovery = Recovery::new(&self.peer.entry, now_us, expires_us, &layout.sets);
            self.recovery = Some(recovery);
        }
        self.layout = Some(layout);
    }

    fn send_recovery_requests(&mut self, now_us: TimeUs, outputs: &mut Vec<Outgoing>) {
        let (Some(recovery), Some(layout)) = (&mut self.recovery, &self.layout) else {
            return;
        };
        for request in recovery.due_requests(now_us) {
            let message = Message::Recover {
                epoch: layout.epoch,
                after: request.after,
            };
            let to = request.to;
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
                let verdict = self.answer_claim(now_us, epoch, &key, &attempt);
                Some(Message::Answer { attempt, verdict })
            }
            Message::End {
                key,
                attempt,
                ending,
            } if attempt.claimant == *from => self.record_ending(now_us, &key, attempt, ending),
            Message::Recover { epoch, after } => self.answer_recover(now_us, from, epoch, after),
            Message::Recovered {
                asker_incarnation,
                after,
                missing,
                records,
                next,
            } if asker_incarnation == self.peer.incarnation => {
                let header = ChunkHeader {
                    after: after.as_ref(),
                    missing: &missing,
                    next: next.as_ref(),
                };
                self.apply_recovered(now_us, from, &header, &records);
                None
            }
            Message::Claim { .. }
            | Message::End { .. }
            | Message::Recovered { .. }
            | Message::Answer { .. }
            | Message::EndConfirmed { .. } => None,
        };
        if let Some(message) = answer {
            let to = from.entry.clone();
            outputs.push(Outgoing { to, message });
        }
    }

    fn answer_claim(
        &mut self,
        now_us: TimeUs,
        epoch: u64,
        key: &ClaimKey,
        attempt: &Attempt,
    ) -> Verdict {
        match self.check_claim(now_us, epoch, key, attempt) {
            Err(verdict) => verdict,
            Ok(holders) => {
                let claim = HeldClaim {
                    attempt: attempt.clone(),
                    progress: Progress::Claimed,
                };
                let expires_us = now_us.after_us(self.timing.retention_us());
                match self.table.merge_claim(key, claim, expires_us) {
                    true => self.granted(&holders),
                    false => refused(Refusal::Full),
                }
            }
        }
    }

    /// The key's holders when the attempt may be granted the key now, else the verdict.
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
        let holders = layout.all_holders(key);
        if !layout.has_entries() || !holders.contains(&self.peer.entry) {
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
        let is_recovered = self
            .recovery
            .as_ref()
            .is_some_and(|recovery| recovery.knows_all_claims(key));
        if !is_recovered {
            return Err(refused(Refusal::Recovering));
        }
        Ok(holders)
    }

    fn granted(&self, holders: &BTreeSet<EntryName>) -> Verdict {
        let known_incarnations = self
            .latest_incarnations
            .iter()
            .filter(|(entry, _)| holders.contains(*entry))
            .map(|(entry, incarnation)| Peer {
                entry: entry.clone(),
                incarnation: *incarnation,
            });
        Verdict::Granted {
            known_incarnations: known_incarnations.collect(),
        }
    }

    fn record_ending(
        &mut self,
        now_us: TimeUs,
        key: &ClaimKey,
        attempt: Attempt,
        ending: Ending,
    ) -> Option<Message> {
        let expires_us = now_us.after_us(self.timing.retention_us());
        let release_expires_us = now_us.after_us(self.timing.decide_us);
        let stored = self
            .table
            .end(key, &attempt, ending, expires_us, release_expires_us);
        stored.then_some(Message::EndConfirmed { attempt })
    }

    /// Answers a restarted holder with its next chunk, unless this entry's layout is older than
    /// that holder's.
    fn answer_recover(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        epoch: u64,
        after: Option<ClaimKey>,
    ) -> Option<Message> {
        if !self.record_incarnation(from) {
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

    fn apply_recovered(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        header: &ChunkHeader<'_>,
        records: &[HeldRecord],
    ) {
        if !self.record_incarnation(from) {
            return;
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if !recovery.accept_chunk(now_us, from, header) {
            return;
        }
        for record in records {
            let expires_us = now_us.after_us(record.remaining_us);
            for claim in &record.claims {
                if !self
                    .table
                    .merge_claim(&record.key, claim.clone(), expires_us)
                {
                    return;
                }
            }
        }
        recovery.finish_chunk(now_us, from, header);
    }

    /// Stores the incarnation of a peer; returns false when a later one is known.
    fn record_incarnation(&mut self, peer: &Peer) -> bool {
        match self.latest_incarnations.get_mut(&peer.entry) {
            Some(latest) if *latest > peer.incarnation => false,
            Some(latest) => {
                *latest = peer.incarnation;
                true
            }
            None => {
                self.latest_incarnations
                    .insert(peer.entry.clone(), peer.incarnation);
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
