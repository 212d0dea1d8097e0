//! Operators' requests that wait for the log.

use crate::api::Request;
use raft::ReplicaId;
use state::Operation;
use std::collections::BTreeMap;
use types::TimeUs;

/// The most requests that wait at once.
const PENDING_MAX: usize = 1_024;

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The log's answer to a proposal.
    Propose {
        request_id: String,
        operation: Operation,
    },
    /// The application of a proposal.
    Commit {
        index: u64,
        term: u64,
        request_id: String,
        operation: Operation,
    },
    /// The log's answer to an admission.
    Admit { id: ReplicaId },
    /// The application of an admission.
    Admitted { index: u64, id: ReplicaId },
    /// The confirmation of a read.
    Confirm { query: Request },
    /// The application of what a confirmed read must see.
    Applied { index: u64, query: Request },
}

#[derive(Debug)]
struct Waiting {
    deadline_us: TimeUs,
    wait: Wait,
}

/// The waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    requests: BTreeMap<u64, Waiting>,
}

impl Pending {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= PENDING_MAX
    }

    pub(crate) fn add(&mut self, request: u64, deadline_us: TimeUs, wait: Wait) {
        self.requests.insert(request, Waiting { deadline_us, wait });
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<Wait> {
        self.requests.remove(&request).map(|waiting| waiting.wait)
    }

    /// The log has taken a proposal or an admission.
    pub(crate) fn proposed(&mut self, request: u64, index: u64, term: u64) {
        let Some(waiting) = self.requests.get_mut(&request) else {
            return;
        };
        match &mut waiting.wait {
            Wait::Propose {
                request_id,
                operation,
            } => {
                waiting.wait = Wait::Commit {
                    index,
                    term,
                    request_id: std::mem::take(request_id),
                    operation: operation.clone(),
                };
            }
            Wait::Admit { id } => {
                waiting.wait = Wait::Admitted {
                    index,
                    id: id.clone(),
                };
            }
            Wait::Commit { .. }
            | Wait::Admitted { .. }
            | Wait::Confirm { .. }
            | Wait::Applied { .. } => {}
        }
    }

    /// A read is confirmed up to an index.
    pub(crate) fn read_ready(&mut self, request: u64, index: u64) {
        let Some(waiting) = self.requests.get_mut(&request) else {
            return;
        };
        if let Wait::Confirm { query } = &waiting.wait {
            waiting.wait = Wait::Applied {
                index,
                query: query.clone(),
            };
        }
    }

    /// Takes every request whose index was reached.
    pub(crate) fn take_reached(&mut self, applied_index: u64) -> Vec<(u64, Wait)> {
        self.requests
            .extract_if(.., |_, waiting| waiting.wait.reached(applied_index))
            .map(|(request, waiting)| (request, waiting.wait))
            .collect()
    }

    /// Takes every request whose deadline has come.
    pub(crate) fn take_expired(&mut self, now_us: TimeUs) -> Vec<u64> {
        self.requests
            .extract_if(.., |_, waiting| waiting.deadline_us.reached(now_us))
            .map(|(request, _)| request)
            .collect()
    }

    pub(crate) fn next_deadline_us(&self) -> Option<TimeUs> {
        self.requests
            .values()
            .map(|waiting| waiting.deadline_us)
            .min()
    }
}

impl Wait {
    const fn reached(&self, applied_index: u64) -> bool {
        match self {
            Self::Commit { index, .. }
            | Self::Admitted { index, .. }
            | Self::Applied { index, .. } => *index <= applied_index,
            Self::Propose { .. } | Self::Admit { .. } | Self::Confirm { .. } => false,
        }
    }
}
