//! Parses the command line of `oleanderwelld`.

use lexopt::{Arg, Parser, ValueExt};
use settings::{Override, Settings, SettingsError};
use std::path::PathBuf;
use thiserror::Error;

/// What `--help` prints.
pub const HELP: &str = "\
oleanderwelld: runs an entry, a control replica, both, or a gateway

Usage: oleanderwelld --settings FILE [--set SECTION.KEY=VALUE]... [--check | --found]

Options:
  --settings FILE          the settings (docs/SETTINGS.md)
  --set SECTION.KEY=VALUE  use this value in place of the one in the settings
  --check                  check the settings and exit
  --found                  create the data folder of an initial replica of a new deployment and exit
  --help                   print this and exit
  --version                print the version and exit

Exit codes: 0 success or stopped by a signal, 1 failed, 2 invalid usage or settings
";

/// Where the settings come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsSource {
    /// The settings file.
    pub path: PathBuf,
    /// The keys that the command line sets; a later one counts.
    pub overrides: Vec<Override>,
}

impl SettingsSource {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] found.
    pub fn read(&self) -> Result<Settings, SettingsError> {
        Settings::read_with(&self.path, &self.overrides)
    }
}

/// The action that the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Print [`HELP`] and exit.
    Help,
    /// Print the version of the package and exit.
    Version,
    /// Read and check the settings without opening a socket, and exit.
    Check {
        /// The settings.
        settings: SettingsSource,
    },
    /// Create the data folder of an initial control replica, and exit.
    Found {
        /// The settings.
        settings: SettingsSource,
    },
    /// Run the roles that the settings declare until a signal.
    Run {
        /// The settings.
        settings: SettingsSource,
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
    let (mut path, mut overrides, mut check, mut found) = (None, Vec::new(), false, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Arg::Long("set") => overrides.push(parser.value()?.parse()?),
            Arg::Long("check") => check = true,
            Arg::Long("found") => found = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(Action::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Action::Version),
            Arg::Value(value) => return Err(lexopt::Error::UnexpectedArgument(value).into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let path = path.ok_or(OptionsError::SettingsMissing)?;
    let settings = SettingsSource { path, overrides };
    match (check, found) {
        (true, true) => Err(OptionsError::CheckAndFound),
        (true, false) => Ok(Action::Check { settings }),
        (false, true) => Ok(Action::Found { settings }),
        (false, false) => Ok(Action::Run { settings }),
    }
}
