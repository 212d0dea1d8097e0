//! How far each entry has come.

use crate::api::{Poll, PollRejection};
use serde::Serialize;
use state::{EntryProgress, RejectedBy, ResourceState, ResourceStatus, State, WaitingEntry};
use std::collections::{BTreeMap, VecDeque};
use types::{
    CONFIG_LEASE_MS, EntryName, Key, Kind, Progress, ResourceName, ResourceProgress, TimeUs,
};

/// What is added to the lease before an entry counts as fenced, in milliseconds.
pub const CONFIG_LEASE_MARGIN_MS: u64 = 1_000;

/// After a pause between two events as long as this, silence before it says nothing.
const PAUSE_MAX_US: u64 = 1_000_000;

/// For how many revisions the time of their application is kept.
const APPLIED_TIMES_MAX: usize = 1_024;

/// When a silence that began at `since_us` proves that the lease has run out.
const fn lease_over_us(since_us: TimeUs) -> TimeUs {
    since_us.after_ms(CONFIG_LEASE_MS + CONFIG_LEASE_MARGIN_MS)
}

/// What an entry last said.
#[derive(Clone, Debug)]
struct Heard {
    applied_index: u64,
    at_us: TimeUs,
    rejected: Option<PollRejection>,
    progress: Vec<ResourceProgress>,
}

/// What an entry last said, for the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryDump {
    /// The entry.
    pub entry: EntryName,
    /// The index up to which it runs the configuration.
    pub applied_index: u64,
    /// For how long nothing was heard from it.
    pub silent_ms: u64,
}

/// How an entry stands to a revision.
enum Standing<'a> {
    Confirmed,
    Waiting,
    Fenced,
    Rejected { reason: &'a str },
}

/// The polls of the declared entries.
#[derive(Debug)]
pub(crate) struct Entries {
    heard: BTreeMap<EntryName, Heard>,
    /// Silence counts from here at the earliest.
    listening_since_us: TimeUs,
    last_event_us: TimeUs,
    /// When the latest revisions were applied here.
    applied_times: VecDeque<(u64, TimeUs)>,
}

impl Entries {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            heard: BTreeMap::new(),
            listening_since_us: now_us,
            last_event_us: now_us,
            applied_times: VecDeque::new(),
        }
    }

    /// Notes that the process runs; a frozen process has heard nothing.
    pub(crate) const fn advance(&mut self, now_us: TimeUs) {
        if now_us.since_us(self.last_event_us) > PAUSE_MAX_US {
            self.listening_since_us = now_us;
        }
        self.last_event_us = now_us;
    }

    /// Lets silence count from now on only.
    pub(crate) const fn listen_anew(&mut self, now_us: TimeUs) {
        self.listening_since_us = now_us;
    }

    /// Notes that a revision was applied.
    pub(crate) fn revision_applied(&mut self, state: &State, now_us: TimeUs) {
        self.applied_times.push_back((state.revision(), now_us));
        if self.applied_times.len() > APPLIED_TIMES_MAX {
            self.applied_times.pop_front();
        }
        self.heard.retain(|entry, _| is_declared(state, entry));
    }

    /// Notes a poll of a declared entry.
    pub(crate) fn polled(&mut self, state: &State, poll: &Poll, now_us: TimeUs) {
        if !is_declared(state, &poll.entry) {
            return;
        }
        let heard = Heard {
            applied_index: poll.applied_index,
            at_us: now_us,
            rejected: poll.rejected.clone(),
            progress: poll.progress.clone(),
        };
        self.heard.insert(poll.entry.clone(), heard);
    }

    /// What the declared entries say of a revision, with no more than `names_max` names of each
    /// sort.
    pub(crate) fn status(
        &self,
        state: &State,
        revision: u64,
        names_max: usize,
        now_us: TimeUs,
    ) -> ResourceStatus {
        let mut status = ResourceStatus::default();
        let since_ms = now_us.since_us(self.applied_us(revision)) / 1_000;
        for declared in state.resources(Some(Kind::Entry)) {
            let name = declared.name.as_str();
            match self.standing(name, declared.revision, revision, now_us) {
                Standing::Confirmed => {
                    status.confirmed_count += 1;
                    push_name(&mut status.confirmed, name, names_max);
                }
                Standing::Fenced => {
                    status.fenced_count += 1;
                    push_name(&mut status.fenced, name, names_max);
                }
                Standing::Rejected { reason } => {
                    push_with(&mut status.rejected, name, names_max, |entry| RejectedBy {
                        entry,
                        reason: reason.to_owned(),
                    });
                }
                Standing::Waiting => {
                    status.waiting_count += 1;
                    push_with(&mut status.waiting, name, names_max, |entry| WaitingEntry {
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

    /// How far the entries have come with a drain or a shift; of a drain, those that still have
    /// requests in flight.
    pub(crate) fn progress(
        &self,
        key: &Key,
        names_max: usize,
        now_us: TimeUs,
    ) -> Vec<EntryProgress> {
        let heard = self.heard.iter();
        let heard = heard.filter(|(_, heard)| !lease_over_us(heard.at_us).reached(now_us));
        let of_key = heard.filter_map(|(entry, heard)| {
            let of_key = heard
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
        self.heard
            .iter()
            .map(|(entry, heard)| EntryDump {
                entry: entry.clone(),
                applied_index: heard.applied_index,
                silent_ms: now_us.since_us(heard.at_us) / 1_000,
            })
            .collect()
    }

    /// An entry is fenced once its silence and the revision are both older than the lease: by then
    /// a majority has either refused it the lease or handed it the revision.
    fn standing(
        &self,
        entry: &str,
        declared_revision: u64,
        revision: u64,
        now_us: TimeUs,
    ) -> Standing<'_> {
        let heard = self.heard.get(entry);
        let last_heard_us = heard.map_or_else(|| self.applied_us(declared_revision), |it| it.at_us);
        let silent_since_us = last_heard_us.max(self.listening_since_us);
        let silent = lease_over_us(silent_since_us).reached(now_us);
        if silent && lease_over_us(self.applied_us(revision)).reached(now_us) {
            return Standing::Fenced;
        }
        let Some(heard) = heard else {
            return Standing::Waiting;
        };
        match &heard.rejected {
            Some(rejected) if rejected.revision == revision => Standing::Rejected {
                reason: &rejected.reason,
            },
            _ if heard.applied_index >= revision => Standing::Confirmed,
            _ => Standing::Waiting,
        }
    }

    /// When a revision was applied here, or a later time.
    fn applied_us(&self, revision: u64) -> TimeUs {
        let at = self
            .applied_times
            .partition_point(|(applied, _)| *applied < revision);
        self.applied_times
            .get(at)
            .map_or(self.listening_since_us, |(_, at_us)| *at_us)
    }
}

fn push_name(names: &mut Vec<EntryName>, name: &str, names_max: usize) {
    push_with(names, name, names_max, |entry| entry);
}

fn push_with<T>(
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
