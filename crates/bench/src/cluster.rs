//! Starts real daemons on loopback addresses: three control replicas and a chosen number of
//! entries.

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    clock::Clock,
    condition::{Pending, wait_for_answer, wait_until},
    deployment::{Network, Reservation, control_name, entry_name},
    http::Connection,
    process::{Binaries, Daemon, run_command},
    upstream::{Upstream, UpstreamSpec},
};
use std::{fmt::Write, fs, path::PathBuf, time::Duration};
use tempfile::TempDir;
use thiserror::Error;

/// Time after which each wait of a bench fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Host numbers of the control replicas in the cluster's network; entries have 1 and up.
const CONTROL_HOSTS: [u8; 3] = [201, 202, 203];

const LINK_KEY: &str = "a key for benches on loopback only, 64 bytes long or a little more";

/// Size of the body of a stand-in upstream's answer.
pub const ANSWER_BYTES: usize = 1_024;

/// Other processes hold every network of loopback addresses that a cluster could use.
#[derive(Clone, Copy, Debug, Error)]
#[error("no network of loopback addresses is free")]
pub struct NoNetwork;

/// A cluster of running daemons, which are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    reservation: Reservation,
    folder: TempDir,
    daemons: Vec<Daemon>,
    entries: u8,
    upstreams: Vec<Upstream>,
}

impl Cluster {
    /// Starts the daemons and waits until every entry accepts requests.
    ///
    /// `client_blocks` is the text of the entries' file of client blocks.
    ///
    /// # Errors
    ///
    /// When a process can't be started or isn't ready within [`WAIT_TIMEOUT`].
    pub async fn start(entries: u8, client_blocks: Option<&str>) -> anyhow::Result<Self> {
        let mut cluster = Self {
            reservation: Reservation::any().ok_or(NoNetwork)?,
            folder: TempDir::with_prefix("oleanderwell-bench-")?,
            daemons: Vec::new(),
            entries,
            upstreams: Vec::new(),
        };
        cluster.start_daemons(client_blocks).await?;
        cluster.declare_resources().await?;
        for vm in 1..=entries {
            let address = cluster.network().entry(vm);
            wait_for_answer(address, "/ready", WAIT_TIMEOUT, |status, _| {
                status.is_success()
            })
            .await?;
        }
        Ok(cluster)
    }

    /// The addresses of the daemons and upstreams.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.reservation.network()
    }

    /// Process id of the first entry; `None` when it is not running.
    #[must_use]
    pub fn entry_process_id(&self) -> Option<u32> {
        self.daemons.get(CONTROL_HOSTS.len()).and_then(Daemon::id)
    }

    /// Process ids of the control replicas that are running.
    #[must_use]
    pub fn control_process_ids(&self) -> Vec<u32> {
        let controls = self.daemons.iter().take(CONTROL_HOSTS.len());
        controls.filter_map(Daemon::id).collect()
    }

    /// Starts a stand-in upstream that announces itself to the first entry, and waits until that
    /// entry sends it a request.
    ///
    /// # Errors
    ///
    /// When it can't be started or gets no request within [`WAIT_TIMEOUT`].
    pub async fn start_upstream(&mut self, slots: u32) -> anyhow::Result<()> {
        let spec = UpstreamSpec {
            name: "browse-1".parse()?,
            service: "browse".parse()?,
            address: self.network().upstream(1),
            region: "region-0".parse()?,
            failure_domain: "region-0-a".parse()?,
            slots,
            connections: slots,
            service_time: Duration::ZERO,
            answer_bytes: ANSWER_BYTES,
        };
        let entry = self.network().entry(1);
        self.upstreams
            .push(Upstream::start(spec, &[entry], Clock::new()).await?);
        let path = "/s/browse/run?request=0&attempt=1";
        wait_for_answer(entry, path, WAIT_TIMEOUT, |status, _| status.is_success()).await?;
        Ok(())
    }

    async fn start_daemons(&mut self, client_blocks: Option<&str>) -> anyhow::Result<()> {
        let binaries = Binaries::find()?;
        let path = |name: &str| self.folder.path().join(name);
        fs::write(path("key"), LINK_KEY)?;
        if let Some(blocks) = client_blocks {
            fs::write(path("blocks"), blocks)?;
        }
        let controls = CONTROL_HOSTS.map(|vm| (control_name(vm), self.control_settings(vm)));
        let blocks = client_blocks.map(|_| path("blocks"));
        let entries =
            (1..=self.entries).map(|vm| (entry_name(vm), self.entry_settings(vm, blocks.as_ref())));
        let all: Vec<(String, String)> = controls.into_iter().chain(entries).collect();
        for (number, (name, text)) in all.iter().enumerate() {
            let settings = path(&format!("{name}.ini"));
            fs::write(&settings, text)?;
            if number < CONTROL_HOSTS.len() {
                fs::create_dir(path(&format!("data-{name}")))?;
                let file = settings.to_string_lossy();
                run_command(&binaries.daemon(), &["--settings", &*file, "--found"]).await?;
            }
            let log = path(&format!("{name}.log"));
            self.daemons
                .push(Daemon::start(&binaries, name, &settings, &log)?);
        }
        Ok(())
    }

    fn entry_settings(&self, vm: u8, blocks: Option<&PathBuf>) -> String {
        let mut text = self.node_settings(&entry_name(vm), "entry");
        let (listen, peer) = (self.network().entry(vm), self.network().entry_peer(vm));
        let _ = writeln!(text, "[entry]\nlisten = {listen}\npeer_listen = {peer}");
        if let Some(blocks) = blocks {
            let _ = writeln!(text, "client_blocks_file = {}", blocks.display());
        }
        text + &self.replica_settings()
    }

    fn control_settings(&self, vm: u8) -> String {
        let mut text = self.node_settings(&control_name(vm), "control");
        let (listen, peer) = (self.network().control(vm), self.network().control_peer(vm));
        let data = self
            .folder
            .path()
            .join(format!("data-{}", control_name(vm)));
        let _ = writeln!(text, "[control]\nlisten = {listen}\npeer_listen = {peer}");
        let _ = writeln!(text, "data = {}", data.display());
        text + &self.replica_settings()
    }

    fn node_settings(&self, name: &str, role: &str) -> String {
        let key = self.folder.path().join("key");
        format!(
            "[node]\nname = {name}\nrole = {role}\nregion = region-0\n\
             failure_domain = region-0-a\n[deployment]\nname = bench\n\
             failure_domains = region-0-a\nkey_file = {}\n",
            key.display()
        )
    }

    fn replica_settings(&self) -> String {
        let network = self.network();
        CONTROL_HOSTS
            .iter()
            .fold("[replicas]\n".to_owned(), |text, vm| {
                let (peer, http) = (network.control_peer(*vm), network.control(*vm));
                text + &format!("{} = {peer} {http}\n", control_name(*vm))
            })
    }

    async fn declare_resources(&self) -> anyhow::Result<()> {
        let mut changes = vec![
            json!({"kind": "region", "name": "region-0", "spec":
                {"capacity_slots": 100_000, "failure_domains": ["region-0-a"]}}),
            json!({"kind": "service", "name": "browse", "spec":
                {"regions": ["region-0"], "idempotent": true, "priority": "browse",
                 "deadline_ms": 2_000, "answer_bytes": ANSWER_BYTES}}),
        ];
        changes.extend((1..=self.entries).map(|vm| {
            json!({"kind": "entry", "name": entry_name(vm), "spec":
                {"region": "region-0", "failure_domain": "region-0-a",
                 "address": self.network().entry(vm),
                 "peer_address": self.network().entry_peer(vm)}})
        }));
        let body = json!({"request_id": "bench", "changes": changes});
        wait_until("an accepted declaration", WAIT_TIMEOUT, || {
            self.apply(&body)
        })
        .await?;
        Ok(())
    }

    async fn apply(&self, body: &Value) -> Result<(), Pending> {
        let mut last_error = Pending::new("no control replica answers");
        for vm in CONTROL_HOSTS {
            let mut connection = Connection::new(self.network().control(vm));
            match connection
                .json(Method::POST, "/v1/apply", Some(body), WAIT_TIMEOUT)
                .await
            {
                Ok((StatusCode::OK, _)) => return Ok(()),
                Ok((status, body)) => last_error = Pending::new(format!("{status} {body}")),
                Err(error) => last_error = error.into(),
            }
        }
        Err(last_error)
    }
}
