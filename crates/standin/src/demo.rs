//! The demo: the Wirecraft deployment at its sizes, through drains and failures.

use crate::{
    caller::{Callers, NoProgress},
    checker::{Departure, Evidence, Failure, Verdict, check},
    clock::Clock,
    condition::wait_for_answer,
    deployment::{
        CONTROL_VMS, Deployment, DeploymentError, ENTRY_VMS, Network, WIRECRAFT, all_loads,
        all_upstreams, control_name, entry_name,
    },
    process::{Binaries, ProcessError},
    record::{Request, Run},
    report::{Table, summary},
    upstream::Upstream,
};
use std::{io, path::PathBuf, time::Duration};
use thiserror::Error;
use tokio::time::timeout;
use types::{EntryName, InvalidName, UpstreamName};

/// The bound of each wait of the demo.
const BOUND: Duration = Duration::from_secs(20);
/// The bound of a daemon's graceful stop.
const STOP_BOUND: Duration = Duration::from_secs(10);
/// How long after its announcement a leaving upstream may still get new work.
const LEAVING_GRACE_MS: u64 = 2_000;
/// Requests that finish between two steps of the demo.
const STEP_REQUESTS: u64 = 2_000;
/// The entry that is killed; its VM runs no control replica.
const KILLED_ENTRY_VM: u8 = 4;

/// What the demo is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// The folder of the declarations.
    pub declarations: PathBuf,
    /// Go on with the deployment, without callers, until interrupted.
    pub hold: bool,
    /// Leave settings, logs and data in place.
    pub keep: bool,
}

/// Why the demo could not be carried through.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A process of the deployment failed.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
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

/// Runs the demo and returns whether every invariant held.
///
/// # Errors
///
/// [`DemoError`] when a step fails.
pub async fn run(options: &Options) -> Result<bool, DemoError> {
    let mut stage = Stage::set(options).await?;
    println!("{} resources in force on every entry", stage.resources);
    let callers = Callers::start(
        &all_loads(&WIRECRAFT)?,
        &stage.deployment.network().entries(),
        stage.clock,
    );
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    stage.drain("browse-1").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    stage.leave("order-2").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    stage.kill_entry(KILLED_ENTRY_VM).await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    stage.kill_leader().await?;
    stage.drain("stock-3").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    let requests = callers.stop().await;
    let verdict = stage.judge(&requests).await;
    if options.hold {
        println!("{}", Table::new(&requests));
        println!("holding until interrupted");
        std::future::pending::<()>().await;
    }
    stage.stop_all().await?;
    print_results(&requests, &verdict);
    Ok(verdict.holds())
}

fn print_results(requests: &[Request], verdict: &Verdict) {
    println!("\n{}", Table::new(requests));
    for violation in &verdict.violations {
        println!(
            "violated: {} by request {}",
            violation.invariant, violation.request.0
        );
    }
    println!("{}", summary(verdict));
}

/// The deployment with its upstreams and what was done to them.
struct Stage {
    deployment: Deployment,
    upstreams: Vec<Upstream>,
    clock: Clock,
    resources: usize,
    failures: Vec<Failure>,
    departures: Vec<Departure>,
}

impl Stage {
    /// Starts everything and waits until the declarations are in force.
    async fn set(options: &Options) -> Result<Self, DemoError> {
        let mut deployment = Deployment::new(Binaries::find()?, Network::new(0, 1)).await?;
        if options.keep {
            println!("files kept in {}", deployment.keep().display());
        }
        deployment.start_all()?;
        let clock = Clock::new();
        let network = deployment.network();
        let mut upstreams = Vec::new();
        for spec in all_upstreams(&WIRECRAFT, network)? {
            upstreams.push(Upstream::start(spec, &network.entries(), clock).await?);
        }
        deployment.leader(BOUND).await?;
        let folder = options.declarations.to_string_lossy();
        deployment.ctl(&["apply", "-f", &*folder]).await?;
        let resources = deployment.in_force(BOUND).await?;
        for address in network.entries() {
            wait_for_answer(address, "/ready", BOUND, |status, _| status.is_success())
                .await
                .map_err(DeploymentError::from)?;
        }
        Ok(Self {
            deployment,
            upstreams,
            clock,
            resources,
            failures: Vec::new(),
            departures: Vec::new(),
        })
    }

    /// Drains an upstream by a declaration.
    async fn drain(&mut self, name: &str) -> Result<(), DemoError> {
        println!("draining {name} by a declaration");
        let target = format!("upstream/{name}");
        self.deployment.ctl(&["drain", &*target]).await?;
        self.deployment.in_force(BOUND).await?;
        self.departures.push(Departure {
            upstream: UpstreamName::new(name)?,
            closed_us: self.clock.now_us(),
        });
        Ok(())
    }

    /// Lets an upstream announce that it leaves, and waits until it has emptied.
    async fn leave(&mut self, name: &str) -> Result<(), DemoError> {
        println!("{name} announces that it leaves");
        let found = self
            .upstreams
            .iter()
            .find(|upstream| upstream.spec().name.as_str() == name);
        let missing = || DemoError::NoUpstream {
            name: name.to_owned(),
        };
        let upstream = found.ok_or_else(missing)?;
        let left_us = upstream.leave().await.ok_or_else(missing)?;
        let name = upstream.spec().name.clone();
        if timeout(BOUND, upstream.emptied()).await.is_err() {
            return Err(DemoError::NotEmptied { name });
        }
        self.departures.push(Departure {
            upstream: name,
            closed_us: left_us.after_ms(LEAVING_GRACE_MS),
        });
        Ok(())
    }

    async fn kill_entry(&mut self, vm: u8) -> Result<(), DemoError> {
        let name = entry_name(vm);
        println!("killing {name}");
        self.failures.push(Failure::Entry {
            name: EntryName::new(&name)?,
            at_us: self.clock.now_us(),
        });
        self.deployment.kill(&name).await?;
        Ok(())
    }

    async fn kill_leader(&mut self) -> Result<(), DemoError> {
        let name = control_name(self.deployment.leader(BOUND).await?);
        println!("killing {name}, which leads");
        self.deployment.kill(&name).await?;
        let next = self.deployment.leader(BOUND).await?;
        println!("{} leads now", control_name(next));
        Ok(())
    }

    async fn judge(&self, requests: &[Request]) -> Verdict {
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

    /// Stops what still runs, the entries first.
    async fn stop_all(&mut self) -> Result<(), DemoError> {
        let entries = ENTRY_VMS.map(entry_name);
        let controls = CONTROL_VMS.map(control_name);
        for name in entries.iter().chain(&controls) {
            if self.deployment.daemon(name).is_err() {
                continue;
            }
            if !self.deployment.stop(name, STOP_BOUND).await? {
                println!("{name} did not exit with 0");
            }
        }
        Ok(())
    }
}
