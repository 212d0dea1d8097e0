//! The claim layout: which declared entries hold the claims on idempotency keys.
//!
//! It follows the declared entries and is part of the replicated state, so that all entries that
//! run a revision use the same layout.

use crate::machine::State;
use claim::{EntryLocation, EntrySet, Layout, Timing};
use types::{EntryName, Kind, Spec};

/// How many entries hold the claims of one key; a majority is left when any two are lost.
const HOLDERS_PER_KEY: usize = 5;

impl State {
    /// The epoch of [`Self::layout`], which rises with each change of the layout.
    #[must_use]
    pub const fn layout_epoch(&self) -> u64 {
        self.entry_sets.epoch()
    }

    /// The entry sets whose holders decide on claims: the current one, and those replaced so
    /// recently that a claim on them may still count.
    #[must_use]
    pub fn layout(&self) -> Layout {
        self.entry_sets.layout()
    }

    /// Whether the layout would change if it were updated at this time of the log's clock, as it
    /// does once a replaced entry set has expired.
    #[must_use]
    pub fn layout_is_due(&self, at_ms: u64) -> bool {
        let mut entry_sets = self.entry_sets.clone();
        entry_sets.apply(at_ms, &self.entry_set(), Timing::default().window_us())
    }

    /// Updates the layout to the declared entries and the log's clock after a command.
    pub(crate) fn update_layout(&mut self) {
        let current = self.entry_set();
        self.entry_sets
            .apply(self.clock_ms, &current, Timing::default().window_us());
    }

    fn entry_set(&self) -> EntrySet {
        let locations = self.resources(Some(Kind::Entry)).filter_map(|resource| {
            let Spec::Entry(spec) = &resource.spec else {
                return None;
            };
            Some(EntryLocation {
                entry: EntryName::new(resource.name.as_str()).ok()?,
                region: spec.region.clone(),
                failure_domain: spec.failure_domain.clone(),
            })
        });
        let set = EntrySet::new(locations);
        let is_empty = set.entries().next().is_none();
        if is_empty {
            set
        } else {
            set.with_holders(HOLDERS_PER_KEY)
        }
    }
}
