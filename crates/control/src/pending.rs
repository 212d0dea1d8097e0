//! Requests that wait for the replicated log, each with its deadline.

use crate::api::Request;
use raft::ReplicaId;
use state::Operation;
use std::collections::BTreeMap;
use types::TimeUs;

/// The most requests that wait at once; further ones are answered `too_busy`.
const PENDING_MAX: usize = 1_024;

/// The event that a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The log accepts or rejects the proposal.
    Proposed {
        request_id: String,
        operation: Operation,
    },
    /// The proposal is applied at `index`; with another term there, it was overwritten.
    ProposalApplied {
        index: u64,
        term: u64,
        request_id: String,
        operation: Operation,
    },
    /// The log accepts or rejects the admission of a replica.
    AdmissionProposed { id: ReplicaId },
    /// The admission is applied at `index`.
    AdmissionApplied { index: u64, id: ReplicaId },
    /// The log confirms the read with a majority.
    ReadConfirmed { query: Request },
    /// Every log entry up to `index` is applied; the answer to the confirmed read must reflect
    /// them.
    ReadApplied { index: u64, query: Request },
}

#[derive(Debug)]
struct PendingRequest {
    deadline_us: TimeUs,
    wait: Wait,
}

/// The pending requests by request number.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    requests: BTreeMap<u64, PendingRequest>,
}

impl Pending {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= PENDING_MAX
    }

    pub(crate) fn add(&mut self, request: u64, deadline_us: TimeUs, wait: Wait) {
        self.requests
            .insert(request, PendingRequest { deadline_us, wait });
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<Wait> {
        self.requests.remove(&request).map(|pending| pending.wait)
    }

    /// Records the index and term at which the log appended a proposal or an admission.
    pub(crate) fn mark_proposed(&mut self, request: u64, index: u64, term: u64) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        match &mut pending.wait {
            Wait::Proposed {
                request_id,
                operation,
            } => {
                pending.wait = Wait::ProposalApplied {
                    index,
                    term,
                    request_id: std::mem::take(request_id),
                    operation: operation.clone(),
                };
            }
            Wait::AdmissionProposed { id } => {
                pending.wait = Wait::AdmissionApplied {
                    index,
                    id: id.clone(),
                };
            }
            Wait::ProposalApplied { .. }
            | Wait::AdmissionApplied { .. }
            | Wait::ReadConfirmed { .. }
            | Wait::ReadApplied { .. } => {}
        }
    }

    /// Records that a read may be answered once `index` is applied.
    pub(crate) fn mark_read_confirmed(&mut self, request: u64, index: u64) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if let Wait::ReadConfirmed { query } = &pending.wait {
            pending.wait = Wait::ReadApplied {
                index,
                query: query.clone(),
            };
        }
    }

    /// Removes and returns every request whose index is at most `applied_index`.
    pub(crate) fn take_applied(&mut self, applied_index: u64) -> Vec<(u64, Wait)> {
        self.requests
            .extract_if(.., |_, pending| pending.wait.is_applied(applied_index))
            .map(|(request, pending)| (request, pending.wait))
            .collect()
    }

    /// Removes every request whose deadline has passed and returns their numbers.
    pub(crate) fn take_expired(&mut self, now_us: TimeUs) -> Vec<u64> {
        self.requests
            .extract_if(.., |_, pending| pending.deadline_us.reached(now_us))
            .map(|(request, _)| request)
            .collect()
    }

    pub(crate) fn next_deadline_us(&self) -> Option<TimeUs> {
        self.requests
            .values()
            .map(|pending| pending.deadline_us)
            .min()
    }
}

impl Wait {
    const fn is_applied(&self, applied_index: u64) -> bool {
        match self {
            Self::ProposalApplied { index, .. }
            | Self::AdmissionApplied { index, .. }
            | Self::ReadApplied { index, .. } => *index <= applied_index,
            Self::Proposed { .. } | Self::AdmissionProposed { .. } | Self::ReadConfirmed { .. } => {
                false
            }
        }
    }
}
