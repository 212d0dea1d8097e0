//! The claims that one holder stores for each key, until they expire. The number of keys and the
//! bytes of answers are bounded.

use crate::{
    key::ClaimKey,
    message::{Attempt, Ending, HeldClaim, HeldRecord, Progress},
    timing::Limits,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
};
use types::TimeUs;

/// Records that are scanned for one chunk of a recovery, per record that the chunk may carry.
const SCANNED_PER_RECORD: usize = 16;
/// A chunk of a recovery takes no further record once its answers have this many bytes.
const CHUNK_ANSWER_BYTES: usize = 256 * 1024;

/// The record of one key.
#[derive(Debug, Default)]
struct Record {
    claims: Vec<HeldClaim>,
    /// The latest attempt that ended as [`Ending::DidNotRun`]; a delayed claim of it is not
    /// granted.
    released: Option<Attempt>,
    expires_us: TimeUs,
}

/// The attempt or attempts that have a key.
pub(crate) enum Owner<'a> {
    /// No attempt.
    None,
    /// No attempt; this one had the key or asked for it, and released it.
    Released(&'a Attempt),
    /// The attempt of the only claim.
    One(&'a HeldClaim),
    /// Several claims, recovered from holders that granted different attempts. Any of them may have
    /// a majority.
    Contested(&'a [HeldClaim]),
}

/// The records of a holder, with an index by expiry.
#[derive(Debug)]
pub(crate) struct Table {
    limits: Limits,
    records: BTreeMap<Arc<ClaimKey>, Record>,
    expiries: BTreeSet<(TimeUs, Arc<ClaimKey>)>,
    answer_bytes: usize,
}

fn answer_bytes(progress: &Progress) -> usize {
    match progress {
        Progress::Finished {
            answer: Some(answer),
            ..
        } => answer.len(),
        Progress::Finished { answer: None, .. } | Progress::Claimed | Progress::Unknown => 0,
    }
}

impl Table {
    pub(crate) const fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    pub(crate) fn next_expiry_us(&self) -> Option<TimeUs> {
        self.expiries.first().map(|(expires_us, _)| *expires_us)
    }

    /// Removes the records that have expired.
    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        while let Some((expires_us, _)) = self.expiries.first()
            && expires_us.reached(now_us)
            && let Some((_, key)) = self.expiries.pop_first()
            && let Some(record) = self.records.remove(&key)
        {
            let freed = record
                .claims
                .iter()
                .map(|claim| answer_bytes(&claim.progress));
            self.answer_bytes -= freed.sum::<usize>();
        }
    }

    pub(crate) fn owner(&self, key: &ClaimKey) -> Owner<'_> {
        let Some(record) = self.records.get(key) else {
            return Owner::None;
        };
        match (record.claims.as_slice(), &record.released) {
            ([], Some(attempt)) => Owner::Released(attempt),
            ([], None) => Owner::None,
            ([claim], _) => Owner::One(claim),
            (claims, _) => Owner::Contested(claims),
        }
    }

    /// Creates the key's record, or extends it, to expire at `expires_us` at the earliest. Returns
    /// false when the record would exceed [`Limits::keys`].
    fn ensure_record(&mut self, key: &ClaimKey, expires_us: TimeUs) -> bool {
        if let Some(record) = self.records.get(key) {
            if record.expires_us < expires_us {
                self.set_expiry(key, expires_us);
            }
            return true;
        }
        if self.records.len() >= self.limits.keys {
            return false;
        }
        let key = Arc::new(key.clone());
        let record = Record {
            expires_us,
            ..Record::default()
        };
        self.records.insert(Arc::clone(&key), record);
        self.expiries.insert((expires_us, key));
        true
    }

    fn set_expiry(&mut self, key: &ClaimKey, expires_us: TimeUs) {
        let Some((key, _)) = self.records.get_key_value(key) else {
            return;
        };
        let key = Arc::clone(key);
        if let Some(record) = self.records.get_mut(&key) {
            let previous_us = std::mem::replace(&mut record.expires_us, expires_us);
            self.expiries.remove(&(previous_us, Arc::clone(&key)));
            self.expiries.insert((expires_us, key));
        }
    }

    /// Adds a claim, or updates the stored one of the same attempt when its progress is further.
    /// Returns false when there is no room for the key.
    pub(crate) fn merge_claim(
        &mut self,
        key: &ClaimKey,
        claim: HeldClaim,
        expires_us: TimeUs,
    ) -> bool {
        if !self.ensure_record(key, expires_us) {
            return false;
        }
        let progress = self.without_oversized_answer(claim.progress);
        let Some(record) = self.records.get_mut(key) else {
            return false;
        };
        if record.released.as_ref() == Some(&claim.attempt) && !progress.is_ended() {
            return true;
        }
        let stored = record
            .claims
            .iter_mut()
            .find(|stored| stored.attempt == claim.attempt);
        match stored {
            Some(stored) if progress > stored.progress => {
                self.answer_bytes += answer_bytes(&progress);
                self.answer_bytes -= answer_bytes(&stored.progress);
                stored.progress = progress;
            }
            Some(_) => {}
            None => {
                self.answer_bytes += answer_bytes(&progress);
                let attempt = claim.attempt;
                record.claims.reserve_exact(1);
                record.claims.push(HeldClaim { attempt, progress });
            }
        }
        true
    }

    /// The progress, without its answer when that would exceed [`Limits::answer_bytes`].
    fn without_oversized_answer(&self, progress: Progress) -> Progress {
        let free_bytes = self.limits.answer_bytes.saturating_sub(self.answer_bytes);
        match progress {
            Progress::Finished { status, answer } => Progress::Finished {
                status,
                answer: answer.filter(|answer| answer.len() <= free_bytes),
            },
            Progress::Claimed | Progress::Unknown => progress,
        }
    }

    /// Stores how an attempt ended; returns false when there is no room for the key. A key without
    /// any claim left expires at `release_expires_us`.
    pub(crate) fn end(
        &mut self,
        key: &ClaimKey,
        attempt: &Attempt,
        ending: Ending,
        expires_us: TimeUs,
        release_expires_us: TimeUs,
    ) -> bool {
        let progress = match ending {
            Ending::DidNotRun => return self.release(key, attempt, release_expires_us),
            Ending::Unknown => Progress::Unknown,
            Ending::Finished { status, answer } => Progress::Finished { status, answer },
        };
        let attempt = attempt.clone();
        self.merge_claim(key, HeldClaim { attempt, progress }, expires_us)
    }

    fn release(&mut self, key: &ClaimKey, attempt: &Attempt, release_expires_us: TimeUs) -> bool {
        if !self.ensure_record(key, release_expires_us) {
            return false;
        }
        if let Some(record) = self.records.get_mut(key) {
            record.claims.retain(|claim| claim.attempt != *attempt);
            record.released = Some(attempt.clone());
            if record.claims.is_empty() {
                self.set_expiry(key, release_expires_us);
            }
        }
        true
    }

    /// The next records after the key `after` whose key is wanted, and the key after which the next
    /// chunk starts; none after the last record.
    pub(crate) fn chunk(
        &self,
        now_us: TimeUs,
        after: Option<&ClaimKey>,
        wanted: impl Fn(&ClaimKey) -> bool,
    ) -> (Vec<HeldRecord>, Option<ClaimKey>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records_max = self.limits.recovery_records;
        let scanned_max = records_max * SCANNED_PER_RECORD;
        let mut bytes = 0;
        let mut chunk = Vec::new();
        let mut last: Option<&ClaimKey> = None;
        let records = self.records.range::<ClaimKey, _>((start, Bound::Unbounded));
        for (scanned, (key, record)) in records.enumerate() {
            let is_full = chunk.len() >= records_max || bytes >= CHUNK_ANSWER_BYTES;
            if is_full || scanned >= scanned_max {
                return (chunk, last.cloned());
            }
            last = Some(key.as_ref());
            if record.claims.is_empty() || !wanted(key) {
                continue;
            }
            let claims = record.claims.iter();
            bytes += claims
                .map(|claim| answer_bytes(&claim.progress))
                .sum::<usize>();
            chunk.push(HeldRecord {
                key: key.as_ref().clone(),
                claims: record.claims.clone(),
                remaining_us: record.expires_us.since_us(now_us),
            });
        }
        (chunk, None)
    }
}
