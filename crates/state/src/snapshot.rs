//! The state's contents as the log's snapshots carry them.

use crate::{history::History, machine::State, retained::RetainedAnswers};
use claim::SetLog;
use plan::Steering;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::Resource;

/// The version of the encoding.
const FORMAT: u32 = 1;

/// A snapshot that can't be written or read.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The contents can't be written as JSON.
    #[error("the state can't be encoded")]
    Encode(#[source] serde_json::Error),
    /// The bytes are no snapshot.
    #[error("the snapshot can't be decoded")]
    Decode(#[source] serde_json::Error),
    /// The snapshot was written by another version of the program.
    #[error("the snapshot has the unknown format {format}")]
    Format {
        /// Its format.
        format: u32,
    },
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Encoded<'a> {
    format: u32,
    applied_index: u64,
    revision: u64,
    clock_ms: u64,
    resources: Vec<&'a Resource>,
    history: &'a History,
    answers: &'a RetainedAnswers,
    sets: &'a SetLog,
    steering: &'a Steering,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Decoded {
    format: u32,
    applied_index: u64,
    revision: u64,
    clock_ms: u64,
    resources: Vec<Resource>,
    history: History,
    answers: RetainedAnswers,
    sets: SetLog,
    #[serde(default)]
    steering: Steering,
}

impl State {
    /// The contents as a snapshot.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Encode`] when the serializer fails.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        serde_json::to_vec(&Encoded {
            format: FORMAT,
            applied_index: self.applied_index,
            revision: self.revision,
            clock_ms: self.clock_ms,
            resources: self.resources.values().collect(),
            history: &self.history,
            answers: &self.answers,
            sets: &self.sets,
            steering: &self.steering,
        })
        .map_err(SnapshotError::Encode)
    }

    /// Reads what [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] when the bytes are no snapshot of this program's format.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let decoded: Decoded = serde_json::from_slice(bytes).map_err(SnapshotError::Decode)?;
        if decoded.format != FORMAT {
            return Err(SnapshotError::Format {
                format: decoded.format,
            });
        }
        Ok(Self {
            resources: decoded
                .resources
                .into_iter()
                .map(|resource| (resource.key(), resource))
                .collect(),
            applied_index: decoded.applied_index,
            revision: decoded.revision,
            clock_ms: decoded.clock_ms,
            history: decoded.history,
            answers: decoded.answers,
            sets: decoded.sets,
            steering: decoded.steering,
        })
    }
}
