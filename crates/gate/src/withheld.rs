//! Which runs of upstreams asked, in their answers, for no new requests.
//!
//! They are kept apart from the list of upstreams: a run may be missing in one answer of a control
//! replica and listed again by a later one, and must stay withheld all the same.

use crate::api::Notices;
use std::collections::{HashMap, VecDeque};
use types::{TimeUs, UpstreamName};

/// The longest backoff that an upstream may ask for, in milliseconds, so that a nonsensical value
/// does not exclude it for good.
const BACKOFF_MAX_MS: u64 = 600_000;

/// How many runs are remembered; beyond it, the one that gave notice first is forgotten.
const RUNS_MAX: usize = 8_192;

/// What one run of an upstream asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Withheld {
    /// It gets no new requests any more.
    pub(crate) is_leaving: bool,
    /// It gets no requests until then.
    pub(crate) backoff_until_us: TimeUs,
}

impl Withheld {
    /// Whether nothing may be sent to the upstream now.
    pub(crate) fn is_withheld(self, now_us: TimeUs) -> bool {
        self.is_leaving || !self.backoff_until_us.reached(now_us)
    }
}

/// A run is identified by the name of the instance and when it started.
type Run = (UpstreamName, u64);

/// The runs that gave notice.
#[derive(Debug, Default)]
pub(crate) struct WithheldRuns {
    runs: HashMap<Run, Withheld>,
    /// The keys of `runs`, the one that gave notice first at the front.
    order: VecDeque<Run>,
}

impl WithheldRuns {
    /// What this run asked for.
    pub(crate) fn get(&self, id: &UpstreamName, born_ms: u64) -> Withheld {
        let run = (id.clone(), born_ms);
        self.runs.get(&run).copied().unwrap_or_default()
    }

    /// Records notices of a run and returns what it asked for altogether. A shorter backoff does
    /// not end a longer one.
    pub(crate) fn record(
        &mut self,
        id: &UpstreamName,
        born_ms: u64,
        notices: Notices,
        now_us: TimeUs,
    ) -> Withheld {
        let run = (id.clone(), born_ms);
        if !self.runs.contains_key(&run) {
            self.order.push_back(run.clone());
            if self.order.len() > RUNS_MAX
                && let Some(oldest) = self.order.pop_front()
            {
                self.runs.remove(&oldest);
            }
        }
        let withheld = self.runs.entry(run).or_default();
        withheld.is_leaving |= notices.is_leaving;
        if let Some(backoff_ms) = notices.backoff_ms {
            let until_us = now_us.after_ms(backoff_ms.min(BACKOFF_MAX_MS));
            withheld.backoff_until_us = withheld.backoff_until_us.max(until_us);
        }
        *withheld
    }
}
