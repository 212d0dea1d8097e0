//! What can go wrong, and the exit code that tells it.

use crate::{
    args::ArgsError, client::ClientError, declarations::DeclarationsError, explain::NoSuchRequest,
};
use std::{io, path::PathBuf};
use thiserror::Error;
use types::{ApiError, InvalidName};

/// The exit codes that `--help` declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// Wrong usage or invalid declarations.
    Usage = 2,
    /// The version that the change is based on is not the current one.
    Conflict = 3,
    /// Not in force in time.
    NotInForce = 4,
    /// No control replica reachable.
    Unreachable = 5,
    /// `diff` found differences.
    Different = 6,
}

/// A command that did not succeed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command line is wrong.
    #[error(transparent)]
    Args(#[from] ArgsError),
    /// The declarations can't be read.
    #[error(transparent)]
    Declarations(#[from] DeclarationsError),
    /// A name breaks the rules of names.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A control replica answered with an error.
    #[error("{0}")]
    Api(ApiError),
    /// No control replica answered.
    #[error("no control replica is reachable; the last failure: {0}")]
    Unreachable(ClientError),
    /// A change may have been accepted or not.
    #[error("{error}; resend the change with --request-id {request_id}")]
    Unsettled {
        /// The id to resend it with.
        request_id: String,
        /// What went wrong.
        error: Box<Self>,
    },
    /// The process to dump did not answer.
    #[error("{address}: {error}")]
    Dump {
        /// Its address.
        address: String,
        /// What went wrong.
        error: ClientError,
    },
    /// The resources did not come into force in time.
    #[error("not in force in time: {in_force} of {total} resources are")]
    NotInForce {
        /// How many are in force.
        in_force: usize,
        /// How many there are.
        total: usize,
    },
    /// The token file can't be read.
    #[error("{path}: {error}")]
    TokenFile {
        /// Its path.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// A log can't be read.
    #[error("{path}: {error}")]
    Log {
        /// Its path.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// No log names the request.
    #[error(transparent)]
    NoSuchRequest(#[from] NoSuchRequest),
    /// No reachable replica has this name and waits to be admitted.
    #[error("no reachable replica named {name} waits to be admitted")]
    NoLearner {
        /// The name.
        name: String,
    },
    /// The admitted replica has not caught up in time.
    #[error("{name} is admitted, but has not caught up in time and does not vote yet")]
    NotVoting {
        /// The name.
        name: String,
    },
    /// An answer is no JSON of the expected shape.
    #[error("the answer is not readable")]
    Answer(#[from] serde_json::Error),
    /// The standard output is closed.
    #[error("the standard output is closed")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// The exit code that tells it.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Args(_)
            | Self::Declarations(_)
            | Self::Name(_)
            | Self::TokenFile { .. }
            | Self::Log { .. } => ExitCode::Usage,
            Self::Api(error) => api_exit_code(error),
            Self::Unsettled { error, .. } => error.exit_code(),
            Self::Unreachable(_) => ExitCode::Unreachable,
            Self::NotInForce { .. } => ExitCode::NotInForce,
            Self::Dump { .. }
            | Self::NoSuchRequest(_)
            | Self::NoLearner { .. }
            | Self::NotVoting { .. }
            | Self::Answer(_)
            | Self::Output(_) => ExitCode::Failed,
        }
    }
}

const fn api_exit_code(error: &ApiError) -> ExitCode {
    match error {
        ApiError::Conflict { .. } | ApiError::PlanConflict { .. } => ExitCode::Conflict,
        ApiError::InvalidResource { .. }
        | ApiError::InvalidPlan { .. }
        | ApiError::MalformedJson { .. }
        | ApiError::InvalidName { .. }
        | ApiError::ResourcesTooLarge { .. }
        | ApiError::UnknownKind { .. } => ExitCode::Usage,
        _ => ExitCode::Failed,
    }
}
