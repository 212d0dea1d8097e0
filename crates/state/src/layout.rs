//! The declared entries as holders of claims on idempotency keys.

use crate::machine::State;
use claim::{EntrySet, Layout, Place, Timing};
use types::{EntryName, Kind, Spec};

/// Entries that hold the claims of one key: any two may be lost.
const HOLDERS: usize = 5;

impl State {
    /// The epoch of [`Self::layout`].
    #[must_use]
    pub const fn layout_epoch(&self) -> u64 {
        self.sets.epoch()
    }

    /// Under which entry sets claims count.
    #[must_use]
    pub fn layout(&self) -> Layout {
        self.sets.layout()
    }

    /// Whether a replaced entry set no longer counts at this time of the log's clock, so that any
    /// further command changes the layout.
    #[must_use]
    pub fn layout_is_due(&self, at_ms: u64) -> bool {
        let mut sets = self.sets.clone();
        sets.apply(at_ms, &self.entry_set(), Timing::default().window_us())
    }

    /// Follows the declared entries after a command.
    pub(crate) fn follow_entries(&mut self) {
        let present = self.entry_set();
        self.sets
            .apply(self.clock_ms, &present, Timing::default().window_us());
    }

    fn entry_set(&self) -> EntrySet {
        let places = self.resources(Some(Kind::Entry)).filter_map(|resource| {
            let Spec::Entry(spec) = &resource.spec else {
                return None;
            };
            Some(Place {
                entry: EntryName::new(resource.name.as_str()).ok()?,
                region: spec.region.clone(),
                failure_domain: spec.failure_domain.clone(),
            })
        });
        let set = EntrySet::new(places);
        let is_empty = set.entries().next().is_none();
        if is_empty {
            set
        } else {
            set.with_holders(HOLDERS)
        }
    }
}
