//! Files of a control replica: the checksummed log and its snapshots.
//!
//! All files are in one data folder, which one process opens at a time. Calls block: each returns
//! once what it wrote is synced. The daemon therefore runs the store on a thread of its own.

mod atomic_file;
mod disk;
mod error;
mod frame;
mod log_file;
mod mark;
mod record;
mod store;

pub use crate::{
    disk::{Disk, OsDisk},
    error::StoreError,
    log_file::TornTail,
    store::{Opened, Store},
};
