//! A deployment with stand-in upstreams, and a record of what was done to them.

use crate::{
    caller::{Callers, NoProgress},
    checker::{Departure, Evidence, Failure, Verdict, check},
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
const BOUND: Duration = Duration::from_secs(20);
/// The bound of a daemon's graceful stop.
const STOP_BOUND: Duration = Duration::from_secs(10);
/// How long after its announcement a leaving upstream may still get new work.
const LEAVING_GRACE_MS: u64 = 2_000;
/// How long work of leaving upstreams is watched for after their grace.
const CLOSED_WATCH_MS: u64 = 500;

/// Why a step could not be carried through.
#[derive(Debug, Error)]
pub enum StageError {
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
    NotEmptied {
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
pub struct Stage {
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

impl Stage {
    /// Starts every process and upstream and waits until the declarations are in force.
    ///
    /// # Errors
    ///
    /// [`StageError`] when a step fails.
    pub async fn set(
        mut deployment: Deployment,
        declarations: &Path,
        workloads: &[Workload],
    ) -> Result<Self, StageError> {
        deployment.start_all()?;
        let clock = Clock::new();
        let network = deployment.network();
        let mut upstreams = Vec::new();
        for spec in all_upstreams(workloads, network)? {
            upstreams.push(Upstream::start(spec, &network.entries(), clock).await?);
        }
        deployment.leader(BOUND).await?;
        deployment.apply(declarations).await?;
        deployment.in_force(BOUND).await?;
        for address in network.entries() {
            deployment.ready(address, BOUND).await?;
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
    /// [`StageError::Name`] when a service's name breaks the rules.
    pub fn callers(&self, workloads: &[Workload]) -> Result<Callers, StageError> {
        let loads = all_loads(workloads)?;
        let entries = self.deployment.network().entries();
        Ok(Callers::start(&loads, &entries, self.clock))
    }

    /// Drains an upstream by a declaration and waits until that is in force.
    ///
    /// # Errors
    ///
    /// [`StageError`] when it isn't in force in time.
    pub async fn drain(&mut self, name: &str) -> Result<(), StageError> {
        self.deployment.ctl(&["drain", "upstream", name]).await?;
        self.deployment.in_force(BOUND).await?;
        self.departures.push(Departure {
            upstream: UpstreamName::new(name)?,
            closed_us: self.clock.now_us(),
        });
        Ok(())
    }

    /// Lets an upstream announce that it leaves, and waits until it has emptied.
    ///
    /// # Errors
    ///
    /// [`StageError`] when it doesn't empty in time.
    pub async fn leave(&mut self, name: &str) -> Result<(), StageError> {
        let found = self
            .upstreams
            .iter()
            .find(|upstream| upstream.spec().name.as_str() == name);
        let missing = || StageError::NoUpstream {
            name: name.to_owned(),
        };
        let upstream = found.ok_or_else(missing)?;
        let left_us = upstream.leave().await.ok_or_else(missing)?;
        let name = upstream.spec().name.clone();
        if timeout(BOUND, upstream.emptied()).await.is_err() {
            return Err(StageError::NotEmptied { name });
        }
        self.departures.push(Departure {
            upstream: name,
            closed_us: left_us.after_ms(LEAVING_GRACE_MS),
        });
        Ok(())
    }

    /// Waits until work that any leaving upstream still gets would break the invariant.
    ///
    /// # Errors
    ///
    /// [`StageError::Deployment`] when that is not so within `bound`.
    pub async fn departures_closed(&self, bound: Duration) -> Result<(), StageError> {
        let closed_us = self.departures.iter().map(|left| left.closed_us).max();
        let last_us = closed_us.unwrap_or_default().after_ms(CLOSED_WATCH_MS);
        let clock = self.clock;
        wait_until("the grace of leaving upstreams", bound, || async move {
            match clock.now_us() {
                now_us if last_us.reached(now_us) => Ok(()),
                now_us => Err(Pending::new(last_us.since_us(now_us))),
            }
        })
        .await
        .map_err(DeploymentError::from)?;
        Ok(())
    }

    /// Kills the entry on a VM.
    ///
    /// # Errors
    ///
    /// [`StageError`] when it can't be killed.
    pub async fn kill_entry(&mut self, vm: u8) -> Result<(), StageError> {
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
    /// [`StageError`] when none leads or it can't be killed.
    pub async fn kill_leader(&mut self) -> Result<u8, StageError> {
        let vm = self.deployment.leader(BOUND).await?;
        self.deployment.kill(&control_name(vm)).await?;
        Ok(vm)
    }

    /// Judges the callers' records against the upstreams'.
    pub async fn judge(&self, requests: &[Request]) -> Verdict {
        let mut runs: Vec<Run> = Vec::new();
        for upstream in &self.upstreams {
            runs.extend(upstream.runs().await);
        }
        check(&Evidence {
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
    /// [`StageError`] when a process does not end in time.
    pub async fn stop_all(&mut self) -> Result<Vec<String>, StageError> {
        let entries = ENTRY_VMS.map(entry_name);
        let controls = CONTROL_VMS.map(control_name);
        let mut failed = self.deployment.stop_each(&entries, STOP_BOUND).await?;
        failed.extend(self.deployment.stop_each(&controls, STOP_BOUND).await?);
        Ok(failed)
    }
}
