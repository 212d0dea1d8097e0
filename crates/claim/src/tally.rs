//! Evaluates the holders' answers to one attempt: granted, taken or undecided.

use crate::message::{HeldClaim, Peer, Verdict};
use std::collections::BTreeMap;
use types::EntryName;

/// A holder's latest answer and the incarnation that gave it.
#[derive(Clone, Debug)]
pub(crate) struct HolderAnswer {
    pub(crate) incarnation: u64,
    pub(crate) verdict: Verdict,
}

/// The result of evaluating the answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Tally {
    /// In each entry set, a majority of the holders granted the claim.
    Granted,
    /// Another attempt has the key or ran it.
    Taken(HeldClaim),
    /// More answers are needed.
    Undecided,
}

/// The holders' answers to one attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    by_holder: BTreeMap<EntryName, HolderAnswer>,
}

const fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

impl Answers {
    /// Stores an answer, unless one of a later incarnation of the holder, or a grant of the same
    /// incarnation, is stored already.
    pub(crate) fn record(&mut self, from: &Peer, verdict: Verdict) {
        if let Some(stored) = self.by_holder.get(&from.entry) {
            let granted = matches!(stored.verdict, Verdict::Granted { .. });
            let same_incarnation = stored.incarnation == from.incarnation;
            if stored.incarnation > from.incarnation || (granted && same_incarnation) {
                return;
            }
        }
        let answer = HolderAnswer {
            incarnation: from.incarnation,
            verdict,
        };
        self.by_holder.insert(from.entry.clone(), answer);
    }

    /// Whether the holder's grant counts: no holder that granted knows of a later incarnation of
    /// it, which may have recovered without this grant.
    pub(crate) fn has_valid_grant(&self, holder: &EntryName) -> bool {
        let Some(answer) = self.by_holder.get(holder) else {
            return false;
        };
        let granted = matches!(answer.verdict, Verdict::Granted { .. });
        granted && self.latest_incarnation(holder) <= Some(answer.incarnation)
    }

    fn latest_incarnation(&self, holder: &EntryName) -> Option<u64> {
        self.by_holder
            .values()
            .filter_map(|answer| match &answer.verdict {
                Verdict::Granted { known_incarnations } => Some(known_incarnations),
                Verdict::Taken { .. } | Verdict::Refused { .. } => None,
            })
            .flatten()
            .filter(|peer| peer.entry == *holder)
            .map(|peer| peer.incarnation)
            .max()
    }

    fn is_taken(&self, holder: &EntryName) -> bool {
        self.by_holder
            .get(holder)
            .is_some_and(|answer| matches!(answer.verdict, Verdict::Taken { .. }))
    }

    /// Of the claims of other attempts that holders reported, the one with the furthest progress.
    fn furthest_claim(&self) -> Option<&HeldClaim> {
        self.by_holder
            .values()
            .filter_map(|answer| match &answer.verdict {
                Verdict::Taken { claim } => Some(claim),
                Verdict::Granted { .. } | Verdict::Refused { .. } => None,
            })
            .max_by_key(|claim| &claim.progress)
    }

    /// Evaluates the answers, given the key's holders in each entry set of the layout.
    pub(crate) fn tally(&self, sets: &[Vec<EntryName>]) -> Tally {
        let furthest = self.furthest_claim();
        if let Some(claim) = furthest.filter(|claim| claim.progress.is_ended()) {
            return Tally::Taken(claim.clone());
        }
        let granted = |holders: &Vec<EntryName>| {
            holders
                .iter()
                .filter(|holder| self.has_valid_grant(holder))
                .count()
                >= majority(holders.len())
        };
        if !sets.is_empty() && sets.iter().all(granted) {
            return Tally::Granted;
        }
        let cannot_reach_majority = |holders: &Vec<EntryName>| {
            let taken = holders
                .iter()
                .filter(|holder| self.is_taken(holder))
                .count();
            holders.len() - taken < majority(holders.len())
        };
        match furthest {
            Some(claim) if sets.iter().any(cannot_reach_majority) => Tally::Taken(claim.clone()),
            Some(_) | None => Tally::Undecided,
        }
    }
}
