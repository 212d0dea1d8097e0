//! Operators' watches that wait for a change.

use state::{State, Watched};
use std::collections::BTreeMap;
use types::{ApiError, TimeUs};

/// The most watches that wait at once.
const WATCHES_MAX: usize = 1_024;

/// About how many changes one answer holds.
const CHANGES_MAX: usize = 1_000;

#[derive(Clone, Copy, Debug)]
struct Watch {
    from: u64,
    deadline_us: TimeUs,
}

/// The waiting watches.
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

    /// Takes the answer of every watch that has something to see.
    pub(crate) fn take_changed(&mut self, state: &State) -> Vec<(u64, Result<Watched, ApiError>)> {
        self.watches
            .extract_if(.., |_, watch| watch.from < state.revision())
            .map(|(request, watch)| (request, see(state, watch.from)))
            .collect()
    }

    /// Takes the empty answer of every watch whose deadline has come.
    pub(crate) fn take_expired(&mut self, now_us: TimeUs) -> Vec<(u64, Watched)> {
        self.watches
            .extract_if(.., |_, watch| watch.deadline_us.reached(now_us))
            .map(|(request, watch)| (request, nothing(watch.from)))
            .collect()
    }

    pub(crate) fn next_deadline_us(&self) -> Option<TimeUs> {
        self.watches.values().map(|watch| watch.deadline_us).min()
    }
}

/// The changes after a revision.
pub(crate) fn see(state: &State, from: u64) -> Result<Watched, ApiError> {
    let events = state.watch(from, CHANGES_MAX)?;
    let revision = events.last().map_or(from, |last| last.revision);
    Ok(Watched { revision, events })
}

const fn nothing(from: u64) -> Watched {
    Watched {
        revision: from,
        events: Vec::new(),
    }
}
