//! The progress of a drain or a shift, as an entry reports it to the control replicas.

use crate::Key;
use serde::{Deserialize, Serialize};
use strum::Display;

/// The state of a shift at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftState {
    /// The next step is taken at the end of the interval.
    Moving,
    /// No step for now: the receiving region has not absorbed the last one, or a wait after a step
    /// back goes on.
    Paused,
    /// The receiving region fails more often or is slower, and the last step is undone.
    SteppingBack,
    /// The shift has reached its target.
    Done,
}

/// Why a shift is in its [`ShiftState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftReason {
    /// The receiving region took the last step without too many failures or too much latency.
    Absorbed,
    /// Requests were sent to the receiving region, but none has finished or failed yet.
    NoAnswers,
    /// The receiving region fails more often than usual.
    Failures,
    /// The receiving region is slower than usual.
    Latency,
    /// Less traffic moved to the receiving region than the step allows.
    NoRoom,
    /// No step is due yet: the shift is new, or it waits after a step back.
    Waiting,
}

/// The progress of one resource at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Progress {
    /// The progress of a drain.
    Drain {
        /// Requests that this entry has in flight at the drain's target.
        in_flight: u64,
    },
    /// The progress of a shift.
    Shift {
        /// The share of the traffic that this entry may move at present, in percent.
        step_percent: u32,
        /// The share that the shift is to reach, in percent.
        target_percent: u32,
        /// Whether it advances, pauses or steps back.
        state: ShiftState,
        /// Why it is in this state.
        reason: ShiftReason,
    },
}

/// The progress of a resource at one entry, as the entry reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceProgress {
    /// The drain or shift.
    pub key: Key,
    /// Its progress at the reporting entry.
    pub progress: Progress,
}
