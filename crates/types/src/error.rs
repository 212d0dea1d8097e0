//! The failures that the HTTP interfaces tell, one type for each.

use crate::{Key, Outcome, Refusal};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use thiserror::Error;

/// A failure that an HTTP interface answers with.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case", tag = "type", content = "details")]
#[strum(serialize_all = "snake_case")]
pub enum ApiError {
    /// The body is no JSON of the expected shape.
    #[error("the body is not valid: {reason}")]
    MalformedJson {
        /// What the parser said.
        reason: String,
    },
    /// A header's value breaks its rules.
    #[error("the header {name} is not valid")]
    MalformedHeader {
        /// The header.
        name: String,
    },
    /// A name breaks the rules of names.
    #[error("invalid name {name:?}")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A query parameter is unknown or has a wrong value.
    #[error("invalid query parameter {parameter:?}")]
    InvalidQuery {
        /// The parameter.
        parameter: String,
    },
    /// No such kind of resource.
    #[error("no kind of resource is named {kind:?}")]
    UnknownKind {
        /// What was asked for.
        kind: String,
    },
    /// No such path, resource or service.
    #[error("not found")]
    NotFound,
    /// The path has no such method.
    #[error("the path has no such method")]
    MethodNotAllowed,
    /// The body is larger than the path allows.
    #[error("the body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// The body came too slowly.
    #[error("the body came too slowly")]
    BodyTimeout,
    /// The token is missing or wrong.
    #[error("the token is missing or wrong")]
    Unauthorized,
    /// The token is not bound to this service.
    #[error("the token is not bound to service {service}")]
    Forbidden {
        /// The service.
        service: String,
    },
    /// The version that the change is based on is not the current one.
    #[error("{key} has version {current_version}")]
    Conflict {
        /// The resource.
        key: Key,
        /// Its version; 0 when it does not exist.
        current_version: u64,
    },
    /// A resource contradicts another or itself.
    #[error("{key} is invalid: {reason}")]
    InvalidResource {
        /// The resource.
        key: Key,
        /// What is wrong, as the name of a closed set.
        reason: String,
        /// The field or other resource that it names.
        subject: String,
    },
    /// All resources together would be too large.
    #[error("all resources together may take {limit_bytes} bytes")]
    ResourcesTooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// A request id is empty, too long or not visible ASCII.
    #[error("a request id is 1 to {limit_bytes} visible ASCII characters")]
    InvalidRequestId {
        /// The longest one.
        limit_bytes: u64,
    },
    /// Another change came under this request id.
    #[error("request id {request_id:?} belongs to another change")]
    RequestIdReused {
        /// The request id.
        request_id: String,
    },
    /// The plan is based on another version than the one in force.
    #[error("the plan in force has version {current_version}")]
    PlanConflict {
        /// The version in force; 0 before the first.
        current_version: u64,
    },
    /// A plan contradicts itself.
    #[error("the plan is invalid: {reason}")]
    InvalidPlan {
        /// What is wrong.
        reason: String,
    },
    /// This replica does not lead.
    #[error("this replica does not lead")]
    NotLeader {
        /// The leader's HTTP address, when known.
        leader: Option<String>,
    },
    /// No majority of the replicas answered in time.
    #[error("no majority of the control replicas answered in time")]
    Unavailable,
    /// Too much waits; nothing was done.
    #[error("too much waits; nothing was done")]
    TooBusy,
    /// The watch starts before what is kept.
    #[error("changes before revision {oldest_revision} are no longer kept")]
    Compacted {
        /// The oldest revision to watch from.
        oldest_revision: u64,
    },
    /// An entry did not finish a caller's request.
    #[error("the request did not finish")]
    RequestRefused {
        /// What became of it.
        outcome: Outcome,
        /// Why.
        refusal: Option<Refusal>,
    },
}

impl ApiError {
    /// The HTTP status code that goes with it.
    #[must_use]
    pub const fn status_code(&self) -> u16 {
        match self {
            Self::MalformedJson { .. }
            | Self::MalformedHeader { .. }
            | Self::InvalidName { .. }
            | Self::InvalidQuery { .. }
            | Self::InvalidRequestId { .. } => 400,
            Self::Unauthorized => 401,
            Self::Forbidden { .. } => 403,
            Self::UnknownKind { .. } | Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::BodyTimeout => 408,
            Self::Conflict { .. } => 409,
            Self::Compacted { .. } => 410,
            Self::PlanConflict { .. } => 412,
            Self::BodyTooLarge { .. } => 413,
            Self::InvalidResource { .. }
            | Self::InvalidPlan { .. }
            | Self::ResourcesTooLarge { .. }
            | Self::RequestIdReused { .. } => 422,
            Self::NotLeader { .. } | Self::Unavailable | Self::TooBusy => 503,
            Self::RequestRefused {
                refusal: Some(Refusal::Duplicate),
                ..
            } => 409,
            Self::RequestRefused {
                outcome: Outcome::Unknown,
                ..
            } => 504,
            Self::RequestRefused { .. } => 503,
        }
    }

    /// The body that carries it.
    #[must_use]
    pub fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorDetail {
                error: self,
                message: self.to_string(),
            },
        }
    }
}

/// The JSON body of a failure.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorDetail<'a> {
    #[serde(flatten)]
    error: &'a ApiError,
    message: String,
}
