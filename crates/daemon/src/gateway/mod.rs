//! The shell of a gateway: its listeners, its links and the task that owns its core.

mod actor;
mod attempt;
mod http;
mod metrics;
mod start;
mod stream;

pub use self::start::{Gateway, start};
