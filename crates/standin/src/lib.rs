//! Stand-ins for callers and upstreams, the demo and the checks over real processes.

pub mod answer;
pub mod caller;
pub mod checker;
pub mod clock;
pub mod condition;
pub mod demo;
pub mod deployment;
pub mod http;
pub mod operator;
pub mod process;
pub mod record;
pub mod relay;
pub mod report;
pub mod testbed;
pub mod upstream;
