//! History of the declared entry sets, as part of the replicated state of the control replicas.

use crate::layout::{EntrySet, Layout};
use serde::{Deserialize, Serialize};

/// An earlier set, and the log's clock when another one replaced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ReplacedSet {
    set: EntrySet,
    replaced_ms: u64,
}

/// The current set of declared entries, and the earlier sets that still count.
///
/// It is part of the replicated state, so that every entry that has a configuration revision has
/// the same [`Layout`], also right after its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntrySetHistory {
    epoch: u64,
    #[serde(rename = "present")]
    current: EntrySet,
    replaced: Vec<ReplacedSet>,
}

impl EntrySetHistory {
    /// Sets the entries that are declared after a command of the log, and drops the earlier sets
    /// that were replaced `window_us` or longer ago. Returns whether the layout changed.
    ///
    /// `clock_ms` is the log's clock at the command. It may fall behind real time but must not run
    /// ahead of it, since a set would stop counting too early.
    pub fn apply(&mut self, clock_ms: u64, declared: &EntrySet, window_us: u64) -> bool {
        let window_ms = window_us.div_ceil(1_000);
        let count_before = self.replaced.len();
        self.replaced
            .retain(|replaced| clock_ms < replaced.replaced_ms.saturating_add(window_ms));
        let expired = self.replaced.len() < count_before;
        let changed = self.current != *declared;
        if changed {
            self.replace(clock_ms, declared);
        }
        if changed || expired {
            self.epoch += 1;
        }
        changed || expired
    }

    fn replace(&mut self, clock_ms: u64, declared: &EntrySet) {
        let set = std::mem::replace(&mut self.current, declared.clone());
        self.replaced
            .retain(|replaced| replaced.set != set && replaced.set != *declared);
        if set.entries().next().is_some() {
            self.replaced.push(ReplacedSet {
                set,
                replaced_ms: clock_ms,
            });
        }
    }

    /// [`Layout::epoch`]: rises by one with every change of the layout.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The layout under which claims are decided now.
    #[must_use]
    pub fn layout(&self) -> Layout {
        let replaced = self.replaced.iter().map(|replaced| replaced.set.clone());
        Layout {
            epoch: self.epoch,
            sets: std::iter::once(self.current.clone())
                .chain(replaced)
                .collect(),
        }
    }
}
