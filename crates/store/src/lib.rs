//! Files of a control replica: the checksummed log and its snapshots.
//!
//! All files live in one data folder, which one process opens at a time. Every call is synchronous:
//! it returns once what it wrote is synced. The shell gives the store a thread of its own.

mod disk;
mod error;
mod frame;
mod log_file;
mod mark;
mod record;
mod store;
mod whole;

pub use crate::{
    disk::{Disk, OsDisk},
    error::StoreError,
    log_file::TornTail,
    store::{Opened, Store},
};
