//! Why a change was not accepted.

use crate::validate::RESOURCES_MAX_BYTES;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};
use thiserror::Error;
use types::{ApiError, Key};

/// A change that was not accepted; nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The version that the change is based on is not the current one.
    #[error("{key} has version {current_version}")]
    Conflict {
        /// The resource.
        key: Key,
        /// Its version; 0 when it does not exist.
        current_version: u64,
    },
    /// The resource to withdraw does not exist.
    #[error("no such resource")]
    NotFound,
    /// A resource contradicts another or itself.
    #[error("{key} is invalid: {reason} ({subject})")]
    Invalid {
        /// The resource.
        key: Key,
        /// What is wrong.
        reason: InvalidReason,
        /// The field or other resource that the reason names.
        subject: String,
    },
    /// The resources would not fit into the answer to an entry.
    #[error("all resources together may take {RESOURCES_MAX_BYTES} bytes")]
    TooLarge,
    /// Another change came under this request id.
    #[error("request id {request_id:?} belongs to another change")]
    RequestIdReused {
        /// The request id.
        request_id: String,
    },
    /// A plan was not accepted.
    #[error(transparent)]
    Plan(#[from] plan::Refused),
    /// No room is left for the answer, which has to be kept for resends.
    #[error("too many answers are retained")]
    AnswersFull,
}

/// What is wrong with a resource.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InvalidReason {
    /// It names a region that is not declared.
    UnknownRegion,
    /// It names a failure domain that the region does not have.
    UnknownFailureDomain,
    /// It names a service that is not declared.
    UnknownService,
    /// It names an entry that is not declared.
    UnknownEntry,
    /// The capacity is zero.
    ZeroCapacity,
    /// The limit of a link is zero.
    ZeroLimit,
    /// The cap of a shift is zero.
    ZeroCap,
    /// The interval of a cap is zero.
    ZeroInterval,
    /// The deadline is zero.
    ZeroDeadline,
    /// A share is above 100 percent.
    PercentTooLarge,
    /// Both ends of a link are the same region.
    SameEnds,
    /// Another link joins the same two regions.
    DuplicateLink,
    /// A shift gives to the region that it takes from.
    SameRegion,
    /// The service does not run in that region.
    RegionWithoutService,
    /// Another shift moves the same service from the same region.
    ConflictingShift,
    /// A list is empty that must not be.
    EmptyList,
    /// A list names something twice.
    Repeated,
    /// The failure domain belongs to another region too.
    DuplicateFailureDomain,
    /// Another entry has the same address.
    DuplicateAddress,
    /// One change declares the resource twice.
    DeclaredTwice,
    /// Another resource names it, so that it can't be withdrawn.
    InUse,
}

impl From<Rejection> for ApiError {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Conflict {
                key,
                current_version,
            } => Self::Conflict {
                key,
                current_version,
            },
            Rejection::NotFound => Self::NotFound,
            Rejection::Invalid {
                key,
                reason,
                subject,
            } => Self::InvalidResource {
                key,
                reason: reason.to_string(),
                subject,
            },
            Rejection::TooLarge => Self::ResourcesTooLarge {
                limit_bytes: RESOURCES_MAX_BYTES as u64,
            },
            Rejection::RequestIdReused { request_id } => Self::RequestIdReused { request_id },
            Rejection::Plan(plan::Refused::Conflict { current }) => Self::PlanConflict {
                current_version: current,
            },
            Rejection::Plan(plan::Refused::Invalid(reason)) => Self::InvalidPlan {
                reason: reason.to_string(),
            },
            Rejection::AnswersFull => Self::TooBusy,
        }
    }
}
