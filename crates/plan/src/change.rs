//! Changes as the replicated log carries them.

use crate::{instance::Registration, model::Plan, validate::InvalidPlan};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{DomainName, UpstreamName, fnv1a};

/// The text that declared a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// The plan's own JSON form, which need not be kept.
    Own,
    /// Text of another interface, kept for reading it back there.
    Foreign(String),
}

impl Document {
    /// Tells declarations of one version apart.
    ///
    /// # Errors
    ///
    /// When the plan has no JSON form.
    pub(crate) fn digest(&self, plan: &Plan) -> Result<u64, InvalidPlan> {
        match self {
            Self::Own => {
                let json = serde_json::to_vec(plan).map_err(|_| InvalidPlan::Form)?;
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
    /// The plan.
    pub plan: Plan,
    /// The document as the operator sent it.
    pub document: Document,
    /// The version that the change starts from, 0 for the first.
    pub based_on: u64,
}

/// A change of what gateways follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Puts a plan in force.
    Declare(Box<PlanDeclaration>),
    /// Sends nothing more to the upstreams of a failure domain.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
    },
    /// Ends an evacuation.
    EndEvacuation {
        /// The failure domain.
        domain: DomainName,
    },
    /// Notes what an instance says of itself.
    Register(Registration),
    /// Notes that an instance has left.
    Leave {
        /// The instance.
        id: UpstreamName,
        /// The start of the run that left, when told.
        born_ms: Option<u64>,
    },
    /// Notes that an instance was not heard for too long.
    Expire {
        /// The instance.
        id: UpstreamName,
        /// The start of the run that was not heard.
        born_ms: u64,
    },
}

/// What an accepted change answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// The plan is in force, or was accepted before.
    Declared {
        /// Its version.
        version: u64,
    },
    /// The change is noted.
    Noted,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// Another version is in force.
    #[error("the plan in force has version {current}")]
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// The plan contradicts itself.
    #[error(transparent)]
    Invalid(#[from] InvalidPlan),
}
