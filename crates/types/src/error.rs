//! The errors that the HTTP interfaces answer with, their status codes and their JSON body.

use crate::{Key, Outcome, Refusal};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use thiserror::Error;

/// An error that an HTTP interface answers with; the variant's name is the `type` in the JSON body.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case", tag = "type", content = "details")]
#[strum(serialize_all = "snake_case")]
pub enum ApiError {
    /// The request body is not JSON, or not of the form that the path expects.
    #[error("the body is not JSON of the expected form: {reason}")]
    MalformedJson {
        /// The JSON parser's message.
        reason: String,
    },
    /// The value of a request header is not valid.
    #[error("the value of header {name} is not valid")]
    MalformedHeader {
        /// The header's name.
        name: String,
    },
    /// A name in the path or body is not valid, see [`InvalidName`](crate::InvalidName).
    #[error("invalid name {name:?}")]
    InvalidName {
        /// The rejected text.
        name: String,
    },
    /// A query parameter is unknown or its value can't be parsed.
    #[error("query parameter {parameter:?} is unknown or has an invalid value")]
    InvalidQuery {
        /// The parameter's name.
        parameter: String,
    },
    /// The path or body names a kind of resource that does not exist.
    #[error("no kind of resource is named {kind:?}")]
    UnknownKind {
        /// The kind as the request names it.
        kind: String,
    },
    /// The path, resource or service does not exist.
    #[error("not found")]
    NotFound,
    /// The path exists, but not with the request's method.
    #[error("the path has no such method")]
    MethodNotAllowed,
    /// The body is larger than the path allows.
    #[error("the body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The largest body that the path accepts, in bytes.
        limit_bytes: u64,
    },
    /// The body did not arrive in time, or the connection broke before its end.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// The request carries no token, or one that is not configured.
    #[error("the token is missing or wrong")]
    Unauthorized,
    /// The token is valid, but for another service.
    #[error("the token is not bound to service {service}")]
    Forbidden {
        /// The service that the request names.
        service: String,
    },
    /// The version that the change is based on is not the current one.
    #[error("{key} has version {current_version}; the change is based on another one")]
    Conflict {
        /// The resource to change.
        key: Key,
        /// Its current version; 0 when it does not exist.
        current_version: u64,
    },
    /// A declared resource is not valid by itself or together with the others.
    #[error("{key} is invalid: {reason} ({subject})")]
    InvalidResource {
        /// The resource at fault.
        key: Key,
        /// The reason's code, such as `unknown_region`; the `state` crate lists them all.
        reason: String,
        /// The field or other resource that the reason is about.
        subject: String,
    },
    /// The change would make the set of all resources too large.
    #[error("all resources together would exceed {limit_bytes} bytes")]
    ResourcesTooLarge {
        /// The largest size of all resources together, in bytes.
        limit_bytes: u64,
    },
    /// A request id is empty, too long or not visible ASCII.
    #[error("a request id is 1 to {limit_bytes} visible ASCII characters")]
    InvalidRequestId {
        /// The longest request id, in bytes.
        limit_bytes: u64,
    },
    /// The request id was used before, for a different change.
    #[error("request id {request_id:?} was already used for another change")]
    RequestIdReused {
        /// The repeated request id.
        request_id: String,
    },
    /// The plan is based on another version than the one in force.
    #[error(
        "the plan in force has version {current_version}; the declared plan is based on another one"
    )]
    PlanConflict {
        /// The version in force; 0 when no plan was declared yet.
        current_version: u64,
    },
    /// A declared plan is not valid.
    #[error("the plan is invalid: {reason}")]
    InvalidPlan {
        /// Which check of the plan failed, as a sentence.
        reason: String,
    },
    /// The request needs the leader, and this replica is not it.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader's HTTP address, when this replica knows it.
        leader: Option<String>,
    },
    /// No majority of the control replicas answered in time, or the replica stopped before it could
    /// answer; a change may still take effect.
    #[error("no majority of the control replicas answered in time")]
    Unavailable,
    /// The process is overloaded and rejected the request without any effect.
    #[error("too many requests are waiting; nothing was done")]
    TooBusy,
    /// The watch starts at a revision whose next changes are no longer kept.
    #[error("changes up to revision {oldest_revision} are no longer kept")]
    Compacted {
        /// The oldest revision that a watch can start from.
        oldest_revision: u64,
    },
    /// An entry did not get an upstream's answer to a caller's request.
    #[error("the request did not finish: its outcome is {outcome}")]
    RequestRefused {
        /// Whether the request may have run.
        outcome: Outcome,
        /// Why the request was refused, when the entry refused it.
        refusal: Option<Refusal>,
    },
}

impl ApiError {
    /// The HTTP status code of the answer.
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

    /// The JSON body of the answer.
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

/// The JSON body of an error: `{"error": {"type": ..., "details": ..., "message": ...}}`.
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
