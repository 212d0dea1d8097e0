//! Max-min shares of what a service runs, among the parties that use it.
//!
//! Work is counted in milliseconds of run time, since a slot is what is short. Every amount decays
//! with the same time constant; it is kept in units that grow by that rate ([`Weighting`]), so that
//! nothing changes between requests. Parties are counted by the size of their demand in a fixed number
//! of bins, from which the share follows at a cost that doesn't depend on the number of parties.

use crate::admission::returns::Returns;
use std::collections::HashMap;
use types::TimeUs;

/// The time constant with which work is forgotten, in microseconds. A gateway gets less than one request
/// a second of most tenants; a shorter time would take a tenant's random bursts for its demand.
pub(crate) const DECAY_US: f64 = 5_000_000.0;

/// The age of the weighting at which amounts are scaled back, as a multiple of `DECAY_US`.
const WEIGHTING_AGE_MAX: f64 = 8.0;

/// Parties that are counted one by one; further ones are counted as one. More than a plan's tenants.
const PARTIES_MAX: usize = 2_048;

/// The party that stands for those above `PARTIES_MAX`. No tenant or route has an empty name.
const OTHERS: &str = "";

/// A party whose decayed demand is below this is dropped, in milliseconds of run time.
const DEMAND_MIN_MS: f64 = 0.1;

/// The part of the demand that must have been refused for the capacity to count as short.
const SHORTAGE_MIN: f64 = 0.01;

/// A party is alone when others have less than this part of what is admitted.
const OTHERS_PART_MIN: f64 = 0.02;

/// The weight with which a party's stated times lower the largest one. A client that is refused states
/// less time up to a dozen times, so it must be small.
const STATED_WEIGHT: f64 = 0.002;

/// A request that states less than this part of what its party's clients usually state has been refused
/// before. The rest allows for clients that state rounded times.
const RETURN_PART_MAX: f64 = 0.97;

/// Bins for each doubling of the demand; a share is exact to about a sixth of that.
const BINS_PER_DOUBLING: f64 = 4.0;

/// Bins of parties by demand, from 2^-10 to 2^30 ms.
const BINS: usize = 160;

/// The bin of a demand of one millisecond.
const BIN_OF_ONE_MS: f64 = 40.0;

/// The units of decaying amounts: work counts the more, the later it comes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighting {
    since_us: TimeUs,
}

impl Weighting {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self { since_us: now_us }
    }

    /// What one millisecond of work weighs now.
    pub(crate) fn weight(self, now_us: TimeUs) -> f64 {
        (now_us.since_us(self.since_us) as f64 / DECAY_US).exp()
    }

    /// Begins anew when the weights have grown large; returns the factor to scale all amounts by.
    pub(crate) fn renew(&mut self, now_us: TimeUs) -> Option<f64> {
        let age_us = now_us.since_us(self.since_us) as f64;
        if age_us < WEIGHTING_AGE_MAX * DECAY_US {
            return None;
        }
        self.since_us = now_us;
        Some((-age_us / DECAY_US).exp())
    }
}

/// What one party asked for and got.
#[derive(Clone, Debug, Default)]
struct Party {
    asked: f64,
    admitted: f64,
    /// The largest part of their routes' time that its clients stated lately.
    stated_part: f64,
    returns: Returns,
}

/// The parties whose demand is of about the same size.
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    parties: u32,
    asked: f64,
}

/// What the parties of one class asked for and got, in weighted milliseconds of run time.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    parties: HashMap<String, Party>,
    bins: Vec<Bin>,
    asked: f64,
    admitted: f64,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            parties: HashMap::new(),
            bins: vec![Bin::default(); BINS],
            asked: 0.0,
            admitted: 0.0,
        }
    }
}

impl Shares {
    /// Counts work that a party asks for.
    pub(crate) fn record_asked(&mut self, name: &str, work: f64) {
        let known = match self.parties.contains_key(name) {
            true => name,
            false if self.parties.len() < PARTIES_MAX => name,
            false => OTHERS,
        };
        if !self.parties.contains_key(known) {
            self.parties.insert(known.to_owned(), Party::default());
        }
        let Some(party) = self.parties.get_mut(known) else {
            return;
        };
        let before = party.asked;
        party.asked += work;
        let asked = party.asked;
        self.asked += work;
        if before > 0.0 {
            let bin = &mut self.bins[bin_of(before)];
            bin.parties = bin.parties.saturating_sub(1);
            bin.asked = (bin.asked - before).max(0.0);
        }
        add_to_bins(&mut self.bins, asked);
    }

    /// Counts work of a party that is admitted; negative when it did not run after all.
    pub(crate) fn record_admitted(&mut self, name: &str, work: f64) {
        let known = match self.parties.contains_key(name) {
            true => name,
            false => OTHERS,
        };
        if let Some(party) = self.parties.get_mut(known) {
            let before = party.admitted;
            party.admitted = (before + work).max(0.0);
            self.admitted = (self.admitted + party.admitted - before).max(0.0);
        }
    }

    /// The work that was admitted, of all parties.
    pub(crate) const fn admitted(&self) -> f64 {
        self.admitted
    }

    /// The work that was asked for, of all parties.
    pub(crate) const fn asked(&self) -> f64 {
        self.asked
    }

    /// What a party got, as a multiple of its max-min share.
    pub(crate) fn used_share(&self, name: &str, share: f64) -> Option<f64> {
        Some(self.party(name)?.admitted / share)
    }

    /// Whether nearly all that was admitted is of this party.
    pub(crate) fn is_alone(&self, name: &str) -> bool {
        let admitted = self.party(name).map_or(0.0, |party| party.admitted);
        self.admitted - admitted <= OTHERS_PART_MIN * self.admitted
    }

    /// The work that parties other than this one asked for.
    pub(crate) fn asked_by_others(&self, name: &str) -> f64 {
        let asked = self.party(name).map_or(0.0, |party| party.asked);
        (self.asked - asked).max(0.0)
    }

    /// The part of the demand that was refused, from 0 to 1.
    pub(crate) fn shortage(&self) -> f64 {
        (1.0 - self.admitted / self.asked.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// The max-min share while this part of the demand can't be served, in weighted milliseconds: the
    /// level at which all demands, cut off there, leave that much out. None when nothing is short.
    pub(crate) fn share(&self, shortage: f64) -> Option<f64> {
        let excess = self.asked * shortage;
        if shortage <= SHORTAGE_MIN {
            return None;
        }
        let (mut parties, mut asked) = (0.0, 0.0);
        for (index, bin) in self.bins.iter().enumerate().rev() {
            parties += f64::from(bin.parties);
            asked += bin.asked;
            let cut_off = asked - parties * bin_floor(index);
            if parties > 0.0 && (cut_off >= excess || index == 0) {
                return Some(((asked - excess) / parties).max(f64::MIN_POSITIVE));
            }
        }
        None
    }

    /// Whether a request with this part of its route's time left seems to return after a refusal: the
    /// party's clients usually state more.
    pub(crate) fn is_return(&mut self, name: &str, stated_part: f64) -> bool {
        let Some(party) = self.parties.get_mut(name) else {
            return false;
        };
        let lowered = party.stated_part + STATED_WEIGHT * (stated_part - party.stated_part);
        party.stated_part = lowered.max(stated_part);
        stated_part < RETURN_PART_MAX * party.stated_part
    }

    /// The returns of a party's requests above its share.
    pub(crate) fn returns_mut(&mut self, name: &str) -> Option<&mut Returns> {
        let known = match self.parties.contains_key(name) {
            true => name,
            false => OTHERS,
        };
        let party = self.parties.get_mut(known)?;
        Some(&mut party.returns)
    }

    /// Multiplies all amounts by a factor, and drops the parties that have become idle.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.bins.fill(Bin::default());
        (self.asked, self.admitted) = (0.0, 0.0);
        self.parties.retain(|_, party| {
            party.asked *= factor;
            party.admitted *= factor;
            party.asked >= DEMAND_MIN_MS
        });
        for party in self.parties.values() {
            self.asked += party.asked;
            self.admitted += party.admitted;
            add_to_bins(&mut self.bins, party.asked);
        }
    }

    fn party(&self, name: &str) -> Option<&Party> {
        self.parties.get(name).or_else(|| self.parties.get(OTHERS))
    }
}

fn add_to_bins(bins: &mut [Bin], asked: f64) {
    let bin = &mut bins[bin_of(asked)];
    bin.parties += 1;
    bin.asked += asked;
}

fn bin_of(asked: f64) -> usize {
    let position = asked.log2() * BINS_PER_DOUBLING + BIN_OF_ONE_MS;
    (position.max(0.0) as usize).min(BINS - 1)
}

/// The least demand of a bin.
fn bin_floor(index: usize) -> f64 {
    match index {
        0 => 0.0,
        _ => ((index as f64 - BIN_OF_ONE_MS) / BINS_PER_DOUBLING).exp2(),
    }
}
