//! The command line.

use lexopt::{Arg, Parser};
use std::path::PathBuf;
use thiserror::Error;

/// What `--help` prints.
pub const HELP: &str = "\
oleanderwelld: runs an entry, a control replica, or both

Usage: oleanderwelld --settings FILE [--check | --found]

Options:
  --settings FILE  the settings (docs/SETTINGS.md)
  --check          check the settings and exit
  --found          found the data folder of a new deployment's replica and exit
  --help           print this and exit
  --version        print the version and exit

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings
";

/// What the process is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings.
    Check {
        /// The settings.
        settings: PathBuf,
    },
    /// Found the data folder.
    Found {
        /// The settings.
        settings: PathBuf,
    },
    /// Run.
    Run {
        /// The settings.
        settings: PathBuf,
    },
}

/// A command line that can't be carried out.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// An argument is unknown or lacks its value.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
    /// `--settings` is missing.
    #[error("--settings FILE is missing")]
    SettingsMissing,
    /// `--check` and `--found` exclude each other.
    #[error("--check and --found exclude each other")]
    CheckAndFound,
}

/// Reads the command line.
///
/// # Errors
///
/// [`OptionsError`] when it can't be carried out.
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
