//! The shell of a control replica: its listeners, its links, its disk and the task that owns its
//! core.

mod actor;
mod convert;
mod front;
mod http;
mod metrics;
mod start;
mod storage;

pub use self::{
    actor::Broken,
    start::{ControlReplica, start},
    storage::found,
};
