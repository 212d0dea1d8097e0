//! A deployment of real daemons together with stand-in upstreams. It starts callers, injects
//! failures, records them, and checks the invariants at the end.

use crate::{
    caller::{Callers, NoProgress},
    checker::{Departure, Failure, History, Verdict, check},
    clock::Clock,
    condition::{Pending, wait_until},
    deployment::{
        CONTROL_VMS, Deployment, DeploymentError, ENTRY_VMS, NetworkTaken, Workload, all_loads,
        all_upstreams, control_name, entry_name,
    },
    process::ProcessError,
    record::{Request, Run},
    upstream::Upstream,
};
use std::{io, path::Path, time::Duration};
use thiserror::Error;
use tokio::time::timeout;
use types::{EntryName, InvalidName, UpstreamName};

/// The timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout of a daemon's graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its announcement that it leaves an upstream may still get new requests.
const LEAVING_GRACE_MS: u64 = 2_000;
/// How long after that grace period requests still flow, so that a late run would be recorded.
const DEPARTURE_WATCH_MS: u64 = 500;

/// Why an operation on a testbed failed.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// An operation on the deployment failed.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A process could not be started or the executables were not found.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The deployment's addresses could not be reserved.
    #[error(transparent)]
    NetworkTaken(#[from] NetworkTaken),
    /// Too few requests finished in time.
    #[error(transparent)]
    NoProgress(#[from] NoProgress),
    /// An upstream could not bind its address.
    #[error("could not start an upstream")]
    Upstream(#[from] io::Error),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A leaving upstream did not finish its requests.
    #[error("leaving upstream {name} did not finish its requests in time")]
    NotIdle {
        /// The upstream's name.
        name: UpstreamName,
    },
    /// There is no such stand-in upstream, or its tasks have ended.
    #[error("no upstream is named {name}")]
    NoUpstream {
        /// The name that was asked for.
        name: String,
    },
}

/// A deployment with its upstreams, and what happened to them. Dropping it ends both.
#[derive(Debug)]
pub struct Testbed {
    /// The daemon processes, with their addresses and their temporary folder.
    pub deployment: Deployment,
    /// The stand-in upstreams.
    pub upstreams: Vec<Upstream>,
    /// The processes that were killed or paused so far.
    pub failures: Vec<Failure>,
    /// The upstreams that were drained or left so far.
    pub departures: Vec<Departure>,
    /// The clock of all records.
    pub clock: Clock,
}

impl Testbed {
    /// Starts every daemon and upstream, applies the declarations, and waits until they are in
    /// force and every entry is ready.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if a step fails.
    pub async fn start(
        mut deployment: Deployment,
        declarations: &Path,
        workloads: &[Workload],
    ) -> Result<Self, TestbedError> {
        deployment.start_all()?;
        let clock = Clock::new();
        let network = deployment.network();
        let mut upstreams = Vec::new();
        for spec in all_upstreams(workloads, network)? {
            upstreams.push(Upstream::start(spec, &network.entries(), clock).await?);
        }
        deployment.wait_for_leader(WAIT_TIMEOUT).await?;
        deployment.apply(declarations).await?;
        deployment.wait_until_in_force(WAIT_TIMEOUT).await?;
        for address in network.entries() {
            deployment.wait_until_ready(address, WAIT_TIMEOUT).await?;
        }
        Ok(Self {
            deployment,
            upstreams,
            failures: Vec::new(),
            departures: Vec::new(),
            clock,
        })
    }

    /// Starts the callers of these workloads. They look up at any entry.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Name`] when a service's name is invalid.
    pub fn callers(&self, workloads: &[Workload]) -> Result<Callers, TestbedError> {
        let loads = all_loads(workloads)?;
        let entries = self.deployment.network().entries();
        Ok(Callers::start(&loads, &entries, self.clock))
    }

    /// Drains an upstream with a declaration and waits until every resource is in force. No run may
    /// start at it afterwards.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the declaration is rejected or not in force in time.
    pub async fn drain(&mut self, name: &str) -> Result<(), TestbedError> {
        self.deployment
            .run_ctl(&["drain", "upstream", name])
            .await?;
        self.deployment.wait_until_in_force(WAIT_TIMEOUT).await?;
        self.departures.push(Departure {
            upstream: UpstreamName::new(name)?,
            latest_start_us: self.clock.now_us(),
        });
        Ok(())
    }

    /// Makes an upstream announce that it leaves, and waits until it runs no request. No run may
    /// start at it later than 2 s after the announcement.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when its requests don't finish in time.
    pub async fn leave(&mut self, name: &str) -> Result<(), TestbedError> {
        let found = self
            .upstreams
            .iter()
            .find(|upstream| upstream.spec().name.as_str() == name);
        let missing = || TestbedError::NoUpstream {
            name: name.to_owned(),
        };
        let upstream = found.ok_or_else(missing)?;
        let left_us = upstream.leave().await.ok_or_else(missing)?;
        let name = upstream.spec().name.clone();
        if timeout(WAIT_TIMEOUT, upstream.wait_until_idle())
            .await
            .is_err()
        {
            return Err(TestbedError::NotIdle { name });
        }
        self.departures.push(Departure {
            upstream: name,
            latest_start_us: left_us.after_ms(LEAVING_GRACE_MS),
        });
        Ok(())
    }

    /// Waits until 500 ms after the latest time at which a departed upstream may start a run, so
    /// that a run which breaks the invariant would be recorded.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Deployment`] when that time is not reached within `wait_timeout`.
    pub async fn wait_past_departures(&self, wait_timeout: Duration) -> Result<(), TestbedError> {
        let latest_start_us = self
            .departures
            .iter()
            .map(|left| left.latest_start_us)
            .max();
        let last_us = latest_start_us
            .unwrap_or_default()
            .after_ms(DEPARTURE_WATCH_MS);
        let clock = self.clock;
        wait_until(
            "the grace period of leaving upstreams to end",
            wait_timeout,
            || async move {
                match clock.now_us() {
                    now_us if last_us.reached(now_us) => Ok(()),
                    now_us => Err(Pending::new(last_us.since_us(now_us))),
                }
            },
        )
        .await
        .map_err(DeploymentError::from)?;
        Ok(())
    }

    /// Records a failure of the entry on a VM and kills it.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] if it can't be killed.
    pub async fn kill_entry(&mut self, vm: u8) -> Result<(), TestbedError> {
        let name = entry_name(vm);
        self.failures.push(Failure::Entry {
            name: EntryName::new(&name)?,
            at_us: self.clock.now_us(),
        });
        self.deployment.kill(&name).await?;
        Ok(())
    }

    /// Kills the leading control replica and returns its VM.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when none leads or it can't be killed.
    pub async fn kill_leader(&mut self) -> Result<u8, TestbedError> {
        let vm = self.deployment.wait_for_leader(WAIT_TIMEOUT).await?;
        self.deployment.kill(&control_name(vm)).await?;
        Ok(vm)
    }

    /// Checks the callers' records, together with the runs, failures and departures so far.
    pub async fn check_invariants(&self, requests: &[Request]) -> Verdict {
        let mut runs: Vec<Run> = Vec::new();
        for upstream in &self.upstreams {
            runs.extend(upstream.runs().await);
        }
        check(&History {
            requests,
            runs: &runs,
            failures: &self.failures,
            departures: &self.departures,
        })
    }

    /// Stops the daemons that still run, entries before control replicas. Returns the names of
    /// those that did not exit with code 0.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a daemon does not exit in time.
    pub async fn stop_all(&mut self) -> Result<Vec<String>, TestbedError> {
        let entries = ENTRY_VMS.map(entry_name);
        let controls = CONTROL_VMS.map(control_name);
        let mut failed = self.deployment.stop_each(&entries, STOP_TIMEOUT).await?;
        failed.extend(self.deployment.stop_each(&controls, STOP_TIMEOUT).await?);
        Ok(failed)
    }
}
