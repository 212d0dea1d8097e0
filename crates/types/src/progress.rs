//! How far an entry has come with a drain or a shift.

use crate::Key;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Where a shift stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftState {
    /// The next step follows at the end of the interval.
    Moving,
    /// The last step has not been absorbed yet.
    Paused,
    /// The receiving region got worse, and a step is taken back.
    SteppingBack,
    /// All that was asked for has moved.
    Done,
}

/// Why a shift is where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftReason {
    /// The receiving region absorbed the last step.
    Absorbed,
    /// No answer has come from the receiving region yet.
    NoAnswers,
    /// The receiving region fails more often than usual.
    Failures,
    /// The receiving region is slower than usual.
    Latency,
    /// The receiving region takes less than the step.
    NoRoom,
    /// The wait after a step back has not ended.
    Waiting,
}

/// How far one entry has come with a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Progress {
    /// A drain.
    Drain {
        /// Requests that this entry has in flight at what the drain empties.
        in_flight: u64,
    },
    /// A shift.
    Shift {
        /// The part of the traffic that this entry sends to the receiving region.
        step_percent: u32,
        /// The part that is asked for.
        target_percent: u32,
        /// Where it stands.
        state: ShiftState,
        /// Why.
        reason: ShiftReason,
    },
}

/// The progress of a resource at one entry, as the entry reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResourceProgress {
    /// The resource.
    pub key: Key,
    /// How far it has come.
    pub progress: Progress,
}
