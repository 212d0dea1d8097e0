//! The reasons for which the state machine rejects a change.

use crate::{
    retained::{RETAINED_MAX_BYTES, RETAINED_MAX_REQUESTS},
    validate::RESOURCES_MAX_BYTES,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};
use thiserror::Error;
use types::{ApiError, Key};

/// Why a change was rejected. A rejected change alters no resource and no plan.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The version that the change is based on is not the current one.
    #[error("{key} has version {current_version}; the change is based on another one")]
    Conflict {
        /// The resource to change.
        key: Key,
        /// Its current version; 0 when it does not exist.
        current_version: u64,
    },
    /// The resource to withdraw does not exist.
    #[error("the resource to withdraw does not exist")]
    NotFound,
    /// A declared resource is not valid by itself or together with the others.
    #[error("{key} is invalid: {reason} ({subject})")]
    Invalid {
        /// The resource at fault.
        key: Key,
        /// Which rule it breaks.
        reason: InvalidReason,
        /// The field or other resource that the reason is about.
        subject: String,
    },
    /// All resources together would no longer fit into one answer to an entry's poll.
    #[error("all resources together would exceed {RESOURCES_MAX_BYTES} bytes")]
    TooLarge,
    /// The request id was used before, for a different change.
    #[error("request id {request_id:?} was already used for another change")]
    RequestIdReused {
        /// The repeated request id.
        request_id: String,
    },
    /// A plan was rejected.
    #[error(transparent)]
    Plan(#[from] plan::DeclarationError),
    /// The answer could not be kept for a resend of the request, so the change was not made.
    #[error(
        "the answers retained for resends have reached their limit \
         ({RETAINED_MAX_REQUESTS} answers or {RETAINED_MAX_BYTES} bytes)"
    )]
    AnswersFull,
}

/// The rule that a declared resource breaks.
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
    /// The capacity of a region is zero.
    ZeroCapacity,
    /// The limit of a link is zero.
    ZeroLimit,
    /// The cap of a shift is zero.
    ZeroCap,
    /// The interval of a shift's cap is zero.
    ZeroInterval,
    /// The deadline of a service is zero.
    ZeroDeadline,
    /// The target or cap of a shift is above 100 percent.
    PercentTooLarge,
    /// Both ends of a link are the same region.
    SameEnds,
    /// Another link connects the same two regions.
    DuplicateLink,
    /// A shift moves traffic from a region to the same region.
    SameRegion,
    /// The service of a shift does not run in one of the shift's regions.
    RegionWithoutService,
    /// Another shift moves the same service from the same region.
    ConflictingShift,
    /// A list that needs at least one item is empty.
    EmptyList,
    /// A list holds the same item twice.
    Repeated,
    /// Another region has a failure domain of the same name.
    DuplicateFailureDomain,
    /// An address is used twice, by two entries or by one entry for both its addresses.
    DuplicateAddress,
    /// One change declares the resource twice.
    DeclaredTwice,
    /// The resource can't be withdrawn while another one refers to it.
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
            Rejection::Plan(plan::DeclarationError::Conflict { current }) => Self::PlanConflict {
                current_version: current,
            },
            Rejection::Plan(plan::DeclarationError::Invalid(reason)) => Self::InvalidPlan {
                reason: reason.to_string(),
            },
            Rejection::AnswersFull => Self::TooBusy,
        }
    }
}
