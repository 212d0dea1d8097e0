//! The shell of a gateway: the code that owns its listeners, links and metrics, round the core from
//! the crate `gate`.

mod actor;
mod attempt;
mod bodies;
mod body_pacer;
mod guard;
mod http;
mod metrics;
mod progress;
mod start;
mod stream;
mod tenants;

pub use self::start::{Gateway, start};
