//! Tracks the entries' polls to tell which entries run a revision, wait for it, reject it or are
//! fenced.

use crate::api::{Poll, PollRejection};
use serde::Serialize;
use state::{EntryProgress, RejectingEntry, ResourceState, ResourceStatus, State, WaitingEntry};
use std::collections::{BTreeMap, VecDeque};
use types::{
    CONFIG_LEASE_MS, EntryName, Key, Kind, Progress, ResourceName, ResourceProgress, TimeUs,
};

/// Added to the configuration lease before an entry counts as fenced, in milliseconds.
pub const CONFIG_LEASE_MARGIN_MS: u64 = 1_000;

/// A longer gap between two events means that the process was suspended: polls may have been
/// missed, so that silence up to its end proves nothing.
const PROCESS_PAUSE_US: u64 = 1_000_000;

/// The number of latest revisions whose time of application is kept.
const APPLIED_TIMES_MAX: usize = 1_024;

/// When the lease, with its margin, has expired for an entry silent since `since_us`.
const fn lease_expiry_us(since_us: TimeUs) -> TimeUs {
    since_us.after_ms(CONFIG_LEASE_MS + CONFIG_LEASE_MARGIN_MS)
}

/// The last poll of an entry.
#[derive(Clone, Debug)]
struct LastPoll {
    applied_index: u64,
    at_us: TimeUs,
    rejected: Option<PollRejection>,
    progress: Vec<ResourceProgress>,
}

/// The last poll of an entry, as shown in the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryDump {
    /// The entry's declared name.
    pub entry: EntryName,
    /// The log index up to which it has applied the configuration.
    pub applied_index: u64,
    /// The time since that poll, in milliseconds.
    pub silent_ms: u64,
}

/// The state of one entry with regard to one revision.
enum EntryState<'a> {
    Confirmed,
    Waiting,
    Fenced,
    Rejected { reason: &'a str },
}

/// The last polls of the declared entries.
#[derive(Debug)]
pub(crate) struct Entries {
    last_polls: BTreeMap<EntryName, LastPoll>,
    /// An entry's silence counts from here at the earliest.
    silence_floor_us: TimeUs,
    last_event_us: TimeUs,
    /// The latest revisions in ascending order, with when this replica applied each.
    applied_times: VecDeque<(u64, TimeUs)>,
}

impl Entries {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            last_polls: BTreeMap::new(),
            silence_floor_us: now_us,
            last_event_us: now_us,
            applied_times: VecDeque::new(),
        }
    }

    /// Records the time of an event. After a gap in which the process was suspended, silence counts
    /// from now.
    pub(crate) const fn record_event(&mut self, now_us: TimeUs) {
        if now_us.since_us(self.last_event_us) > PROCESS_PAUSE_US {
            self.silence_floor_us = now_us;
        }
        self.last_event_us = now_us;
    }

    /// Counts silence from now, since entries may have polled only other replicas before.
    pub(crate) const fn restart_silence(&mut self, now_us: TimeUs) {
        self.silence_floor_us = now_us;
    }

    /// Records that the state's revision was applied now, and drops the polls of entries that are
    /// no longer declared.
    pub(crate) fn record_applied_revision(&mut self, state: &State, now_us: TimeUs) {
        self.applied_times.push_back((state.revision(), now_us));
        if self.applied_times.len() > APPLIED_TIMES_MAX {
            self.applied_times.pop_front();
        }
        self.last_polls.retain(|entry, _| is_declared(state, entry));
    }

    /// Records a poll; one of an undeclared entry is ignored.
    pub(crate) fn record_poll(&mut self, state: &State, poll: &Poll, now_us: TimeUs) {
        if !is_declared(state, &poll.entry) {
            return;
        }
        let last_poll = LastPoll {
            applied_index: poll.applied_index,
            at_us: now_us,
            rejected: poll.rejected.clone(),
            progress: poll.progress.clone(),
        };
        self.last_polls.insert(poll.entry.clone(), last_poll);
    }

    /// The status of a revision over all declared entries, with at most `names_max` names in each
    /// list.
    pub(crate) fn status(
        &self,
        state: &State,
        revision: u64,
        names_max: usize,
        now_us: TimeUs,
    ) -> ResourceStatus {
        let mut status = ResourceStatus::default();
        let since_ms = now_us.since_us(self.revision_applied_us(revision)) / 1_000;
        for declared in state.resources(Some(Kind::Entry)) {
            let name = declared.name.as_str();
            match self.entry_state(name, declared.revision, revision, now_us) {
                EntryState::Confirmed => {
                    status.confirmed_count += 1;
                    push_name(&mut status.confirmed, name, names_max);
                }
                EntryState::Fenced => {
                    status.fenced_count += 1;
                    push_name(&mut status.fenced, name, names_max);
                }
                EntryState::Rejected { reason } => {
                    push_entry(&mut status.rejected, name, names_max, |entry| {
                        RejectingEntry {
                            entry,
                            reason: reason.to_owned(),
                        }
                    });
                }
                EntryState::Waiting => {
                    status.waiting_count += 1;
                    push_entry(&mut status.waiting, name, names_max, |entry| WaitingEntry {
                        entry,
                        since_ms,
                    });
                }
            }
        }
        status.state = match (status.rejected.is_empty(), status.waiting_count) {
            (false, _) => ResourceState::Rejected,
            (true, 0) => ResourceState::InForce,
            (true, _) => ResourceState::Waiting,
        };
        status
    }

    /// The progress of a drain or a shift, as reported by the entries that polled this replica
    /// within the lease and its margin; at most `names_max` of them. Entries that have no requests
    /// of a drain in flight are left out.
    pub(crate) fn progress(
        &self,
        key: &Key,
        names_max: usize,
        now_us: TimeUs,
    ) -> Vec<EntryProgress> {
        let last_polls = self.last_polls.iter();
        let last_polls =
            last_polls.filter(|(_, last_poll)| !lease_expiry_us(last_poll.at_us).reached(now_us));
        let of_key = last_polls.filter_map(|(entry, last_poll)| {
            let of_key = last_poll
                .progress
                .iter()
                .find(|progress| progress.key == *key)?;
            let progress = of_key.progress.clone();
            (progress != Progress::Drain { in_flight: 0 }).then(|| EntryProgress {
                entry: entry.clone(),
                progress,
            })
        });
        of_key.take(names_max).collect()
    }

    pub(crate) fn dump(&self, now_us: TimeUs) -> Vec<EntryDump> {
        self.last_polls
            .iter()
            .map(|(entry, last_poll)| EntryDump {
                entry: entry.clone(),
                applied_index: last_poll.applied_index,
                silent_ms: now_us.since_us(last_poll.at_us) / 1_000,
            })
            .collect()
    }

    /// An entry is fenced once its silence and the revision are both older than the lease with its
    /// margin: by then a majority has either refused to renew its lease or sent it the revision.
    fn entry_state(
        &self,
        entry: &str,
        declared_revision: u64,
        revision: u64,
        now_us: TimeUs,
    ) -> EntryState<'_> {
        let last_poll = self.last_polls.get(entry);
        let last_poll_us = last_poll.map_or_else(
            || self.revision_applied_us(declared_revision),
            |it| it.at_us,
        );
        let silent_since_us = last_poll_us.max(self.silence_floor_us);
        let silent = lease_expiry_us(silent_since_us).reached(now_us);
        if silent && lease_expiry_us(self.revision_applied_us(revision)).reached(now_us) {
            return EntryState::Fenced;
        }
        let Some(last_poll) = last_poll else {
            return EntryState::Waiting;
        };
        match &last_poll.rejected {
            Some(rejected) if rejected.revision == revision => EntryState::Rejected {
                reason: &rejected.reason,
            },
            _ if last_poll.applied_index >= revision => EntryState::Confirmed,
            _ => EntryState::Waiting,
        }
    }

    /// When this replica applied a revision, or a later time where that is no longer kept.
    fn revision_applied_us(&self, revision: u64) -> TimeUs {
        let at = self
            .applied_times
            .partition_point(|(applied, _)| *applied < revision);
        self.applied_times
            .get(at)
            .map_or(self.silence_floor_us, |(_, at_us)| *at_us)
    }
}

fn push_name(names: &mut Vec<EntryName>, name: &str, names_max: usize) {
    push_entry(names, name, names_max, |entry| entry);
}

fn push_entry<T>(
    list: &mut Vec<T>,
    name: &str,
    names_max: usize,
    element: impl FnOnce(EntryName) -> T,
) {
    if list.len() < names_max
        && let Ok(entry) = EntryName::new(name)
    {
        list.push(element(entry));
    }
}

fn is_declared(state: &State, entry: &EntryName) -> bool {
    let Ok(name) = ResourceName::new(entry.as_str()) else {
        return false;
    };
    let key = Key {
        kind: Kind::Entry,
        name,
    };
    state.get(&key).is_some()
}
