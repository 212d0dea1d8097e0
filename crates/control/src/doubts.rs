//! Heartbeats that don't count alone: those of runs that seem to be over, or to start in the future.
//!
//! A late heartbeat comes once, or several come at the same moment when a cut heals. A run that is
//! alive goes on sending them.

use plan::Registration;
use std::collections::HashMap;
use types::{TimeUs, UpstreamName};

/// How long after the first doubtful heartbeat of a run another one proves that the run is alive, in
/// milliseconds. What a cut has delayed arrives together, within less. The usual interval of heartbeats
/// is longer, so that the second one counts.
const PROOF_MS: u64 = 1_000;

/// How long a run stays in doubt without another heartbeat, in milliseconds.
const DOUBT_EXPIRY_MS: u64 = 10_000;

/// The most runs in doubt at once; further ones are ignored until one expires. Whoever invents runs
/// can't use more memory than this.
const DOUBTS_MAX: usize = 4_096;

/// A run in doubt.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    born_ms: u64,
    /// The highest sequence number of its heartbeats.
    sequence: u64,
    proven_from_us: TimeUs,
    expiry_us: TimeUs,
}

/// The latest run in doubt of each name.
#[derive(Debug, Default)]
pub(crate) struct Doubts {
    by_name: HashMap<UpstreamName, Doubt>,
}

impl Doubts {
    /// Records a doubtful heartbeat. Returns whether it proves, with the earlier ones, that its run
    /// is alive.
    pub(crate) fn is_alive(&mut self, registration: &Registration, now_us: TimeUs) -> bool {
        let expiry_us = now_us.after_ms(DOUBT_EXPIRY_MS);
        let known = self.by_name.get_mut(&registration.id);
        let same_run = known.filter(|doubt| {
            doubt.born_ms == registration.born_ms && !doubt.expiry_us.reached(now_us)
        });
        if let Some(doubt) = same_run {
            if registration.sequence <= doubt.sequence {
                return false;
            }
            doubt.sequence = registration.sequence;
            doubt.expiry_us = expiry_us;
            return doubt.proven_from_us.reached(now_us);
        }
        let is_known = self.by_name.contains_key(&registration.id);
        if is_known || self.by_name.len() < DOUBTS_MAX {
            let doubt = Doubt {
                born_ms: registration.born_ms,
                sequence: registration.sequence,
                proven_from_us: now_us.after_ms(PROOF_MS),
                expiry_us,
            };
            self.by_name.insert(registration.id.clone(), doubt);
        }
        false
    }

    pub(crate) fn remove(&mut self, id: &UpstreamName) {
        self.by_name.remove(id);
    }

    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        self.by_name
            .retain(|_, doubt| !doubt.expiry_us.reached(now_us));
    }

    pub(crate) fn clear(&mut self) {
        self.by_name.clear();
    }
}
