//! The daemons and the operators' command as child processes. Signals go to a child by its process
//! id, never by name.

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

/// The timeout of a command that exits by itself.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a process could not be started, signalled or waited for.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The executable does not exist.
    #[error("{path} is missing; build the workspace's binaries first: cargo build --workspace")]
    Missing {
        /// The expected path.
        path: PathBuf,
    },
    /// A call to the operating system failed.
    #[error("{action}")]
    Io {
        /// What failed, such as "could not start entry-1".
        action: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The process can't be signalled, as it has exited already.
    #[error("{name} has exited already")]
    Ended {
        /// The process's name.
        name: String,
    },
    /// The process did not exit in time and is killed.
    #[error("{name} did not exit in time")]
    NotEnded {
        /// The process's name, or its command line.
        name: String,
    },
    /// A command exited with another code than 0.
    #[error("{command} failed with {status}: {output}")]
    Failed {
        /// The command line.
        command: String,
        /// Its exit status.
        status: ExitStatus,
        /// Its standard error, then its standard output.
        output: String,
    },
}

fn io_error(action: impl ToString) -> impl FnOnce(io::Error) -> ProcessError {
    move |source| ProcessError::Io {
        action: action.to_string(),
        source,
    }
}

/// The folder with the workspace's executables.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Finds the executables in this executable's folder, or in the parent of `deps` if this is a
    /// test or benchmark.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Missing`] when one has not been built.
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

    /// The path of the daemon.
    #[must_use]
    pub fn daemon(&self) -> PathBuf {
        self.folder.join("oleanderwelld")
    }

    /// The path of the operators' command.
    #[must_use]
    pub fn ctl(&self) -> PathBuf {
        self.folder.join("oleanderctl")
    }
}

/// A running daemon. Dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    name: String,
    child: Child,
}

impl Daemon {
    /// Starts a daemon that reads the file `settings`. Its output is appended to the file `log`.
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
            .map_err(io_error("could not duplicate the log's file descriptor"))?;
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

    /// The name that was given at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id; `None` once the exit status was read.
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

    /// Pauses the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be signalled.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it can't be signalled.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] if it can't be killed.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child
            .kill()
            .await
            .map_err(io_error(format!("could not kill {}", self.name)))
    }

    /// Stops the process with SIGTERM and waits until it has exited.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when it doesn't exit within `wait_timeout`; it is killed then.
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

/// Runs a command until it exits and returns its standard output.
///
/// # Errors
///
/// [`ProcessError`] when it exits with another code than 0, or takes longer than 20 s. It is killed
/// then.
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
