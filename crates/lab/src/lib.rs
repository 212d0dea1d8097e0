//! Drives routers in virtual time against small fakes of workers and links.
//!
//! A development tool: nothing of it runs in a deployment.

mod allknowing;
mod arrivals;
mod callers;
mod caps;
mod deployment;
mod entries;
mod events;
mod incident;
mod link;
mod measure;
mod names;
mod report;
mod run;
mod scenario;
mod shares;
mod worker;
mod world;

pub use crate::{
    deployment::{Deployment, Site},
    measure::{Latency, Outcomes, Results},
    report::{refusals, report, run_all, table},
    run::{Experiment, run},
    scenario::{Chooser, Scenario},
};
