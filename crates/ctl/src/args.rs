//! The command line.

use lexopt::{Arg, Parser, ValueExt};
use std::{ffi::OsString, path::PathBuf, time::Duration};
use strum::{Display, EnumString};
use thiserror::Error;
use types::{DomainName, InvalidName};

const DEFAULT_TIMEOUT_S: u64 = 15;
const DEFAULT_IN_FORCE_TIMEOUT_S: u64 = 60;

/// A wrong command line.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// An option or value is wrong.
    #[error("{0}; see --help")]
    Option(#[from] lexopt::Error),
    /// No command stands on the line.
    #[error("no command; see --help")]
    NoCommand,
    /// No such command.
    #[error("no command is named {command:?}; see --help")]
    UnknownCommand {
        /// What stands there.
        command: String,
    },
    /// An argument that the command needs is missing.
    #[error("{command} needs {argument}; see --help")]
    Missing {
        /// The command.
        command: String,
        /// What it needs.
        argument: &'static str,
    },
    /// There are more arguments than the command takes.
    #[error("{argument:?} is one argument too many; see --help")]
    TooMany {
        /// The first of them.
        argument: String,
    },
    /// A name breaks the rules of names.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// No such type of drain.
    #[error("can't drain a {kind:?}: it is upstream, entry, failure_domain or region")]
    DrainKind {
        /// What stands there.
        kind: String,
    },
}

/// What a drain empties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DrainKind {
    /// One upstream.
    Upstream,
    /// One entry VM.
    Entry,
    /// A failure domain.
    FailureDomain,
    /// A region.
    Region,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Declare what files say.
    Apply {
        /// The files and folders.
        files: Vec<PathBuf>,
        /// Whether to withdraw what they don't declare.
        prune: bool,
        /// Whether to change nothing.
        dry_run: bool,
    },
    /// Compare files with what is declared.
    Diff {
        /// The files and folders.
        files: Vec<PathBuf>,
    },
    /// Show resources.
    Get {
        /// The kind.
        kind: Option<String>,
        /// The name.
        name: Option<String>,
    },
    /// Print changes.
    Watch {
        /// Whether to end once everything is in force.
        until_in_force: bool,
    },
    /// Start a drain.
    Drain {
        /// What is drained.
        kind: DrainKind,
        /// Its name.
        name: String,
    },
    /// End a drain.
    Undrain {
        /// What is drained.
        kind: DrainKind,
        /// Its name.
        name: String,
    },
    /// Show the plan in force, or declare one.
    Plan {
        /// The file with the plan to declare.
        file: Option<PathBuf>,
        /// The version that it takes the place of; the one in force when it isn't told.
        based_on: Option<u64>,
    },
    /// Send nothing more to the upstreams of a failure domain that gateways know.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
    },
    /// End an evacuation.
    EndEvacuation {
        /// The failure domain.
        domain: DomainName,
    },
    /// Show the control replicas.
    Replicas,
    /// Admit a control replica.
    Admit {
        /// Its name.
        name: String,
    },
    /// Print a process's state.
    Dump {
        /// Its address.
        address: String,
    },
    /// Tell what became of a request.
    Explain {
        /// The request.
        request: String,
        /// The logs; `-` is the standard input.
        logs: Vec<PathBuf>,
    },
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// HTTP addresses of the control replicas.
    pub servers: Vec<String>,
    /// The file with the operators' token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// When to give up.
    pub timeout: Duration,
    /// The id of the change, if the operator chose one.
    pub request_id: Option<String>,
    /// What to do.
    pub command: Command,
}

/// What a command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// The help text.
    Help,
    /// The version.
    Version,
    /// A command.
    Run(Args),
}

#[derive(Default)]
struct Raw {
    servers: Vec<String>,
    token_file: Option<PathBuf>,
    json: bool,
    timeout_s: Option<u64>,
    request_id: Option<String>,
    files: Vec<PathBuf>,
    prune: bool,
    dry_run: bool,
    until_in_force: bool,
    based_on: Option<u64>,
    logs: Vec<PathBuf>,
    words: Vec<String>,
}

/// Reads a command line without the program's name.
///
/// # Errors
///
/// [`ArgsError`] when it is wrong.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Parsed, ArgsError> {
    let mut parser = Parser::from_args(args);
    let mut raw = Raw::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Parsed::Version),
            Arg::Long("servers") => raw.servers = split_servers(&parser.value()?.string()?),
            Arg::Long("token-file") => raw.token_file = Some(parser.value()?.into()),
            Arg::Long("json") => raw.json = true,
            Arg::Long("timeout") => raw.timeout_s = Some(parser.value()?.parse()?),
            Arg::Long("request-id") => raw.request_id = Some(parser.value()?.string()?),
            Arg::Short('f') | Arg::Long("file") => {
                raw.files.extend(parser.values()?.map(PathBuf::from));
            }
            Arg::Long("log") => raw.logs.extend(parser.values()?.map(PathBuf::from)),
            Arg::Long("based-on") => raw.based_on = Some(parser.value()?.parse()?),
            Arg::Long("prune") => raw.prune = true,
            Arg::Long("dry-run") => raw.dry_run = true,
            Arg::Long("until-in-force") => raw.until_in_force = true,
            Arg::Value(word) => raw.words.push(word.string()?),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected().into()),
        }
    }
    raw.finish().map(Parsed::Run)
}

fn split_servers(servers: &str) -> Vec<String> {
    servers
        .split(',')
        .map(str::trim)
        .filter(|server| !server.is_empty())
        .map(str::to_owned)
        .collect()
}

impl Raw {
    fn finish(mut self) -> Result<Args, ArgsError> {
        let command = self.command()?;
        let needs_servers = !matches!(command, Command::Dump { .. } | Command::Explain { .. });
        if needs_servers && self.servers.is_empty() {
            return Err(missing("oleanderctl", "--servers"));
        }
        let default_s = match command {
            Command::Watch {
                until_in_force: true,
            } => DEFAULT_IN_FORCE_TIMEOUT_S,
            _ => DEFAULT_TIMEOUT_S,
        };
        Ok(Args {
            servers: self.servers,
            token_file: self.token_file,
            json: self.json,
            timeout: Duration::from_secs(self.timeout_s.unwrap_or(default_s)),
            request_id: self.request_id,
            command,
        })
    }

    fn command(&mut self) -> Result<Command, ArgsError> {
        let mut words = std::mem::take(&mut self.words).into_iter();
        let name = words.next().ok_or(ArgsError::NoCommand)?;
        let mut need = |argument| words.next().ok_or_else(|| missing(&name, argument));
        let command = match name.as_str() {
            "apply" => Command::Apply {
                files: self.files(&name)?,
                prune: self.prune,
                dry_run: self.dry_run,
            },
            "diff" => Command::Diff {
                files: self.files(&name)?,
            },
            "get" => Command::Get {
                kind: words.next(),
                name: words.next(),
            },
            "watch" => Command::Watch {
                until_in_force: self.until_in_force,
            },
            "drain" => Command::Drain {
                kind: drain_kind(&need("TYPE")?)?,
                name: need("NAME")?,
            },
            "undrain" => Command::Undrain {
                kind: drain_kind(&need("TYPE")?)?,
                name: need("NAME")?,
            },
            "plan" => Command::Plan {
                file: self.files.pop(),
                based_on: self.based_on,
            },
            "evacuate" => Command::Evacuate {
                domain: domain(&need("DOMAIN")?)?,
            },
            "end-evacuation" => Command::EndEvacuation {
                domain: domain(&need("DOMAIN")?)?,
            },
            "replicas" => Command::Replicas,
            "admit" => Command::Admit {
                name: need("NAME")?,
            },
            "dump" => Command::Dump {
                address: need("ADDRESS")?,
            },
            "explain" => Command::Explain {
                request: need("REQUEST")?,
                logs: match self.logs.is_empty() {
                    true => vec![PathBuf::from("-")],
                    false => std::mem::take(&mut self.logs),
                },
            },
            _ => return Err(ArgsError::UnknownCommand { command: name }),
        };
        match words.next() {
            Some(argument) => Err(ArgsError::TooMany { argument }),
            None => Ok(command),
        }
    }

    fn files(&mut self, command: &str) -> Result<Vec<PathBuf>, ArgsError> {
        if self.files.is_empty() {
            return Err(missing(command, "-f PATH"));
        }
        Ok(std::mem::take(&mut self.files))
    }
}

fn drain_kind(kind: &str) -> Result<DrainKind, ArgsError> {
    kind.replace('-', "_")
        .parse()
        .map_err(|_| ArgsError::DrainKind {
            kind: kind.to_owned(),
        })
}

fn domain(name: &str) -> Result<DomainName, ArgsError> {
    Ok(DomainName::new(name)?)
}

fn missing(command: &str, argument: &'static str) -> ArgsError {
    ArgsError::Missing {
        command: command.to_owned(),
        argument,
    }
}
