//! The JSON bodies of requests.

use plan::Plan;
use raft::ReplicaId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use types::ResourceName;

/// Body of `PUT /v1/resources/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct PutBody {
    /// Chosen by the operator; the same for every resend.
    pub request_id: String,
    /// The version that the change starts from; 0 creates.
    pub based_on: u64,
    /// What is declared; its shape depends on the kind.
    pub spec: Value,
}

/// Body of `DELETE /v1/resources/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct DeleteBody {
    /// Chosen by the operator; the same for every resend.
    pub request_id: String,
    /// The version that the change starts from.
    pub based_on: u64,
}

/// Body of `POST /v1/apply`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ApplyBody {
    /// Chosen by the operator; the same for every resend.
    pub request_id: String,
    /// Whether resources that `changes` doesn't name are withdrawn.
    #[serde(default)]
    pub prune: bool,
    /// Whether to answer what would change, and change nothing.
    #[serde(default)]
    pub dry_run: bool,
    /// The resources.
    pub changes: Vec<ChangeBody>,
}

/// One resource of an [`ApplyBody`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ChangeBody {
    /// The kind.
    pub kind: String,
    /// The name.
    pub name: String,
    /// What is declared; its shape depends on the kind.
    pub spec: Value,
    /// The version that the change starts from, if it matters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// Body of `PUT /v1/plan`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct PlanBody {
    /// The version that the plan takes the place of; 0 before the first.
    pub based_on: u64,
    /// The plan.
    pub plan: Plan,
}

/// Body of `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct AdmitBody {
    /// The name of the replica to admit.
    pub name: ResourceName,
    /// The incarnation of its data folder.
    pub incarnation: u64,
    /// The replica that it replaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<ReplicaId>,
}
