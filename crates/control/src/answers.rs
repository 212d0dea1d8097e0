//! Builds the answers to requests, from the result of a command or from the applied state.

use crate::{
    api::{Answer, Output, PlanInForce, Replicas, Request},
    core::Control,
    pending::Wait,
};
use raft::ReplicaId;
use state::{ChangeAnswer, Rejection, ResourceItem, ResourceList, ResourceStatus};
use std::collections::BTreeMap;
use types::{ApiError, Kind, Resource};

/// When resources are listed, the most entries that each list in a resource's status names; the
/// status of a single resource names all.
const LIST_ENTRY_NAMES_MAX: usize = 16;

type Result<T> = std::result::Result<T, ApiError>;

impl Control {
    /// Answers the pending requests whose index is already applied.
    pub(crate) fn answer_applied(&mut self, outputs: &mut Vec<Output>) {
        for (request, wait) in self.pending.take_applied(self.state.applied_index()) {
            self.answer_from_state(request, wait, outputs);
        }
    }

    /// Answers a request whose log entry was just applied. `entry_term` is that entry's term and
    /// `applied` the result of its command, if it holds one.
    pub(crate) fn answer_from_result(
        &self,
        request: u64,
        wait: Wait,
        entry_term: u64,
        applied: Option<&std::result::Result<ChangeAnswer, Rejection>>,
        outputs: &mut Vec<Output>,
    ) {
        let answer = match (wait, applied) {
            (Wait::ProposalApplied { term, .. }, Some(applied)) if term == entry_term => {
                self.change_answer(applied.clone())
            }
            (Wait::AdmissionApplied { id, .. }, _) => self.admission_answer(&id),
            (Wait::ReadApplied { query, .. }, _) => self.read_answer(&query),
            _ => Err(ApiError::Unavailable),
        };
        outputs.push(Output::Answer { request, answer });
    }

    /// Answers a request whose log entry was applied earlier or came with a snapshot: a change gets
    /// the answer retained for its request id, or `unavailable` where none is.
    pub(crate) fn answer_from_state(&self, request: u64, wait: Wait, outputs: &mut Vec<Output>) {
        let answer = match wait {
            Wait::ProposalApplied {
                request_id,
                operation,
                ..
            } => match self.state.first_answer(&request_id, &operation) {
                Some(applied) => self.change_answer(applied),
                None => Err(ApiError::Unavailable),
            },
            Wait::ReadApplied { query, .. } => self.read_answer(&query),
            Wait::AdmissionApplied { id, .. } => self.admission_answer(&id),
            Wait::Proposed { .. } | Wait::AdmissionProposed { .. } | Wait::ReadConfirmed { .. } => {
                Err(ApiError::Unavailable)
            }
        };
        outputs.push(Output::Answer { request, answer });
    }

    /// This replica's view of the group.
    pub(crate) fn replicas(&self) -> Answer {
        let status = self.raft.status();
        Answer::Replicas(Box::new(Replicas {
            replica: status.id,
            role: status.role,
            term: status.term,
            leader: status.leader,
            last_index: status.last_index,
            applied_index: self.state.applied_index(),
            membership: status.membership,
            membership_index: status.membership_index,
        }))
    }

    fn admission_answer(&self, id: &ReplicaId) -> Result<Answer> {
        let membership = self.raft.status().membership;
        if membership.voters.contains(id) || membership.learners.contains(id) {
            return Ok(self.replicas());
        }
        Err(ApiError::Unavailable)
    }

    fn change_answer(
        &self,
        applied: std::result::Result<ChangeAnswer, Rejection>,
    ) -> Result<Answer> {
        Ok(match applied? {
            ChangeAnswer::Put(resource) => Answer::Item(Box::new(self.item(&resource))),
            ChangeAnswer::Deleted { revision } => Answer::Deleted { revision },
            ChangeAnswer::Applied(applied) => Answer::Applied(applied),
            ChangeAnswer::Steered(applied) => Answer::Steered(applied),
        })
    }

    fn read_answer(&self, query: &Request) -> Result<Answer> {
        match query {
            Request::List { kind } => Ok(Answer::List(self.list(*kind))),
            Request::Get { key } => self
                .state
                .get(key)
                .map(|resource| Answer::Item(Box::new(self.item(resource))))
                .ok_or(ApiError::NotFound),
            Request::Preview { operation } => Ok(Answer::Applied(self.state.preview(operation)?)),
            Request::ReadPlan => Ok(Answer::Plan(Box::new(self.plan_in_force()))),
            Request::Change { .. }
            | Request::Steer { .. }
            | Request::Register { .. }
            | Request::Locate { .. }
            | Request::Watch { .. }
            | Request::Replicas
            | Request::Admit { .. } => Err(ApiError::MethodNotAllowed),
        }
    }

    fn plan_in_force(&self) -> PlanInForce {
        let steering = self.state.steering();
        PlanInForce {
            plan: steering.plan().cloned(),
            evacuated: steering.evacuated().clone(),
            document: steering.document().cloned(),
        }
    }

    fn list(&self, kind: Option<Kind>) -> ResourceList {
        let mut statuses: BTreeMap<u64, ResourceStatus> = BTreeMap::new();
        let items = self.state.resources(kind).map(|resource| ResourceItem {
            resource: resource.clone(),
            status: statuses
                .entry(resource.revision)
                .or_insert_with(|| self.resource_status(resource, LIST_ENTRY_NAMES_MAX))
                .clone(),
        });
        ResourceList {
            items: items.collect(),
            revision: self.state.revision(),
        }
    }

    fn item(&self, resource: &Resource) -> ResourceItem {
        ResourceItem {
            resource: resource.clone(),
            status: self.resource_status(resource, usize::MAX),
        }
    }

    fn resource_status(&self, resource: &Resource, names_max: usize) -> ResourceStatus {
        let progress = self
            .entries
            .progress(&resource.key(), names_max, self.now_us);
        let status = self
            .entries
            .status(&self.state, resource.revision, names_max, self.now_us);
        ResourceStatus { progress, ..status }
    }
}
