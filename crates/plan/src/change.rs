//! The changes of [`Steering`](crate::Steering), as the replicated log carries them, and their
//! results.

use crate::{instance::Registration, model::Plan, validate::InvalidPlan};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;
use types::{DomainName, UpstreamName, fnv1a};

/// The text by which an operator declared a plan.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// The JSON form of [`Plan`], which is not kept since the plan can be encoded again.
    Own,
    /// Text in the format of another interface, kept so that operators can read it back there.
    Foreign(String),
}

impl fmt::Debug for Document {
    /// Shows no text, since it holds the keys of tenants.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.write_str("Own"),
            Self::Foreign(text) => write!(f, "Foreign({} bytes)", text.len()),
        }
    }
}

impl Document {
    /// A hash that tells a resend of a declaration from another declaration of the same version.
    ///
    /// # Errors
    ///
    /// [`InvalidPlan::NoJsonForm`] when the plan can't be encoded.
    pub(crate) fn digest(&self, plan: &Plan) -> Result<u64, InvalidPlan> {
        match self {
            Self::Own => {
                let json = serde_json::to_vec(plan).map_err(|_| InvalidPlan::NoJsonForm)?;
                Ok(fnv1a(json))
            }
            Self::Foreign(text) => Ok(fnv1a(text.bytes())),
        }
    }
}

/// A plan with the document that declared it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanDeclaration {
    /// The plan to put in force.
    pub plan: Plan,
    /// The text that the operator sent.
    pub document: Document,
    /// The version of the plan that it replaces, 0 for the first plan. The declaration is refused
    /// when another version is in force.
    pub based_on: u64,
}

/// A change of [`Steering`](crate::Steering).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Puts a plan in force.
    Declare(Box<PlanDeclaration>),
    /// Evacuates a failure domain: gateways send no new requests to its upstreams.
    Evacuate {
        /// The name of the failure domain.
        domain: DomainName,
    },
    /// Ends the evacuation of a failure domain.
    EndEvacuation {
        /// The name of the failure domain.
        domain: DomainName,
    },
    /// Adds or updates an instance by its heartbeat.
    Register(Registration),
    /// Records that an instance announced that it leaves. Binds heartbeats of its run that come later.
    Leave {
        /// The name of the instance.
        id: UpstreamName,
        /// The start of the run that leaves, as in [`Registration::born_ms`]; none when the notice
        /// doesn't state it.
        born_ms: Option<u64>,
        /// When the notice came, in Unix milliseconds by the clock of the replica that proposed it;
        /// none when that is not known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        received_ms: Option<u64>,
    },
    /// Marks an instance as expired whose heartbeats stopped; a later heartbeat brings it back.
    Expire {
        /// The name of the instance.
        id: UpstreamName,
        /// The start of the run whose heartbeats stopped, as in [`Registration::born_ms`].
        born_ms: u64,
    },
}

/// The result of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The plan is in force now, or this is a resend of a declaration that was accepted before.
    Declared {
        /// The version of the declared plan.
        version: u64,
    },
    /// A change other than a declaration was applied, or had no effect.
    #[serde(rename = "noted")]
    Applied,
}

/// Why a declaration was refused. Other changes are always accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclarationError {
    /// The plan in force is not the one that the declaration is based on.
    #[error("the plan in force has version {current}; the declared plan is based on another one")]
    Conflict {
        /// The version in force, 0 when no plan is.
        current: u64,
    },
    /// The plan contradicts itself.
    #[error(transparent)]
    Invalid(#[from] InvalidPlan),
}
