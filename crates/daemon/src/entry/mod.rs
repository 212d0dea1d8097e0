//! The shell of an entry: the code that owns its listeners, links and metrics, round the core from
//! the crate `entry`.

mod actor;
mod convert;
mod forward;
mod http;
mod kept;
mod links;
mod metrics;
mod relay;
mod start;

pub use self::start::start;
