//! Reads the processor time and memory of a process from `/proc`.

use rustix::param::clock_ticks_per_second;
use std::{fs, io, time::Duration};
use thiserror::Error;

/// Why the figures of a process can't be read.
#[derive(Debug, Error)]
pub enum UsageError {
    /// A file of the process in `/proc` can't be read.
    #[error("could not read the stat or status file of process {id} in /proc")]
    Unreadable {
        /// The process id.
        id: u32,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// A file of the process in `/proc` lacks a value or has one that is no number.
    #[error("/proc has no valid {field} of process {id}")]
    Missing {
        /// The process id.
        id: u32,
        /// Name of the value.
        field: &'static str,
    },
}

/// Processor time and memory that a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Time in user and kernel mode, of all threads.
    pub processor_time: Duration,
    /// Resident memory now, in units of 1,024 bytes.
    pub resident_kb: u64,
    /// Highest resident memory so far, in units of 1,024 bytes.
    pub peak_kb: u64,
}

impl Usage {
    /// Reads the figures of the running process with this id.
    ///
    /// # Errors
    ///
    /// [`UsageError`] when its files in `/proc` can't be read or lack a value.
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
            processor_time: parse_processor_time(&stat)
                .ok_or(UsageError::Missing { id, field: "time" })?,
            resident_kb: kb("VmRSS")?,
            peak_kb: kb("VmHWM")?,
        })
    }
}

/// Time in user and kernel mode: the 12th and 13th field of the stat file after the command's name
/// in brackets.
fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    let ticks = (user + kernel) as f64;
    Some(Duration::from_secs_f64(
        ticks / clock_ticks_per_second() as f64,
    ))
}
