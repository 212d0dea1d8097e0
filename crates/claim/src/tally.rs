//! What the holders' answers to one attempt amount to.

use crate::message::{HeldClaim, Peer, Verdict};
use std::collections::BTreeMap;
use types::EntryName;

/// A holder's latest answer and the run that gave it.
#[derive(Clone, Debug)]
pub(crate) struct HolderAnswer {
    pub(crate) incarnation: u64,
    pub(crate) verdict: Verdict,
}

/// What the answers amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Tally {
    /// A majority of each set granted the claim.
    Granted,
    /// Another attempt has the key or ran it.
    Taken(HeldClaim),
    /// More answers are needed.
    Open,
}

/// The answers to one attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    by_holder: BTreeMap<EntryName, HolderAnswer>,
}

const fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

impl Answers {
    /// Keeps an answer unless a later run of the holder, or a grant of the same run, is known.
    pub(crate) fn note(&mut self, from: &Peer, verdict: Verdict) {
        if let Some(known) = self.by_holder.get(&from.entry) {
            let granted = matches!(known.verdict, Verdict::Granted { .. });
            let same_run = known.incarnation == from.incarnation;
            if known.incarnation > from.incarnation || (granted && same_run) {
                return;
            }
        }
        let answer = HolderAnswer {
            incarnation: from.incarnation,
            verdict,
        };
        self.by_holder.insert(from.entry.clone(), answer);
    }

    /// Whether the holder's grant counts: no other holder knows of a later run of it, which may
    /// have recovered without this grant.
    pub(crate) fn counts(&self, holder: &EntryName) -> bool {
        let Some(answer) = self.by_holder.get(holder) else {
            return false;
        };
        let granted = matches!(answer.verdict, Verdict::Granted { .. });
        granted && self.latest_run(holder) <= Some(answer.incarnation)
    }

    fn latest_run(&self, holder: &EntryName) -> Option<u64> {
        self.by_holder
            .values()
            .filter_map(|answer| match &answer.verdict {
                Verdict::Granted { seen } => Some(seen),
                Verdict::Taken { .. } | Verdict::Refused { .. } => None,
            })
            .flatten()
            .filter(|peer| peer.entry == *holder)
            .map(|peer| peer.incarnation)
            .max()
    }

    fn taken(&self, holder: &EntryName) -> bool {
        self.by_holder
            .get(holder)
            .is_some_and(|answer| matches!(answer.verdict, Verdict::Taken { .. }))
    }

    /// The other claim that has come furthest.
    fn furthest(&self) -> Option<&HeldClaim> {
        self.by_holder
            .values()
            .filter_map(|answer| match &answer.verdict {
                Verdict::Taken { claim } => Some(claim),
                Verdict::Granted { .. } | Verdict::Refused { .. } => None,
            })
            .max_by_key(|claim| &claim.progress)
    }

    /// Weighs the answers of the key's holders in each set.
    pub(crate) fn tally(&self, sets: &[Vec<EntryName>]) -> Tally {
        let furthest = self.furthest();
        if let Some(claim) = furthest.filter(|claim| claim.progress.is_ended()) {
            return Tally::Taken(claim.clone());
        }
        let granted = |holders: &Vec<EntryName>| {
            holders.iter().filter(|holder| self.counts(holder)).count() >= majority(holders.len())
        };
        if !sets.is_empty() && sets.iter().all(granted) {
            return Tally::Granted;
        }
        let lost = |holders: &Vec<EntryName>| {
            let taken = holders.iter().filter(|holder| self.taken(holder)).count();
            holders.len() - taken < majority(holders.len())
        };
        match furthest {
            Some(claim) if sets.iter().any(lost) => Tally::Taken(claim.clone()),
            Some(_) | None => Tally::Open,
        }
    }
}
