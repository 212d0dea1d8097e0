//! Changes as the replicated log carries them.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{Key, ResourceName, Spec};

/// The longest request id, in bytes.
pub const REQUEST_ID_MAX_BYTES: usize = 128;

/// A change that a replica proposes to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Command {
    /// Chosen by the operator; a resend with the same id gets the first answer again.
    pub request_id: String,
    /// The log's clock at the leader that proposed it.
    pub at_ms: u64,
    /// What to change.
    pub operation: Operation,
}

/// What a [`Command`] changes; all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or changes one resource.
    Put(Declaration),
    /// Withdraws one resource.
    Delete {
        /// The resource.
        key: Key,
        /// The version that the change starts from.
        based_on: u64,
    },
    /// Creates and changes several resources.
    Apply {
        /// The resources.
        declarations: Vec<Declaration>,
        /// Whether every resource that `declarations` doesn't name is withdrawn.
        prune: bool,
    },
    /// Changes what gateways follow; its own versions make a resend harmless.
    Steer(plan::Change),
}

/// A resource as an operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Declaration {
    /// Its name.
    pub name: ResourceName,
    /// What is declared.
    #[serde(flatten)]
    pub spec: Spec,
    /// The version that the change starts from, 0 to create; `None` applies to any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// A log entry that holds no readable command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command can't be written as JSON.
    #[error("the command can't be encoded")]
    Encode(#[source] serde_json::Error),
    /// The bytes are no command.
    #[error("the log entry holds no command")]
    Decode(#[source] serde_json::Error),
}

impl Command {
    /// The form that the log carries.
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
    /// [`CommandError::Decode`] when the bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        serde_json::from_slice(bytes).map_err(CommandError::Decode)
    }
}

impl Declaration {
    /// The identity of the declared resource.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
