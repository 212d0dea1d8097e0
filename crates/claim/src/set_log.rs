//! The entry sets that count, as the control log orders them.

use crate::layout::{EntrySet, Layout};
use serde::{Deserialize, Serialize};

/// A set that was replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ReplacedSet {
    set: EntrySet,
    replaced_ms: u64,
}

/// The present set of declared entries and those replaced not long ago.
///
/// It is part of the replicated state, so that every entry that runs a revision has the same
/// [`Layout`], also right after its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SetLog {
    epoch: u64,
    present: EntrySet,
    replaced: Vec<ReplacedSet>,
}

impl SetLog {
    /// Takes in the entries declared after a command and the log's clock at that command.
    ///
    /// The clock may fall behind real time but must not run ahead of it. Returns whether the
    /// layout changed.
    pub fn apply(&mut self, clock_ms: u64, present: &EntrySet, window_us: u64) -> bool {
        let window_ms = window_us.div_ceil(1_000);
        let counted = self.replaced.len();
        self.replaced
            .retain(|replaced| clock_ms < replaced.replaced_ms.saturating_add(window_ms));
        let expired = self.replaced.len() < counted;
        let changed = self.present != *present;
        if changed {
            self.replace(clock_ms, present);
        }
        if changed || expired {
            self.epoch += 1;
        }
        changed || expired
    }

    fn replace(&mut self, clock_ms: u64, present: &EntrySet) {
        let set = std::mem::replace(&mut self.present, present.clone());
        self.replaced
            .retain(|replaced| replaced.set != set && replaced.set != *present);
        if set.entries().next().is_some() {
            self.replaced.push(ReplacedSet {
                set,
                replaced_ms: clock_ms,
            });
        }
    }

    /// Rises with every change of the layout.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// What claims count under.
    #[must_use]
    pub fn layout(&self) -> Layout {
        let replaced = self.replaced.iter().map(|replaced| replaced.set.clone());
        Layout {
            epoch: self.epoch,
            sets: std::iter::once(self.present.clone())
                .chain(replaced)
                .collect(),
        }
    }
}
