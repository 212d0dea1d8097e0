//! A deployment of real processes on loopback addresses, one for each VM.

mod settings;
mod wirecraft;

pub use crate::deployment::wirecraft::{WIRECRAFT, Workload, all_loads, all_upstreams};

use crate::{
    condition::{NotInTime, Pending, wait_until},
    http::{Connection, HttpError},
    process::{Binaries, Daemon, ProcessError, run_command},
};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};
use tempfile::TempDir;
use thiserror::Error;

/// VMs that run an entry.
pub const ENTRY_VMS: [u8; 7] = [1, 2, 3, 4, 5, 6, 7];
/// VMs with a disk, which run a control replica.
pub const CONTROL_VMS: [u8; 3] = [1, 3, 5];

/// The port of an entry for callers and upstreams.
const ENTRY_PORT: u16 = 8080;
/// The port of an entry for the system's own processes.
const ENTRY_PEER_PORT: u16 = 7080;
/// The port of a control replica for operators.
const CONTROL_PORT: u16 = 8090;
/// The port of a control replica for the system's own processes.
const CONTROL_PEER_PORT: u16 = 7090;
/// The port of an upstream.
const UPSTREAM_PORT: u16 = 9000;

/// How long a request to a control replica may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a deployment could not do what it was told.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// A process could not be started or told.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file could not be written or read.
    #[error("could not use {path}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A condition did not come true.
    #[error(transparent)]
    NotInTime(#[from] NotInTime),
    /// A control replica did not answer.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// No such process runs.
    #[error("{name} does not run")]
    NotRunning {
        /// Its name.
        name: String,
    },
}

/// The addresses of a deployment: VM N has 127.A.B.N, and upstreams have 127.A.(B+1).N.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// The network of 127.`second`.`third`.0 and the one after it.
    #[must_use]
    pub const fn new(second: u8, third: u8) -> Self {
        Self { second, third }
    }

    const fn address(self, offset: u8, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third + offset, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// An entry's address for callers and upstreams.
    #[must_use]
    pub const fn entry(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PORT)
    }

    /// An entry's address for the system's own processes.
    #[must_use]
    pub const fn entry_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PEER_PORT)
    }

    /// A control replica's address for operators.
    #[must_use]
    pub const fn control(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PORT)
    }

    /// A control replica's address for the system's own processes.
    #[must_use]
    pub const fn control_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PEER_PORT)
    }

    /// An upstream's address.
    #[must_use]
    pub const fn upstream(self, host: u8) -> SocketAddr {
        self.address(1, host, UPSTREAM_PORT)
    }

    /// The addresses of all entries for callers and upstreams.
    #[must_use]
    pub fn entries(self) -> Vec<SocketAddr> {
        ENTRY_VMS.iter().map(|vm| self.entry(*vm)).collect()
    }

    /// The addresses of all control replicas for operators.
    #[must_use]
    pub fn controls(self) -> Vec<SocketAddr> {
        CONTROL_VMS.iter().map(|vm| self.control(*vm)).collect()
    }

    /// Text with the examples' addresses replaced by this network's.
    #[must_use]
    pub fn translate(self, example: &str) -> String {
        let own = format!("127.{}.{}.", self.second, self.third);
        example.replace("127.0.1.", &own)
    }
}

/// The name of the entry on a VM.
#[must_use]
pub fn entry_name(vm: u8) -> String {
    format!("entry-{vm}")
}

/// The name of the control replica on a VM.
#[must_use]
pub fn control_name(vm: u8) -> String {
    format!("control-{vm}")
}

/// The real processes of a deployment; dropping it kills them and removes their files.
#[derive(Debug)]
pub struct Deployment {
    network: Network,
    binaries: Binaries,
    daemons: BTreeMap<String, Daemon>,
    folder: TempDir,
}

impl Deployment {
    /// Writes settings and keys into a folder of its own and founds the control replicas.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when files can't be written or founding fails.
    pub async fn new(binaries: Binaries, network: Network) -> Result<Self, DeploymentError> {
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
            deployment.found(vm).await?;
        }
        Ok(deployment)
    }

    /// Its addresses.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.network
    }

    /// The folder with its settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn write_files(&self) -> Result<(), DeploymentError> {
        let key = self.folder().join("key");
        write(&key, settings::KEY)?;
        for vm in ENTRY_VMS {
            let text = settings::entry(self.network, vm, &key);
            write(&self.settings(&entry_name(vm)), &text)?;
        }
        for vm in CONTROL_VMS {
            let data = self.data(vm);
            fs::create_dir(&data).map_err(file_error(&data))?;
            let text = settings::control(self.network, vm, &key, &data);
            write(&self.settings(&control_name(vm)), &text)?;
        }
        Ok(())
    }

    async fn found(&self, vm: u8) -> Result<(), DeploymentError> {
        let settings = self.settings(&control_name(vm));
        let settings = settings.to_string_lossy();
        let arguments = ["--settings", &*settings, "--found"];
        run_command(&self.binaries.daemon(), &arguments).await?;
        Ok(())
    }

    /// The settings file of a process.
    #[must_use]
    pub fn settings(&self, name: &str) -> PathBuf {
        self.folder().join(format!("{name}.ini"))
    }

    /// The data folder of the control replica on a VM.
    #[must_use]
    pub fn data(&self, vm: u8) -> PathBuf {
        self.folder().join(format!("data-{vm}"))
    }

    /// Empties the data folder of the control replica on a VM.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::File`] when it can't be emptied.
    pub fn empty_data(&self, vm: u8) -> Result<(), DeploymentError> {
        let data = self.data(vm);
        fs::remove_dir_all(&data).map_err(file_error(&data))?;
        fs::create_dir(&data).map_err(file_error(&data))
    }

    /// Starts every process.
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

    /// Starts a process, or starts it again.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Process`] when it can't be started.
    pub fn start(&mut self, name: &str) -> Result<(), DeploymentError> {
        let log = self.folder().join(format!("{name}.log"));
        let daemon = Daemon::start(&self.binaries, name, &self.settings(name), &log)?;
        self.daemons.insert(name.to_owned(), daemon);
        Ok(())
    }

    /// A running process.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::NotRunning`] when it doesn't run.
    pub fn daemon(&self, name: &str) -> Result<&Daemon, DeploymentError> {
        self.daemons.get(name).ok_or_else(|| not_running(name))
    }

    fn take(&mut self, name: &str) -> Result<Daemon, DeploymentError> {
        self.daemons.remove(name).ok_or_else(|| not_running(name))
    }

    /// Kills a process.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when it doesn't run or can't be killed.
    pub async fn kill(&mut self, name: &str) -> Result<(), DeploymentError> {
        Ok(self.take(name)?.kill().await?)
    }

    /// Stops a process and returns whether it ended with exit code 0.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when it doesn't run or doesn't end within `bound`.
    pub async fn stop(&mut self, name: &str, bound: Duration) -> Result<bool, DeploymentError> {
        let status = self.take(name)?.stop(bound).await?;
        Ok(status.success())
    }

    /// The VM of the control replica that leads.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::NotInTime`] when none does within `bound`.
    pub async fn leader(&self, bound: Duration) -> Result<u8, DeploymentError> {
        let leader = wait_until("a leading control replica", bound, || async {
            let mut seen = Pending::new("no replica answers as leader");
            for vm in CONTROL_VMS {
                match leads(self.network.control(vm)).await {
                    Ok(()) => return Ok(vm),
                    Err(pending) => seen = pending,
                }
            }
            Err(seen)
        })
        .await?;
        Ok(leader)
    }

    /// Waits until every declared resource is in force, and returns how many there are.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::NotInTime`] when one isn't within `bound`.
    pub async fn in_force(&self, bound: Duration) -> Result<usize, DeploymentError> {
        let count = wait_until("every resource in force", bound, || async {
            let list = self.read("/v1/resources").await?;
            let items = list["items"].as_array().map_or(&[][..], Vec::as_slice);
            match items
                .iter()
                .find(|item| item["status"]["state"] != "in_force")
            {
                Some(item) => Err(Pending::new(item)),
                None if items.is_empty() => Err(Pending::new("no resources")),
                None => Ok(items.len()),
            }
        })
        .await?;
        Ok(count)
    }

    /// Reads a path from the first control replica that answers it.
    ///
    /// # Errors
    ///
    /// [`Pending`] with what the last replica answered.
    pub async fn read(&self, path: &str) -> Result<Value, Pending> {
        let mut seen = Pending::new("no control replica answers");
        for address in self.network.controls() {
            let answer = Connection::new(address)
                .json::<()>(Method::GET, path, None, CONTROL_TIMEOUT)
                .await;
            match answer {
                Ok((StatusCode::OK, body)) => return Ok(body),
                Ok((status, body)) => seen = Pending::new(format!("{status} {body}")),
                Err(error) => seen = error.into(),
            }
        }
        Err(seen)
    }

    /// Runs the operators' command line against every control replica.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Process`] when it fails.
    pub async fn ctl(&self, arguments: &[&str]) -> Result<String, DeploymentError> {
        let controls: Vec<String> = self
            .network
            .controls()
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let servers = controls.join(",");
        let mut all = vec!["--control", &*servers];
        all.extend_from_slice(arguments);
        Ok(run_command(&self.binaries.ctl(), &all).await?)
    }
}

async fn leads(control: SocketAddr) -> Result<(), Pending> {
    let nothing = json!({"request_id": "leader", "prune": false, "dry_run": true, "changes": []});
    let (status, body) = Connection::new(control)
        .json(Method::POST, "/v1/apply", Some(&nothing), CONTROL_TIMEOUT)
        .await?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(Pending::new(format!("{status} {body}")))
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
