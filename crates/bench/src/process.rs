//! Processor time and memory of a process, as the kernel tells them.

use rustix::param::clock_ticks_per_second;
use std::{fs, io, time::Duration};
use thiserror::Error;

/// Figures of a process that can't be read.
#[derive(Debug, Error)]
pub enum UsageError {
    /// The kernel's file can't be read.
    #[error("could not read what the kernel tells of process {id}")]
    Unreadable {
        /// The process.
        id: u32,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The kernel's file has not the expected form.
    #[error("the kernel tells no {field} of process {id}")]
    Missing {
        /// The process.
        id: u32,
        /// What is missing.
        field: &'static str,
    },
}

/// What a process used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time in user and kernel mode.
    pub processor: Duration,
    /// Memory that it holds now.
    pub resident_kb: u64,
    /// The most memory that it held.
    pub peak_kb: u64,
}

impl Usage {
    /// Of a running process.
    ///
    /// # Errors
    ///
    /// [`UsageError`] when the kernel doesn't tell.
    pub fn of(id: u32) -> Result<Self, UsageError> {
        let read = |file: &str| {
            let path = format!("/proc/{id}/{file}");
            fs::read_to_string(path).map_err(|source| UsageError::Unreadable { id, source })
        };
        let (stat, status) = (read("stat")?, read("status")?);
        let kb = |field: &'static str| {
            status
                .lines()
                .find_map(|line| line.strip_prefix(field))
                .and_then(|value| value.split_whitespace().nth(1)?.parse().ok())
                .ok_or(UsageError::Missing { id, field })
        };
        Ok(Self {
            processor: processor(&stat).ok_or(UsageError::Missing { id, field: "time" })?,
            resident_kb: kb("VmRSS")?,
            peak_kb: kb("VmHWM")?,
        })
    }
}

/// The time in user and kernel mode: the 12th and 13th field after the name in brackets.
fn processor(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    let ticks = (user + kernel) as f64;
    Some(Duration::from_secs_f64(
        ticks / clock_ticks_per_second() as f64,
    ))
}
