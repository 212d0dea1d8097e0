//! Recovers a holder's records from other entries after a restart, and tells which keys are
//! complete.
//!
//! Holders keep claims in memory only, so an entry that starts may have granted claims in an
//! earlier incarnation. It asks every other entry of its sets for the records that both hold, in
//! chunks in the order of keys.

use crate::{key::ClaimKey, layout::EntrySet, message::Peer};
use std::collections::{BTreeMap, BTreeSet};
use types::{EntryName, TimeUs};

/// An unanswered request is sent again after this time.
const RECOVER_RESEND_US: u64 = 500_000;
/// A transfer from a peer that had not recovered itself is repeated after this time.
const RECOVER_REPEAT_US: u64 = 5_000_000;

/// The transfer of records from one peer.
#[derive(Debug, Default)]
struct Transfer {
    /// The peer's incarnation that the current transfer reads from; none before its first chunk.
    source_incarnation: Option<u64>,
    /// The key after which the next chunk starts; none for the first chunk.
    after: Option<ClaimKey>,
    /// Entries that any chunk of the current transfer reported as missing.
    missing: BTreeSet<EntryName>,
    /// Entries that the last complete transfer reported as missing; none before the first one.
    complete_missing: Option<BTreeSet<EntryName>>,
    /// When the next request is due.
    request_us: TimeUs,
}

/// A request to a peer for the records after a key.
pub(crate) struct RecoveryRequest {
    pub(crate) to: EntryName,
    pub(crate) after: Option<ClaimKey>,
}

/// A received chunk without its records; see [`Message::Recovered`](crate::Message::Recovered).
pub(crate) struct ChunkHeader<'a> {
    pub(crate) after: Option<&'a ClaimKey>,
    pub(crate) missing: &'a [EntryName],
    pub(crate) next: Option<&'a ClaimKey>,
}

/// Which records a holder has recovered since its start, and so which keys it may grant.
#[derive(Debug)]
pub(crate) struct Recovery {
    this_entry: EntryName,
    /// When every claim that an earlier incarnation of this entry granted has expired.
    expires_us: TimeUs,
    /// The sets with this entry under which an earlier incarnation may have granted claims.
    sets: Vec<EntrySet>,
    transfers: BTreeMap<EntryName, Transfer>,
    expired: bool,
}

impl Recovery {
    /// The state at the start of `this_entry`, with the entry sets of its first layout.
    pub(crate) fn new(
        this_entry: &EntryName,
        now_us: TimeUs,
        expires_us: TimeUs,
        sets: &[EntrySet],
    ) -> Self {
        let sets: Vec<EntrySet> = sets
            .iter()
            .filter(|set| set.entries().any(|entry| entry == this_entry))
            .cloned()
            .collect();
        let transfer = || Transfer {
            request_us: now_us,
            ..Transfer::default()
        };
        let transfers = sets
            .iter()
            .flat_map(EntrySet::entries)
            .filter(|entry| *entry != this_entry)
            .map(|entry| (entry.clone(), transfer()))
            .collect();
        Self {
            this_entry: this_entry.clone(),
            expires_us,
            sets,
            transfers,
            expired: false,
        }
    }

    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        if self.expires_us.reached(now_us) {
            self.expired = true;
            self.transfers.clear();
        }
    }

    pub(crate) fn next_deadline_us(&self) -> Option<TimeUs> {
        let first_request_us = self
            .incomplete()
            .map(|(_, transfer)| transfer.request_us)
            .min();
        (!self.expired).then(|| {
            first_request_us.map_or(self.expires_us, |request_us| {
                request_us.min(self.expires_us)
            })
        })
    }

    fn incomplete(&self) -> impl Iterator<Item = (&EntryName, &Transfer)> {
        self.transfers
            .iter()
            .filter(|(_, transfer)| !is_complete(transfer))
    }

    /// Peers that have not sent all their records, or were missing some themselves.
    pub(crate) fn missing(&self) -> Vec<EntryName> {
        self.incomplete().map(|(peer, _)| peer.clone()).collect()
    }

    /// Whether every claim on the key that an earlier incarnation granted is known or has expired.
    ///
    /// Any majority that the earlier incarnation was part of includes another holder of the key,
    /// and it may be any of them. So all of them must have answered, each with its own records of
    /// the key complete. The claims of a sole holder are known to nobody else, so it waits until
    /// they have expired.
    pub(crate) fn knows_all_claims(&self, key: &ClaimKey) -> bool {
        self.expired
            || self
                .sets
                .iter()
                .all(|set| self.knows_all_claims_under(set, key))
    }

    fn knows_all_claims_under(&self, set: &EntrySet, key: &ClaimKey) -> bool {
        let holders = set.holders(key);
        if !holders.contains(&&self.this_entry) {
            return true;
        }
        let is_known_from = |peer: &EntryName| {
            let transfer = self.transfers.get(peer);
            transfer
                .and_then(|transfer| transfer.complete_missing.as_ref())
                .is_some_and(|missing| !holders.iter().any(|other| missing.contains(*other)))
        };
        let mut others = holders.iter().filter(|holder| ***holder != self.this_entry);
        holders.len() > 1 && others.all(|other| is_known_from(other))
    }

    /// The requests that are due; each is due again after [`RECOVER_RESEND_US`].
    pub(crate) fn due_requests(&mut self, now_us: TimeUs) -> Vec<RecoveryRequest> {
        let mut requests = Vec::new();
        for (peer, transfer) in &mut self.transfers {
            if !is_complete(transfer) && transfer.request_us.reached(now_us) {
                transfer.request_us = now_us.after_us(RECOVER_RESEND_US);
                requests.push(RecoveryRequest {
                    to: peer.clone(),
                    after: transfer.after.clone(),
                });
            }
        }
        requests
    }

    /// Whether the chunk is the next one of the current transfer. Starts a new transfer when the
    /// peer restarted meanwhile.
    pub(crate) fn accept_chunk(
        &mut self,
        now_us: TimeUs,
        from: &Peer,
        header: &ChunkHeader<'_>,
    ) -> bool {
        let Some(transfer) = self.transfers.get_mut(&from.entry) else {
            return false;
        };
        if is_complete(transfer) || transfer.after.as_ref() != header.after {
            return false;
        }
        match (header.after, transfer.source_incarnation) {
            (None, _) => {
                transfer.source_incarnation = Some(from.incarnation);
                transfer.missing.clear();
            }
            (Some(_), Some(incarnation)) if incarnation == from.incarnation => {}
            (Some(_), _) => {
                transfer.source_incarnation = None;
                transfer.after = None;
                transfer.request_us = now_us;
                return false;
            }
        }
        transfer.missing.extend(header.missing.iter().cloned());
        true
    }

    /// Moves on to the next chunk, once all records of this one are stored.
    pub(crate) fn finish_chunk(&mut self, now_us: TimeUs, from: &Peer, header: &ChunkHeader<'_>) {
        let Some(transfer) = self.transfers.get_mut(&from.entry) else {
            return;
        };
        transfer.request_us = now_us;
        transfer.after = header.next.cloned();
        if transfer.after.is_some() {
            return;
        }
        transfer.complete_missing = Some(std::mem::take(&mut transfer.missing));
        if !is_complete(transfer) {
            transfer.request_us = now_us.after_us(RECOVER_REPEAT_US);
        }
    }
}

/// Whether the peer sent all its records and was itself not missing any.
fn is_complete(transfer: &Transfer) -> bool {
    transfer
        .complete_missing
        .as_ref()
        .is_some_and(BTreeSet::is_empty)
}
