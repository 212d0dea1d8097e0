//! The JSON bodies of requests to the control replica, as servers read and clients write them.

use plan::Plan;
use raft::ReplicaId;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use types::ResourceName;

/// Body of `PUT /v1/resources/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct PutBody {
    /// Identifies the change; the client chooses it and uses it again for each resend.
    pub request_id: String,
    /// The version that the change is based on; 0 to create the resource.
    pub based_on: u64,
    /// The declared content; its form depends on the kind.
    pub spec: Value,
}

/// Body of `DELETE /v1/resources/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct DeleteBody {
    /// Identifies the change; the client chooses it and uses it again for each resend.
    pub request_id: String,
    /// The version that the change is based on.
    pub based_on: u64,
}

/// Body of `POST /v1/apply`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ApplyBody {
    /// Identifies the change; the client chooses it and uses it again for each resend.
    pub request_id: String,
    /// Whether to withdraw every resource that `changes` doesn't name.
    #[serde(default)]
    pub prune: bool,
    /// Whether to answer what would change without making the change.
    #[serde(default)]
    pub dry_run: bool,
    /// The resources to create or change, each at most once.
    pub changes: Vec<ChangeBody>,
}

/// One resource of an [`ApplyBody`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ChangeBody {
    /// The resource's kind.
    pub kind: String,
    /// The resource's name.
    pub name: String,
    /// The declared content; its form depends on the kind.
    pub spec: Value,
    /// The version that the change is based on; any version if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// Body of `PUT /v1/plan`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct PlanBody {
    /// The version of the plan in force that this one replaces; 0 for the first plan.
    pub based_on: u64,
    /// The plan to put in force.
    pub plan: Plan,
}

/// Body of `POST /v1/replicas`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct AdmitBody {
    /// The name of the replica to admit.
    pub name: ResourceName,
    /// The incarnation of the replica's data folder; a new folder has another one.
    pub incarnation: u64,
    /// The replica that it replaces, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<ReplicaId>,
}
