//! The tokens of one tenant that gateways may have in hand, as the leader counts them.

use super::{OUTSTANDING_MS, message::TokenWant};
use crate::{fair::Participant, pool::HolderId};
use std::collections::{BTreeMap, VecDeque};
use types::TimeUs;

/// How long a want counts when tokens are divided, after the gateway has told it, in milliseconds.
/// Gateways tell their wants at least this often.
const WANT_LIFE_MS: u64 = 1_000;

/// How often wants that no longer count are dropped, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    /// The serial of the report that it answers.
    serial: u64,
    granted: u64,
    /// Those of `granted` that the gateway may have in hand.
    outstanding: u64,
}

/// What the leader knows of one gateway.
#[derive(Debug, Default)]
struct Holder {
    /// In the order of their serials, and so of their expiry.
    grants: VecDeque<OutstandingGrant>,
    /// The sum of what was granted.
    granted: u64,
    /// What the gateway still wants after its latest grant.
    unserved: u64,
    unserved_until_us: TimeUs,
}

impl Holder {
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

    fn outstanding(&self) -> u64 {
        self.grants.iter().map(|grant| grant.outstanding).sum()
    }
}

/// Every gateway that may have tokens of a tenant or wanted some lately.
#[derive(Debug, Default)]
pub(super) struct Holders {
    holders: BTreeMap<HolderId, Holder>,
    /// When each grant expires, in that order.
    expiries: VecDeque<(TimeUs, HolderId)>,
    /// The sum of what all of them may have in hand.
    outstanding: u64,
    /// The sum of what all of them were granted and has not expired.
    granted: u64,
    /// The sum of what all of them still want; some of it may no longer count.
    unserved: u64,
    next_sweep_us: TimeUs,
}

impl Holders {
    pub const fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// When the next outstanding tokens expire.
    pub fn next_expiry_us(&self) -> Option<TimeUs> {
        self.expiries.front().map(|(until_us, _)| *until_us)
    }

    /// Stops counting the tokens that have expired, and forgets gateways that hold and want nothing.
    pub fn expire(&mut self, now_us: TimeUs) {
        while let Some((until_us, _)) = self.expiries.front() {
            if !until_us.reached(now_us) {
                break;
            }
            let expired = self.expiries.pop_front();
            let holder = expired.and_then(|(_, gateway)| self.holders.get_mut(&gateway));
            if let Some((holder, grant)) =
                holder.and_then(|it| it.grants.pop_front().map(|grant| (it, grant)))
            {
                holder.granted -= grant.granted;
                self.granted -= grant.granted;
                self.outstanding -= grant.outstanding;
            }
        }
        if self.next_sweep_us.reached(now_us) {
            self.next_sweep_us = now_us.after_ms(SWEEP_INTERVAL_MS);
            for holder in self.holders.values_mut() {
                if holder.unserved_until_us.reached(now_us) {
                    self.unserved -= holder.unserved;
                    holder.unserved = 0;
                }
            }
            self.holders
                .retain(|_, it| !it.grants.is_empty() || it.unserved > 0);
        }
    }

    /// Applies what a gateway says of the grants up to the serial `applied`; returns how many tokens it
    /// gives back.
    pub fn settle(&mut self, gateway: &HolderId, applied: u64, want: &TokenWant) -> u64 {
        let Some(holder) = self.holders.get_mut(gateway) else {
            return 0;
        };
        let before = holder.outstanding();
        let back = holder.settle(applied, want);
        self.outstanding -= before - holder.outstanding();
        back
    }

    /// The part of `available` tokens that a gateway gets which wants `wanted` of them. Where there are
    /// too few for all, the tokens of the last second are divided max-min among the gateways that wanted
    /// some in it, so that asking more often brings no more.
    pub fn offer(&self, gateway: &HolderId, wanted: u64, available: u64) -> u64 {
        let own = self.holders.get(gateway);
        let (own_granted, own_unserved) = own.map_or((0, 0), |own| (own.granted, own.unserved));
        if wanted + self.unserved - own_unserved <= available {
            return wanted;
        }
        let others = self.holders.iter().filter(|(id, _)| *id != gateway);
        let demands = others.map(|(_, holder)| holder.granted + holder.unserved);
        let participants: Vec<Participant> = std::iter::once(own_granted + wanted)
            .chain(demands)
            .map(|demand| Participant {
                demand,
                local: true,
            })
            .collect();
        let shares = crate::fair_shares(available + self.granted, &participants);
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
        self.unserved = self.unserved - holder.unserved + unserved;
        holder.unserved = unserved;
        holder.unserved_until_us = now_us.after_ms(WANT_LIFE_MS);
        if tokens > 0 {
            self.outstanding += tokens;
            self.granted += tokens;
            holder.granted += tokens;
            holder.grants.push_back(OutstandingGrant {
                serial,
                granted: tokens,
                outstanding: tokens,
            });
            let until_us = now_us.after_ms(OUTSTANDING_MS);
            self.expiries.push_back((until_us, gateway.clone()));
        }
    }

    /// The number of gateways that wanted more than they got lately.
    pub fn unserved_count(&self) -> usize {
        let is_unserved = |holder: &&Holder| holder.unserved > 0;
        self.holders.values().filter(is_unserved).count()
    }
}
