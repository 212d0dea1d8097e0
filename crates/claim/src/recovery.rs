//! What a holder that may have lost its memory knows again.

use crate::{key::ClaimKey, layout::EntrySet, message::Peer};
use std::collections::{BTreeMap, BTreeSet};
use types::{EntryName, TimeUs};

/// An unanswered question is asked again after this time.
const RECOVER_RESEND_US: u64 = 500_000;
/// A peer that lacked claims itself is asked anew after this time.
const RECOVER_AGAIN_US: u64 = 5_000_000;

/// The transfer of one peer's records.
#[derive(Debug, Default)]
struct Transfer {
    /// The peer's run that the present transfer reads from.
    source: Option<u64>,
    /// The last key received of the present transfer.
    after: Option<ClaimKey>,
    /// What the peer lacked at any part of the present transfer.
    lacked: BTreeSet<EntryName>,
    /// What the peer lacked in the last whole transfer.
    whole: Option<BTreeSet<EntryName>>,
    ask_us: TimeUs,
}

/// A question to a peer.
pub(crate) struct Question {
    pub(crate) to: EntryName,
    pub(crate) after: Option<ClaimKey>,
}

/// An answer's place in a transfer.
pub(crate) struct Part<'a> {
    pub(crate) after: Option<&'a ClaimKey>,
    pub(crate) missing: &'a [EntryName],
    pub(crate) next: Option<&'a ClaimKey>,
}

/// Which keys a holder may grant after its start.
#[derive(Debug)]
pub(crate) struct Recovery {
    me: EntryName,
    /// Claims granted by earlier runs of this entry have expired then.
    expires_us: TimeUs,
    /// The sets with this entry that an earlier run may have granted claims under.
    sets: Vec<EntrySet>,
    transfers: BTreeMap<EntryName, Transfer>,
    expired: bool,
}

impl Recovery {
    /// The state at a start of `me`, when `sets` counted.
    pub(crate) fn new(
        me: &EntryName,
        now_us: TimeUs,
        expires_us: TimeUs,
        sets: &[EntrySet],
    ) -> Self {
        let sets: Vec<EntrySet> = sets
            .iter()
            .filter(|set| set.entries().any(|entry| entry == me))
            .cloned()
            .collect();
        let transfer = || Transfer {
            ask_us: now_us,
            ..Transfer::default()
        };
        let transfers = sets
            .iter()
            .flat_map(EntrySet::entries)
            .filter(|entry| *entry != me)
            .map(|entry| (entry.clone(), transfer()))
            .collect();
        Self {
            me: me.clone(),
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
        let asks = self.open().map(|(_, transfer)| transfer.ask_us).min();
        (!self.expired).then(|| asks.map_or(self.expires_us, |ask_us| ask_us.min(self.expires_us)))
    }

    fn open(&self) -> impl Iterator<Item = (&EntryName, &Transfer)> {
        self.transfers
            .iter()
            .filter(|(_, transfer)| !is_complete(transfer))
    }

    /// Peers whose records are not known whole.
    pub(crate) fn missing(&self) -> Vec<EntryName> {
        self.open().map(|(peer, _)| peer.clone()).collect()
    }

    /// Whether every claim on the key that an earlier run granted is known or has expired.
    ///
    /// A majority that the earlier run was part of holds another of the key's holders, so that all
    /// of them must have answered, each with its own memory of the key whole. A sole holder's
    /// claims are known to nobody else.
    pub(crate) fn knows(&self, key: &ClaimKey) -> bool {
        self.expired || self.sets.iter().all(|set| self.knows_under(set, key))
    }

    fn knows_under(&self, set: &EntrySet, key: &ClaimKey) -> bool {
        let holders = set.holders(key);
        if !holders.contains(&&self.me) {
            return true;
        }
        let known_from = |peer: &EntryName| {
            let transfer = self.transfers.get(peer);
            transfer
                .and_then(|transfer| transfer.whole.as_ref())
                .is_some_and(|lacked| !holders.iter().any(|other| lacked.contains(*other)))
        };
        let mut fellows = holders.iter().filter(|holder| ***holder != self.me);
        holders.len() > 1 && fellows.all(|fellow| known_from(fellow))
    }

    /// The questions that are due.
    pub(crate) fn ask(&mut self, now_us: TimeUs) -> Vec<Question> {
        let mut questions = Vec::new();
        for (peer, transfer) in &mut self.transfers {
            if !is_complete(transfer) && transfer.ask_us.reached(now_us) {
                transfer.ask_us = now_us.after_us(RECOVER_RESEND_US);
                questions.push(Question {
                    to: peer.clone(),
                    after: transfer.after.clone(),
                });
            }
        }
        questions
    }

    /// Whether the part is the next one of the present transfer; starts a new transfer when the
    /// peer restarted.
    pub(crate) fn expects(&mut self, now_us: TimeUs, from: &Peer, part: &Part<'_>) -> bool {
        let Some(transfer) = self.transfers.get_mut(&from.entry) else {
            return false;
        };
        if is_complete(transfer) || transfer.after.as_ref() != part.after {
            return false;
        }
        match (part.after, transfer.source) {
            (None, _) => {
                transfer.source = Some(from.incarnation);
                transfer.lacked.clear();
            }
            (Some(_), Some(source)) if source == from.incarnation => {}
            (Some(_), _) => {
                transfer.source = None;
                transfer.after = None;
                transfer.ask_us = now_us;
                return false;
            }
        }
        transfer.lacked.extend(part.missing.iter().cloned());
        true
    }

    /// Goes on after a part whose records were all taken in.
    pub(crate) fn advance(&mut self, now_us: TimeUs, from: &Peer, part: &Part<'_>) {
        let Some(transfer) = self.transfers.get_mut(&from.entry) else {
            return;
        };
        transfer.ask_us = now_us;
        transfer.after = part.next.cloned();
        if transfer.after.is_some() {
            return;
        }
        transfer.whole = Some(std::mem::take(&mut transfer.lacked));
        if !is_complete(transfer) {
            transfer.ask_us = now_us.after_us(RECOVER_AGAIN_US);
        }
    }
}

fn is_complete(transfer: &Transfer) -> bool {
    transfer.whole.as_ref().is_some_and(BTreeSet::is_empty)
}
