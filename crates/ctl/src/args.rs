//! Parses the command line into [`Args`].

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
    /// An option is unknown, lacks its value or has an invalid one.
    #[error("{0}; see --help")]
    Option(#[from] lexopt::Error),
    /// The line has no command.
    #[error("no command; see --help")]
    NoCommand,
    /// The command doesn't exist.
    #[error("unknown command {command:?}; see --help")]
    UnknownCommand {
        /// The word in the command's place.
        command: String,
    },
    /// An argument or option that the command needs is missing.
    #[error("{command} needs {argument}; see --help")]
    Missing {
        /// The command, or `oleanderctl` when `--servers` is missing.
        command: String,
        /// The argument as `--help` names it, or the option.
        argument: &'static str,
    },
    /// There are more arguments than the command takes.
    #[error("unexpected argument {argument:?}; see --help")]
    TooMany {
        /// The first argument too many.
        argument: String,
    },
    /// A name breaks the rules of names.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// The type of a drain is none of [`DrainKind`].
    #[error("can't drain {kind:?}: the type must be upstream, entry, failure_domain or region")]
    DrainKind {
        /// The word in the type's place.
        kind: String,
    },
}

/// The type of a drain's target. `-` and `_` are the same on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DrainKind {
    /// One upstream.
    Upstream,
    /// One entry.
    Entry,
    /// Everything in a failure domain.
    FailureDomain,
    /// Everything in a region.
    Region,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Apply the declarations of files as one change.
    Apply {
        /// The files and folders.
        files: Vec<PathBuf>,
        /// Whether to withdraw the resources that the files don't declare.
        prune: bool,
        /// Whether to show only what would change.
        dry_run: bool,
    },
    /// Compare the declarations of files with the declared resources.
    Diff {
        /// The files and folders.
        files: Vec<PathBuf>,
    },
    /// Show resources.
    Get {
        /// The kind; all kinds when absent.
        kind: Option<String>,
        /// The name; all resources of the kind when absent.
        name: Option<String>,
    },
    /// Print changes until the timeout, or wait until everything is in force.
    Watch {
        /// Whether to end once everything is in force.
        until_in_force: bool,
    },
    /// Start a drain.
    Drain {
        /// The type of the target.
        kind: DrainKind,
        /// The name of the target.
        name: String,
    },
    /// End a drain.
    Undrain {
        /// The type of the target.
        kind: DrainKind,
        /// The name of the target.
        name: String,
    },
    /// Show the plan in force, or declare one.
    Plan {
        /// The TOML file with the plan to declare; the plan in force is shown when absent.
        file: Option<PathBuf>,
        /// The version that the new plan replaces; the one in force when absent.
        based_on: Option<u64>,
    },
    /// Stop gateways from sending to the upstreams of a failure domain.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
    },
    /// End an evacuation.
    EndEvacuation {
        /// The failure domain.
        domain: DomainName,
    },
    /// Show each control replica's view of the replicas.
    Replicas,
    /// Admit a control replica that is not a voter, such as one that lost its disk, and wait until
    /// it votes.
    Admit {
        /// The replica's name.
        name: String,
    },
    /// Print a process's state as JSON.
    Dump {
        /// The HTTP address of the process, as `IP:PORT`.
        address: String,
    },
    /// Show what happened to a request.
    Explain {
        /// The request's id, as in the logs.
        request: String,
        /// The files with JSON logs; `-` is the standard input.
        logs: Vec<PathBuf>,
    },
}

/// A command with the options that all commands share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// HTTP addresses of the control replicas; may be empty for `dump` and `explain`.
    pub servers: Vec<String>,
    /// The file whose first line is the operators' token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// The time from the command's start after which it gives up.
    pub timeout: Duration,
    /// The id of the change, if the operator chose one; otherwise a random one is used.
    pub request_id: Option<String>,
    /// The subcommand to run, with its own arguments.
    pub command: Command,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Args),
}

#[derive(Default)]
struct RawArgs {
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
    positional: Vec<String>,
}

/// Parses a command line without the program's name.
///
/// # Errors
///
/// [`ArgsError`] with the first fault of the line.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Parsed, ArgsError> {
    let mut parser = Parser::from_args(args);
    let mut raw = RawArgs::default();
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
            Arg::Value(word) => raw.positional.push(word.string()?),
            Arg::Short(_) | Arg::Long(_) => return Err(arg.unexpected().into()),
        }
    }
    raw.into_args().map(Parsed::Run)
}

fn split_servers(servers: &str) -> Vec<String> {
    servers
        .split(',')
        .map(str::trim)
        .filter(|server| !server.is_empty())
        .map(str::to_owned)
        .collect()
}

impl RawArgs {
    fn into_args(mut self) -> Result<Args, ArgsError> {
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
        let mut positional = std::mem::take(&mut self.positional).into_iter();
        let name = positional.next().ok_or(ArgsError::NoCommand)?;
        let mut required = |argument| positional.next().ok_or_else(|| missing(&name, argument));
        let command = match name.as_str() {
            "apply" => Command::Apply {
                files: self.take_files(&name)?,
                prune: self.prune,
                dry_run: self.dry_run,
            },
            "diff" => Command::Diff {
                files: self.take_files(&name)?,
            },
            "get" => Command::Get {
                kind: positional.next(),
                name: positional.next(),
            },
            "watch" => Command::Watch {
                until_in_force: self.until_in_force,
            },
            "drain" => Command::Drain {
                kind: parse_drain_kind(&required("TYPE")?)?,
                name: required("NAME")?,
            },
            "undrain" => Command::Undrain {
                kind: parse_drain_kind(&required("TYPE")?)?,
                name: required("NAME")?,
            },
            "plan" => Command::Plan {
                file: self.files.pop(),
                based_on: self.based_on,
            },
            "evacuate" => Command::Evacuate {
                domain: parse_domain(&required("DOMAIN")?)?,
            },
            "end-evacuation" => Command::EndEvacuation {
                domain: parse_domain(&required("DOMAIN")?)?,
            },
            "replicas" => Command::Replicas,
            "admit" => Command::Admit {
                name: required("NAME")?,
            },
            "dump" => Command::Dump {
                address: required("ADDRESS")?,
            },
            "explain" => Command::Explain {
                request: required("REQUEST")?,
                logs: match self.logs.is_empty() {
                    true => vec![PathBuf::from("-")],
                    false => std::mem::take(&mut self.logs),
                },
            },
            _ => return Err(ArgsError::UnknownCommand { command: name }),
        };
        match positional.next() {
            Some(argument) => Err(ArgsError::TooMany { argument }),
            None => Ok(command),
        }
    }

    /// The paths of `-f`, of which there must be at least one.
    fn take_files(&mut self, command: &str) -> Result<Vec<PathBuf>, ArgsError> {
        if self.files.is_empty() {
            return Err(missing(command, "-f PATH"));
        }
        Ok(std::mem::take(&mut self.files))
    }
}

fn parse_drain_kind(kind: &str) -> Result<DrainKind, ArgsError> {
    kind.replace('-', "_")
        .parse()
        .map_err(|_| ArgsError::DrainKind {
            kind: kind.to_owned(),
        })
}

fn parse_domain(name: &str) -> Result<DomainName, ArgsError> {
    Ok(DomainName::new(name)?)
}

fn missing(command: &str, argument: &'static str) -> ArgsError {
    ArgsError::Missing {
        command: command.to_owned(),
        argument,
    }
}
