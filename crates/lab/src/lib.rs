//! Discrete-event simulation that measures how routers choose upstreams.
//!
//! The routers are the real ones of the `route` crate. Time is virtual; workers, links, callers and
//! the leader that grants shares are small fakes. A development tool: no deployment runs it.

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
