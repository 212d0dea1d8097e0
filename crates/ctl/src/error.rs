//! The errors of commands and the exit codes that they map to.

use crate::{
    args::ArgsError, client::ClientError, declarations::DeclarationsError, explain::RequestNotFound,
};
use std::{io, path::PathBuf};
use thiserror::Error;
use types::{ApiError, InvalidName};

/// The exit codes, as `--help` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without a code of its own.
    Failed = 1,
    /// The command line, a file, a declaration or a plan is invalid.
    Usage = 2,
    /// The version that the change is based on is not the current one.
    Conflict = 3,
    /// Some resources were not in force before the timeout.
    NotInForce = 4,
    /// No control replica answered.
    Unreachable = 5,
    /// `diff` found differences.
    Different = 6,
}

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command line is wrong.
    #[error(transparent)]
    Args(#[from] ArgsError),
    /// A file of declarations can't be read or is invalid.
    #[error(transparent)]
    Declarations(#[from] DeclarationsError),
    /// A name breaks the rules of names.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A control replica answered with an error.
    #[error("{0}")]
    Api(ApiError),
    /// No control replica gave a usable answer; holds the last failure to reach one.
    #[error("no control replica is reachable; the last error: {0}")]
    Unreachable(ClientError),
    /// A change got no final answer, so it may or may not have been accepted. Resending it with the
    /// same request id is safe.
    #[error("{error}; resend the change with --request-id {request_id}")]
    OutcomeUnknown {
        /// The request id of the change.
        request_id: String,
        /// The failure of the last attempt.
        error: Box<Self>,
    },
    /// The process to dump did not answer.
    #[error("can't dump {address}: {error}")]
    Dump {
        /// The address of the process.
        address: String,
        /// Why there is no answer.
        error: ClientError,
    },
    /// Not all resources were in force before the timeout.
    #[error("only {in_force} of {total} resources were in force before the timeout")]
    NotInForce {
        /// The number of resources in force.
        in_force: usize,
        /// The number of all resources.
        total: usize,
    },
    /// The token file can't be read.
    #[error("can't read token file {path}: {error}")]
    TokenFile {
        /// The path of the file.
        path: PathBuf,
        /// Why the read failed.
        error: io::Error,
    },
    /// A log file can't be read.
    #[error("can't read log {path}: {error}")]
    Log {
        /// The path of the file; `-` for the standard input.
        path: PathBuf,
        /// Why the read failed.
        error: io::Error,
    },
    /// No line of the logs is about the request.
    #[error(transparent)]
    RequestNotFound(#[from] RequestNotFound),
    /// No replica that answered before the timeout has this name and is not yet a voter.
    #[error("no reachable replica named {name} waits to be admitted")]
    NoLearner {
        /// The replica's name.
        name: String,
    },
    /// The replica was admitted, but did not become a voter before the timeout.
    #[error("{name} is admitted, but has not caught up in time and does not vote yet")]
    NotVoting {
        /// The replica's name.
        name: String,
    },
    /// An answer is not JSON of the expected form.
    #[error("the answer is not JSON of the expected form: {0}")]
    Answer(#[from] serde_json::Error),
    /// The standard output can't be written, for instance because it is closed.
    #[error("can't write to the standard output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// The exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Args(_)
            | Self::Declarations(_)
            | Self::Name(_)
            | Self::TokenFile { .. }
            | Self::Log { .. } => ExitCode::Usage,
            Self::Api(error) => api_exit_code(error),
            Self::OutcomeUnknown { error, .. } => error.exit_code(),
            Self::Unreachable(_) => ExitCode::Unreachable,
            Self::NotInForce { .. } => ExitCode::NotInForce,
            Self::Dump { .. }
            | Self::RequestNotFound(_)
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
