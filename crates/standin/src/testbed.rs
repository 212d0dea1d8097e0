//! A deployment with stand-in upstreams, and a record of what was done to them.

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

/// The bound of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The bound of a daemon's graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its announcement a leaving upstream may still get new work.
const LEAVING_GRACE_MS: u64 = 2_000;
/// How long work of leaving upstreams is watched for after their grace.
const DEPARTURE_WATCH_MS: u64 = 500;

/// Why a step could not be carried through.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A process of the deployment failed.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Its addresses are in use.
    #[error(transparent)]
    NetworkTaken(#[from] NetworkTaken),
    /// Requests did not finish.
    #[error(transparent)]
    NoProgress(#[from] NoProgress),
    /// An upstream could not bind its address.
    #[error("could not start an upstream")]
    Upstream(#[from] io::Error),
    /// A name breaks the rules.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A leaving upstream did not empty.
    #[error("{name} did not empty in time")]
    NotIdle {
        /// The upstream.
        name: UpstreamName,
    },
    /// No such stand-in upstream.
    #[error("no upstream is named {name}")]
    NoUpstream {
        /// The name.
        name: String,
    },
}

/// A deployment with its upstreams and what was done to them; dropping it ends both.
#[derive(Debug)]
pub struct Testbed {
    /// The real processes.
    pub deployment: Deployment,
    /// The stand-in upstreams.
    pub upstreams: Vec<Upstream>,
    /// What was killed or frozen.
    pub failures: Vec<Failure>,
    /// What left.
    pub departures: Vec<Departure>,
    /// The clock of every record.
    pub clock: Clock,
}

impl Testbed {
    /// Starts every process and upstream and waits until the declarations are in force.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a step fails.
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

    /// Starts callers of these workloads.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Name`] when a service's name breaks the rules.
    pub fn callers(&self, workloads: &[Workload]) -> Result<Callers, TestbedError> {
        let loads = all_loads(workloads)?;
        let entries = self.deployment.network().entries();
        Ok(Callers::start(&loads, &entries, self.clock))
    }

    /// Drains an upstream by a declaration and waits until that is in force.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it isn't in force in time.
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

    /// Lets an upstream announce that it leaves, and waits until it has emptied.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it doesn't empty in time.
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

    /// Waits until work that any leaving upstream still gets would break the invariant.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Deployment`] when that is not so within `wait_timeout`.
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
            "the grace of leaving upstreams",
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

    /// Kills the entry on a VM.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when it can't be killed.
    pub async fn kill_entry(&mut self, vm: u8) -> Result<(), TestbedError> {
        let name = entry_name(vm);
        self.failures.push(Failure::Entry {
            name: EntryName::new(&name)?,
            at_us: self.clock.now_us(),
        });
        self.deployment.kill(&name).await?;
        Ok(())
    }

    /// Kills the control replica that leads, and returns its VM.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when none leads or it can't be killed.
    pub async fn kill_leader(&mut self) -> Result<u8, TestbedError> {
        let vm = self.deployment.wait_for_leader(WAIT_TIMEOUT).await?;
        self.deployment.kill(&control_name(vm)).await?;
        Ok(vm)
    }

    /// Judges the callers' records against the upstreams'.
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

    /// Stops what still runs, the entries first, and names what did not exit with code 0.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a process does not end in time.
    pub async fn stop_all(&mut self) -> Result<Vec<String>, TestbedError> {
        let entries = ENTRY_VMS.map(entry_name);
        let controls = CONTROL_VMS.map(control_name);
        let mut failed = self.deployment.stop_each(&entries, STOP_TIMEOUT).await?;
        failed.extend(self.deployment.stop_each(&controls, STOP_TIMEOUT).await?);
        Ok(failed)
    }
}
