//! Parses the command line of `oleanderwelld`.

use lexopt::{Arg, Parser};
use std::path::PathBuf;
use thiserror::Error;

/// What `--help` prints.
pub const HELP: &str = "\
oleanderwelld: runs an entry, a control replica, both, or a gateway

Usage: oleanderwelld --settings FILE [--check | --found]

Options:
  --settings FILE  the settings (docs/SETTINGS.md)
  --check          check the settings and exit
  --found          create the data folder of an initial replica of a new deployment and exit
  --help           print this and exit
  --version        print the version and exit

Exit codes: 0 success or stopped by a signal, 1 failed, 2 invalid usage or settings
";

/// The action that the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Print [`HELP`] and exit.
    Help,
    /// Print the version of the package and exit.
    Version,
    /// Read and check the settings without opening a socket, and exit.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Create the data folder of an initial control replica, and exit.
    Found {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Run the roles that the settings declare until a signal.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
    },
}

/// An invalid command line.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// An argument is unknown, or its value is missing.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
    /// An action other than help or version needs `--settings`.
    #[error("--settings FILE is missing")]
    SettingsMissing,
    /// `--check` and `--found` were both given.
    #[error("--check and --found can't be used together")]
    CheckAndFound,
}

/// Parses the arguments. `--help` and `--version` take effect as soon as they are read: the
/// arguments after them are not checked.
///
/// # Errors
///
/// [`OptionsError`] when an argument is invalid or a required one is missing.
pub fn parse(mut parser: Parser) -> Result<Action, OptionsError> {
    let (mut settings, mut check, mut found) = (None, false, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Arg::Long("check") => check = true,
            Arg::Long("found") => found = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(Action::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Action::Version),
            Arg::Value(value) => return Err(lexopt::Error::UnexpectedArgument(value).into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings.ok_or(OptionsError::SettingsMissing)?;
    match (check, found) {
        (true, true) => Err(OptionsError::CheckAndFound),
        (true, false) => Ok(Action::Check { settings }),
        (false, true) => Ok(Action::Found { settings }),
        (false, false) => Ok(Action::Run { settings }),
    }
}
