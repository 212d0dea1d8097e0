//! Large answers to gateways' polls, kept so that gateways that ask for the same changes share one.
//!
//! After a failure of many gateways, all of them ask for the whole state at the same moment, again and
//! again until they have it. Copying and encoding it for each would keep a replica from everything
//! else.

use crate::api::GatewayPollAnswer;
use std::{collections::BTreeMap, sync::Arc};
use types::TimeUs;

/// How old an answer may be that lacks newer changes, in milliseconds. A gateway learns of those with
/// its next poll, so that this adds to the time in which a change comes into force.
const REUSE_MS: u64 = 200;

/// How old an answer may be that lacks nothing, in milliseconds. The number of gateways in it and the
/// log's clock are as old.
const REUSE_LATEST_MS: u64 = 1_000;

/// The most answers kept. Each is as large as the changes that it carries.
const KEPT_MAX: usize = 4;

#[derive(Debug)]
struct KeptAnswer {
    answer: Arc<GatewayPollAnswer>,
    reuse_until_us: TimeUs,
    reuse_latest_until_us: TimeUs,
}

/// The latest large answers, by the index that the gateways which got them had polled from.
#[derive(Debug, Default)]
pub(crate) struct LargeAnswers {
    by_index: BTreeMap<u64, KeptAnswer>,
}

impl LargeAnswers {
    /// An answer to a poll from `index` that may be given again while `newest` is the log index of
    /// the latest change.
    pub(crate) fn get(
        &self,
        index: u64,
        newest: u64,
        now_us: TimeUs,
    ) -> Option<Arc<GatewayPollAnswer>> {
        let kept = self.by_index.get(&index)?;
        let until_us = match kept.answer.revision == newest {
            true => kept.reuse_latest_until_us,
            false => kept.reuse_until_us,
        };
        (!until_us.reached(now_us)).then(|| Arc::clone(&kept.answer))
    }

    /// Keeps the answer to a poll from `index`, in place of the oldest one if there are too many.
    pub(crate) fn keep(&mut self, index: u64, answer: &Arc<GatewayPollAnswer>, now_us: TimeUs) {
        self.expire(now_us);
        if self.by_index.len() >= KEPT_MAX {
            let ages = self.by_index.iter();
            let oldest = ages.min_by_key(|(_, kept)| kept.reuse_latest_until_us);
            if let Some(oldest) = oldest.map(|(index, _)| *index) {
                self.by_index.remove(&oldest);
            }
        }
        let kept = KeptAnswer {
            answer: Arc::clone(answer),
            reuse_until_us: now_us.after_ms(REUSE_MS),
            reuse_latest_until_us: now_us.after_ms(REUSE_LATEST_MS),
        };
        self.by_index.insert(index, kept);
    }

    /// Drops the answers that are not given again.
    pub(crate) fn expire(&mut self, now_us: TimeUs) {
        self.by_index
            .retain(|_, kept| !kept.reuse_latest_until_us.reached(now_us));
    }
}
