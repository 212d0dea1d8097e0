//! A deployment of real daemons on loopback addresses: an entry for each VM and control replicas on
//! some of them, with settings, logs and data in a temporary folder.

mod control;
mod network;
mod settings;
mod wirecraft;

pub use crate::deployment::{
    network::{
        CONTROL_VMS, ENTRY_VMS, Network, NetworkTaken, Reservation, control_name, entry_name,
    },
    wirecraft::{WIRECRAFT, Workload, all_loads, all_upstreams},
};

use crate::{
    condition::WaitTimedOut,
    http::HttpError,
    process::{Binaries, Daemon, ProcessError, run_command},
};
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};
use tempfile::TempDir;
use thiserror::Error;
use tokio::task::JoinSet;

/// Why an operation on a deployment failed.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// A process could not be started or signalled, or a command failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file or folder could not be written or read.
    #[error("could not read or write {path}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// A condition was not met in time.
    #[error(transparent)]
    WaitTimedOut(#[from] WaitTimedOut),
    /// A request to a control replica failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The process was not started, or was stopped or killed.
    #[error("{name} is not running")]
    NotRunning {
        /// The name of the process.
        name: String,
    },
}

/// The daemons of a deployment. Dropping it kills them and removes their folder, which is kept
/// during a panic.
#[derive(Debug)]
pub struct Deployment {
    network: Reservation,
    binaries: Binaries,
    daemons: BTreeMap<String, Daemon>,
    folder: TempDir,
}

impl Deployment {
    /// Writes settings and the key into a new temporary folder, and creates the initial state of
    /// each control replica. It starts no daemon.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when files can't be written or `oleanderwelld --found` fails.
    pub async fn new(binaries: Binaries, network: Reservation) -> Result<Self, DeploymentError> {
        let folder =
            TempDir::with_prefix("oleanderwell-").map_err(|source| DeploymentError::File {
                path: std::env::temp_dir(),
                source,
            })?;
        let deployment = Self {
            network,
            binaries,
            daemons: BTreeMap::new(),
            folder,
        };
        deployment.write_files()?;
        for vm in CONTROL_VMS {
            deployment.bootstrap(vm).await?;
        }
        Ok(deployment)
    }

    /// The addresses of the deployment's processes.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.network.network()
    }

    /// The folder with settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder when the deployment is dropped, and returns its path.
    pub fn keep_files(&mut self) -> &Path {
        self.folder.disable_cleanup(true);
        self.folder()
    }

    fn write_files(&self) -> Result<(), DeploymentError> {
        let key = self.folder().join("key");
        write(&key, settings::KEY)?;
        for vm in ENTRY_VMS {
            let text = settings::entry(self.network(), vm, &key);
            write(&self.settings_path(&entry_name(vm)), &text)?;
        }
        for vm in CONTROL_VMS {
            let data = self.data_folder(vm);
            fs::create_dir(&data).map_err(file_error(&data))?;
            let text = settings::control(self.network(), vm, &key, &data);
            write(&self.settings_path(&control_name(vm)), &text)?;
        }
        Ok(())
    }

    async fn bootstrap(&self, vm: u8) -> Result<(), DeploymentError> {
        let settings = self.settings_path(&control_name(vm));
        let settings = settings.to_string_lossy();
        let arguments = ["--settings", &*settings, "--found"];
        run_command(&self.binaries.daemon(), &arguments).await?;
        Ok(())
    }

    /// The path of a process's settings file.
    #[must_use]
    pub fn settings_path(&self, name: &str) -> PathBuf {
        self.folder().join(format!("{name}.ini"))
    }

    /// The path of the data folder of the control replica on a VM.
    #[must_use]
    pub fn data_folder(&self, vm: u8) -> PathBuf {
        self.folder().join(format!("data-{vm}"))
    }

    /// Empties the data folder of the control replica on a VM, as if it had lost its disk.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::File`] when it can't be emptied.
    pub fn clear_data(&self, vm: u8) -> Result<(), DeploymentError> {
        let data = self.data_folder(vm);
        fs::remove_dir_all(&data).map_err(file_error(&data))?;
        fs::create_dir(&data).map_err(file_error(&data))
    }

    /// Starts all control replicas and then all entries, without waiting until they are ready.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Process`] when one can't be started.
    pub fn start_all(&mut self) -> Result<(), DeploymentError> {
        for vm in CONTROL_VMS {
            self.start(&control_name(vm))?;
        }
        for vm in ENTRY_VMS {
            self.start(&entry_name(vm))?;
        }
        Ok(())
    }

    /// Starts a process, also again after it was stopped or killed.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Process`] when it can't be started.
    pub fn start(&mut self, name: &str) -> Result<(), DeploymentError> {
        let log = self.folder().join(format!("{name}.log"));
        let daemon = Daemon::start(&self.binaries, name, &self.settings_path(name), &log)?;
        self.daemons.insert(name.to_owned(), daemon);
        Ok(())
    }

    /// The process of this name.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::NotRunning`] when it was not started, or was stopped or killed.
    pub fn daemon(&self, name: &str) -> Result<&Daemon, DeploymentError> {
        self.daemons.get(name).ok_or_else(|| not_running(name))
    }

    fn remove(&mut self, name: &str) -> Result<Daemon, DeploymentError> {
        self.daemons.remove(name).ok_or_else(|| not_running(name))
    }

    /// Kills a process with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when it isn't running or can't be killed.
    pub async fn kill(&mut self, name: &str) -> Result<(), DeploymentError> {
        Ok(self.remove(name)?.kill().await?)
    }

    /// Stops a process with SIGTERM and returns whether it exited with code 0.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when it isn't running or doesn't exit within `wait_timeout`.
    pub async fn stop(
        &mut self,
        name: &str,
        wait_timeout: Duration,
    ) -> Result<bool, DeploymentError> {
        let status = self.remove(name)?.stop(wait_timeout).await?;
        Ok(status.success())
    }

    /// Stops those of the named processes that run, all at once. Returns the names of those that
    /// did not exit with code 0.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when one doesn't exit within `wait_timeout`.
    pub async fn stop_each(
        &mut self,
        names: &[String],
        wait_timeout: Duration,
    ) -> Result<Vec<String>, DeploymentError> {
        let mut stopping = JoinSet::new();
        for name in names {
            if let Some(daemon) = self.daemons.remove(name) {
                let name = name.clone();
                stopping.spawn(async move { (name, daemon.stop(wait_timeout).await) });
            }
        }
        let mut failed = Vec::new();
        while let Some(Ok((name, status))) = stopping.join_next().await {
            if !status?.success() {
                failed.push(name);
            }
        }
        Ok(failed)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("files kept in {}", self.keep_files().display());
        }
    }
}

fn not_running(name: &str) -> DeploymentError {
    DeploymentError::NotRunning {
        name: name.to_owned(),
    }
}

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> DeploymentError {
    let path = path.to_owned();
    move |source| DeploymentError::File { path, source }
}

fn write(path: &Path, text: &str) -> Result<(), DeploymentError> {
    fs::write(path, text).map_err(file_error(path))
}
