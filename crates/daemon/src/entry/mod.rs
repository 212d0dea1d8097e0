//! The shell of an entry: its listeners, its links and the task that owns its core.

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
