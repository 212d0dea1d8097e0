//! Test doubles for the programs around a deployment, called stand-ins: callers that send requests,
//! upstreams that run them and an operator that changes resources.
//!
//! They record every request and run with the time. [`checker`] compares the records and reports
//! each broken invariant. [`deployment`] and [`testbed`] start the real daemons on loopback
//! addresses for the demo, the failure tests and the benchmarks.

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
