//! Operators' watches: requests held open until a revision after a given one is applied.

use state::{State, WatchAnswer};
use std::collections::BTreeMap;
use types::{ApiError, TimeUs};

/// The most watches held open at once; further ones are answered `too_busy`.
const WATCHES_MAX: usize = 1_024;

/// The most changes in one answer, beyond which only the rest of the last revision is added.
const CHANGES_MAX: usize = 1_000;

#[derive(Clone, Copy, Debug)]
struct Watch {
    from: u64,
    deadline_us: TimeUs,
}

/// The open watches by request number.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    watches: BTreeMap<u64, Watch>,
}

impl Watches {
    pub(crate) fn len(&self) -> usize {
        self.watches.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.watches.len() >= WATCHES_MAX
    }

    pub(crate) fn add(&mut self, request: u64, from: u64, deadline_us: TimeUs) {
        self.watches.insert(request, Watch { from, deadline_us });
    }

    pub(crate) fn remove(&mut self, request: u64) {
        self.watches.remove(&request);
    }

    /// Removes every watch for which a later revision was applied and returns their answers.
    pub(crate) fn take_changed(
        &mut self,
        state: &State,
    ) -> Vec<(u64, Result<WatchAnswer, ApiError>)> {
        self.watches
            .extract_if(.., |_, watch| watch.from < state.revision())
            .map(|(request, watch)| (request, changes_after(state, watch.from)))
            .collect()
    }

    /// Removes every watch whose deadline has passed and returns their empty answers.
    pub(crate) fn take_expired(&mut self, now_us: TimeUs) -> Vec<(u64, WatchAnswer)> {
        self.watches
            .extract_if(.., |_, watch| watch.deadline_us.reached(now_us))
            .map(|(request, watch)| (request, no_changes(watch.from)))
            .collect()
    }

    pub(crate) fn next_deadline_us(&self) -> Option<TimeUs> {
        self.watches.values().map(|watch| watch.deadline_us).min()
    }
}

/// The changes after the revision `from`.
///
/// # Errors
///
/// When the state no longer keeps every change after `from`.
pub(crate) fn changes_after(state: &State, from: u64) -> Result<WatchAnswer, ApiError> {
    let events = state.watch(from, CHANGES_MAX)?;
    let revision = events.last().map_or(from, |last| last.revision);
    Ok(WatchAnswer { revision, events })
}

const fn no_changes(from: u64) -> WatchAnswer {
    WatchAnswer {
        revision: from,
        events: Vec::new(),
    }
}
