//! The tokens of one tenant that gateways may have in hand, as the leader counts them.

use super::{OUTSTANDING_MS, message::TokenWant};
use crate::{fair::Participant, pool::HolderId};
use std::collections::{BTreeMap, VecDeque};
use types::TimeUs;

/// How long a want counts when tokens are divided, after the gateway has told it, in milliseconds.
/// Gateways tell their wants at least this often.
const WANT_LIFE_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    /// The serial of the report that it answers.
    serial: u64,
    granted: u64,
    /// Those of `granted` that the gateway may have in hand.
    outstanding: u64,
    until_us: TimeUs,
}

/// What the leader knows of one gateway.
#[derive(Debug, Default)]
struct Holder {
    /// In the order of their serials, and so of their expiry.
    grants: VecDeque<OutstandingGrant>,
    /// What the gateway still wants after its latest grant.
    unserved: u64,
    unserved_until_us: TimeUs,
}

impl Holder {
    fn granted(&self) -> u64 {
        self.grants.iter().map(|grant| grant.granted).sum()
    }

    /// Takes back what the gateway returns, and stops counting what it no longer holds. Returns how many
    /// tokens came back.
    fn settle(&mut self, applied: u64, want: &TokenWant) -> u64 {
        let mut back = 0;
        for returned in &want.returned {
            let mut grants = self.grants.iter_mut();
            if let Some(grant) = grants.find(|grant| grant.serial == returned.serial) {
                let tokens = returned.tokens.min(grant.outstanding);
                grant.outstanding -= tokens;
                back += tokens;
            }
        }
        // A gateway uses the oldest tokens first, so what it still holds is of the latest grants.
        let mut held = want.held;
        let applied_grants = self.grants.iter_mut().filter(|it| it.serial <= applied);
        for grant in applied_grants.rev() {
            grant.outstanding = grant.outstanding.min(held);
            held -= grant.outstanding;
        }
        back
    }

    fn is_idle(&self, now_us: TimeUs) -> bool {
        self.grants.is_empty() && self.unserved_until_us.reached(now_us)
    }
}

/// Every gateway that may have tokens of a tenant or wanted some lately.
#[derive(Debug, Default)]
pub(super) struct Holders {
    holders: BTreeMap<HolderId, Holder>,
    /// The sum of what all of them may have in hand.
    outstanding: u64,
}

impl Holders {
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// When the next outstanding tokens expire.
    pub fn next_expiry_us(&self) -> Option<TimeUs> {
        let first = |holder: &Holder| holder.grants.front().map(|grant| grant.until_us);
        self.holders.values().filter_map(first).min()
    }

    /// Stops counting the tokens that have expired, and forgets gateways that hold and want nothing.
    pub fn expire(&mut self, now_us: TimeUs) {
        for holder in self.holders.values_mut() {
            while let Some(grant) = holder.grants.front() {
                if !grant.until_us.reached(now_us) {
                    break;
                }
                self.outstanding -= grant.outstanding;
                holder.grants.pop_front();
            }
        }
        self.holders.retain(|_, holder| !holder.is_idle(now_us));
    }

    /// Applies what a gateway says of the grants up to the serial `applied`; returns how many tokens it
    /// gives back.
    pub fn settle(&mut self, gateway: &HolderId, applied: u64, want: &TokenWant) -> u64 {
        let Some(holder) = self.holders.get_mut(gateway) else {
            return 0;
        };
        let before: u64 = holder.grants.iter().map(|it| it.outstanding).sum();
        let back = holder.settle(applied, want);
        let after: u64 = holder.grants.iter().map(|it| it.outstanding).sum();
        self.outstanding -= before - after;
        back
    }

    /// The part of `available` tokens that a gateway gets which wants `wanted` of them. Where there are
    /// too few for all, the tokens of the last second are divided max-min among the gateways that wanted
    /// some in it, so that asking more often brings no more.
    pub fn offer(&self, gateway: &HolderId, wanted: u64, available: u64, now_us: TimeUs) -> u64 {
        let others = self.holders.iter().filter(|(id, _)| *id != gateway);
        let unserved = |holder: &Holder| match holder.unserved_until_us.reached(now_us) {
            true => 0,
            false => holder.unserved,
        };
        let others: Vec<(u64, u64)> = others
            .map(|(_, holder)| (holder.granted(), unserved(holder)))
            .collect();
        let wanted_by_others: u64 = others.iter().map(|(_, unserved)| unserved).sum();
        if wanted + wanted_by_others <= available {
            return wanted;
        }
        let own_granted = self.holders.get(gateway).map_or(0, Holder::granted);
        let demands = others.iter().map(|(granted, unserved)| granted + unserved);
        let participants: Vec<Participant> = std::iter::once(own_granted + wanted)
            .chain(demands)
            .map(|demand| Participant {
                demand,
                local: true,
            })
            .collect();
        let granted: u64 = others.iter().map(|(granted, _)| granted).sum();
        let limit = available + own_granted + granted;
        let shares = crate::fair_shares(limit, &participants);
        let share = shares
            .first()
            .map_or(0, |it| it.saturating_sub(own_granted));
        // Where there is less than one token for each, it goes to those that have got none lately.
        let least = u64::from(own_granted == 0);
        share.max(least).min(wanted).min(available)
    }

    /// Records a grant that answers a report, and what the gateway wanted beyond it.
    pub fn record(
        &mut self,
        gateway: &HolderId,
        serial: u64,
        tokens: u64,
        unserved: u64,
        now_us: TimeUs,
    ) {
        let holder = self.holders.entry(gateway.clone()).or_default();
        holder.unserved = unserved;
        holder.unserved_until_us = now_us.after_ms(WANT_LIFE_MS);
        if tokens > 0 {
            self.outstanding += tokens;
            holder.grants.push_back(OutstandingGrant {
                serial,
                granted: tokens,
                outstanding: tokens,
                until_us: now_us.after_ms(OUTSTANDING_MS),
            });
        }
    }

    /// The number of gateways that wanted more than they got lately.
    pub fn unserved_count(&self, now_us: TimeUs) -> usize {
        let is_unserved = |it: &&Holder| it.unserved > 0 && !it.unserved_until_us.reached(now_us);
        self.holders.values().filter(is_unserved).count()
    }
}
