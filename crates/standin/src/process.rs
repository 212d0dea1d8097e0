//! The system's processes as children, told apart by their ids.

use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};
use thiserror::Error;
use tokio::{
    process::{Child, Command},
    time::timeout,
};

/// How long a command that ends by itself may take.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a process could not be started, told or waited for.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The executable isn't there.
    #[error("{path} is missing; build the workspace's binaries first: cargo build --workspace")]
    Missing {
        /// Where it should be.
        path: PathBuf,
    },
    /// The system refused.
    #[error("{action}")]
    Io {
        /// What was tried.
        action: String,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// It has ended already.
    #[error("{name} has ended")]
    Ended {
        /// The process's name.
        name: String,
    },
    /// It did not end in time.
    #[error("{name} did not end in time")]
    NotEnded {
        /// The process's name.
        name: String,
    },
    /// A command failed.
    #[error("{command} failed with {status}: {output}")]
    Failed {
        /// The command line.
        command: String,
        /// Its exit status.
        status: ExitStatus,
        /// What it wrote.
        output: String,
    },
}

fn io_error(action: impl ToString) -> impl FnOnce(io::Error) -> ProcessError {
    move |source| ProcessError::Io {
        action: action.to_string(),
        source,
    }
}

/// The executables of a build.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Finds them beside this executable, or beside the folder of test executables.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Missing`] when one is not built.
    pub fn find() -> Result<Self, ProcessError> {
        let own = std::env::current_exe().map_err(io_error("could not find this executable"))?;
        let parent = own.parent().unwrap_or(Path::new("."));
        let folder = match parent.file_name() {
            Some(name) if name == "deps" => parent.parent().unwrap_or(parent),
            _ => parent,
        };
        let binaries = Self {
            folder: folder.to_owned(),
        };
        for path in [binaries.daemon(), binaries.ctl()] {
            if !path.is_file() {
                return Err(ProcessError::Missing { path });
            }
        }
        Ok(binaries)
    }

    /// The daemon.
    #[must_use]
    pub fn daemon(&self) -> PathBuf {
        self.folder.join("oleanderwelld")
    }

    /// The operators' command line.
    #[must_use]
    pub fn ctl(&self) -> PathBuf {
        self.folder.join("oleanderctl")
    }
}

/// A running daemon; dropping it kills it.
#[derive(Debug)]
pub struct Daemon {
    name: String,
    child: Child,
}

impl Daemon {
    /// Starts a daemon whose log goes to `log`.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be started.
    pub fn start(
        binaries: &Binaries,
        name: &str,
        settings: &Path,
        log: &Path,
    ) -> Result<Self, ProcessError> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.map_err(io_error(format!("could not open {}", log.display())))?;
        let copy = file
            .try_clone()
            .map_err(io_error("could not share the log"))?;
        let child = Command::new(binaries.daemon())
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(copy)
            .kill_on_drop(true)
            .spawn()
            .map_err(io_error(format!("could not start {name}")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let ended = || ProcessError::Ended {
            name: self.name.clone(),
        };
        let id = self.child.id().ok_or_else(ended)?;
        let pid = i32::try_from(id)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or_else(ended)?;
        kill_process(pid, signal)
            .map_err(io::Error::from)
            .map_err(io_error(format!("could not signal {}", self.name)))
    }

    /// Freezes it.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be signalled.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Wakes it.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be signalled.
    pub fn wake(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be killed.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child
            .kill()
            .await
            .map_err(io_error(format!("could not kill {}", self.name)))
    }

    /// Asks it to stop and waits for its end.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it doesn't end within `wait_timeout`; it is killed then.
    pub async fn stop(mut self, wait_timeout: Duration) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::TERM)?;
        match timeout(wait_timeout, self.child.wait()).await {
            Ok(status) => status.map_err(io_error(format!("could not wait for {}", self.name))),
            Err(_) => Err(ProcessError::NotEnded {
                name: self.name.clone(),
            }),
        }
    }
}

/// Runs a command to its end and returns what it wrote.
///
/// # Errors
///
/// [`ProcessError`] when it fails or takes too long; it is killed then.
pub async fn run_command(program: &Path, arguments: &[&str]) -> Result<String, ProcessError> {
    let name = program
        .file_name()
        .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    let command = format!("{name} {}", arguments.join(" "));
    let output = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = timeout(COMMAND_TIMEOUT, output)
        .await
        .map_err(|_| ProcessError::NotEnded {
            name: command.clone(),
        })?
        .map_err(io_error(format!("could not run {command}")))?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if !output.status.success() {
        return Err(ProcessError::Failed {
            command,
            status: output.status,
            output: text(&output.stderr) + &text(&output.stdout),
        });
    }
    Ok(text(&output.stdout))
}
