//! The commands that the replicated log carries, and their encoding.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{Key, ResourceName, Spec};

/// The longest request id, in bytes.
pub const REQUEST_ID_MAX_BYTES: usize = 128;

/// A change that the leader proposes to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Command {
    /// Identifies the request; a resend with the same id gets the first answer again. The operator
    /// chooses it, or the leader for its own changes.
    pub request_id: String,
    /// The time when the leader proposed it, in milliseconds of the log's clock.
    pub at_ms: u64,
    /// The change of resources, or of the plan, an evacuation or an instance.
    pub operation: Operation,
}

/// The change that a [`Command`] makes: all of it, or nothing when a part is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates one resource, or replaces its content.
    Put(Declaration),
    /// Withdraws one resource.
    Delete {
        /// The resource to withdraw.
        key: Key,
        /// The version that the change is based on; any other current version is a conflict.
        based_on: u64,
    },
    /// Creates or changes several resources at once.
    Apply {
        /// The resources to create or change, each at most once.
        declarations: Vec<Declaration>,
        /// Whether every resource that `declarations` doesn't name is withdrawn.
        prune: bool,
    },
    /// Changes the plan, an evacuation or an instance, which gateways poll for. Its answer is not
    /// kept for a resend: the change carries its own versions, so that a resend does no harm.
    Steer(plan::Change),
}

/// A resource as an operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Declaration {
    /// The resource's name.
    pub name: ResourceName,
    /// The declared content.
    #[serde(flatten)]
    pub spec: Spec,
    /// The version that the change is based on, 0 to create; `None` accepts any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// A command that can't be written to or read from a log entry.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command can't be written as JSON.
    #[error("the command can't be encoded")]
    Encode(#[source] serde_json::Error),
    /// The bytes of the log entry are not the JSON of a command.
    #[error("the command in the log entry can't be decoded")]
    Decode(#[source] serde_json::Error),
}

impl Command {
    /// The bytes that a log entry carries.
    ///
    /// # Errors
    ///
    /// [`CommandError::Encode`] when the serializer fails.
    pub fn encode(&self) -> Result<Vec<u8>, CommandError> {
        serde_json::to_vec(self).map_err(CommandError::Encode)
    }

    /// Reads what [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// [`CommandError::Decode`] when the bytes are not the JSON of a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        serde_json::from_slice(bytes).map_err(CommandError::Decode)
    }
}

impl Declaration {
    /// The kind and name of the declared resource.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
