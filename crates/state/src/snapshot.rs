//! The encoding of the state in snapshots of the log: versioned JSON.

use crate::{history::History, machine::State, retained::RetainedAnswers};
use claim::EntrySetHistory;
use plan::Steering;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::Resource;

/// The version of the snapshot's encoding.
const FORMAT: u32 = 1;

/// A snapshot that can't be written or read.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The state can't be written as JSON.
    #[error("the state can't be encoded")]
    Encode(#[source] serde_json::Error),
    /// The bytes are not the JSON of a snapshot.
    #[error("the snapshot can't be decoded")]
    Decode(#[source] serde_json::Error),
    /// The snapshot was written by a version of the program that uses another format.
    #[error("the snapshot has format {format}; this program reads format {FORMAT}")]
    Format {
        /// The format that the snapshot names.
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
    sets: &'a EntrySetHistory,
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
    sets: EntrySetHistory,
    #[serde(default)]
    steering: Steering,
}

impl State {
    /// The state as the bytes of a snapshot.
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
            sets: &self.entry_sets,
            steering: &self.steering,
        })
        .map_err(SnapshotError::Encode)
    }

    /// Reads what [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::Decode`] or [`SnapshotError::Format`] when the bytes are not a snapshot of
    /// this program's format.
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
            entry_sets: decoded.sets,
            steering: decoded.steering,
        })
    }
}
