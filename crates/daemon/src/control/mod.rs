//! The shell of a control replica: the code that owns its listeners, links, data folder and
//! metrics, round the core from the crate `control`.

mod actor;
mod convert;
mod encoded_answers;
mod http;
mod metrics;
mod platform_http;
mod start;
mod storage;

pub use self::{
    actor::ReplicaFailure,
    start::{ControlReplica, start},
    storage::create_data_folder,
};
