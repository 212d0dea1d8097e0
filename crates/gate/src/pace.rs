//! How fast an upstream fills that has started, recovered from a pause or come back cold.
//!
//! The window is how many requests the upstream may have from all gateways together, as far as this
//! gateway can tell by its own answers: additive increase, multiplicative decrease (Chiu and Jain,
//! 1989). With many gateways each sees only some of the answers, so the load that the upstream states
//! in them tells what the others have under way, and what it already copes with.

use crate::{
    api::{Ending, PaceCause, PaceChange},
    service::{COLD_RATIO, Service},
    upstream::{PAUSE_MAX_MS, PAUSE_MIN_MS},
};
use types::TimeUs;

/// The window at the begin, and the smallest one.
const WINDOW_MIN: f64 = 1.0;

/// An answer that takes longer than the usual run time by this factor halves the window. Runs at half
/// of the usual speed, which is common after a start, stay below it.
const LATE_FACTOR: f64 = 3.0;

/// Below this fraction of the load at which there was trouble last, each answer widens the window by
/// one; above it, a window's worth of answers does.
const FAR_BELOW_FRACTION: f64 = 0.5;

/// How long a report of other gateways' requests holds, in microseconds. Within it few gateways have
/// an answer of the same upstream; later, runs have ended and begun that this one knows nothing of.
const REPORT_HOLDS_US: u64 = 500_000;

/// What an upstream last stated of its load, without requests of this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherLoad {
    pub(crate) requests: f64,
    /// Whether requests were queued there.
    pub(crate) is_queueing: bool,
    pub(crate) reported_us: TimeUs,
}

/// An answer of a paced upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PacedAnswer {
    pub(crate) sent_us: TimeUs,
    /// The usual run time at an upstream that has not handled the object lately.
    pub(crate) usual_us: f64,
    /// Requests of this gateway that are still there.
    pub(crate) own: u32,
    /// What the answer stated.
    pub(crate) others: Option<OtherLoad>,
}

/// The window of an upstream that is being filled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) cause: PaceCause,
    /// Whether the begin was reported. It is reported once an attempt has ended, so that a mass
    /// restart writes no line for upstreams that get no requests of this gateway.
    pub(crate) is_reported: bool,
    /// Requests of all gateways.
    window: f64,
    /// Requests of all gateways when there was trouble last; its slots before that.
    trouble: f64,
    /// Requests sent before this time met the load before the last halving.
    halved_us: TimeUs,
    /// When this gateway last sent a request there; at first, when the pace began.
    sent_us: TimeUs,
    /// The part of an interval after `sent_us` in which it sends none there, unless the upstream
    /// stated its load lately.
    interval_part: f64,
    /// The length of the next pause.
    pause_ms: u64,
}

/// What a pace depends on beside the upstream: the gateways, and the time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceTerms {
    pub(crate) gateway_count: usize,
    /// The usual run time of the service's requests.
    pub(crate) run_us: f64,
    /// Whether the request may go to any upstream, so that all gateways may choose the same one at
    /// once. Requests for objects are spread by their ranks.
    pub(crate) is_for_any: bool,
    pub(crate) now_us: TimeUs,
}

impl Pace {
    /// Begins with the smallest window. `trouble` is the load at which the upstream had trouble last,
    /// `phase` a number from 0 to 1 that differs between gateways, so that they don't begin at once.
    pub(crate) fn new(cause: PaceCause, trouble: f64, phase: f64, now_us: TimeUs) -> Self {
        Self {
            cause,
            is_reported: false,
            window: WINDOW_MIN,
            trouble,
            halved_us: now_us,
            sent_us: now_us,
            interval_part: phase,
            pause_ms: PAUSE_MIN_MS,
        }
    }

    /// Whether this gateway, which has `own` requests there, may send another one.
    ///
    /// Where the upstream stated its load lately, this gateway's part of the window is its part of
    /// that load: when all gateways fill their parts, the sum is the window. Otherwise the window is
    /// divided by the number of gateways; each may have at least one request there, so that answers
    /// come. What may go to any upstream it sends there so seldom at first that the requests of all
    /// gateways have a slot each, and more often as the window widens.
    pub(crate) fn allows(
        &self,
        own: u32,
        others: Option<OtherLoad>,
        slots: u32,
        terms: PaceTerms,
    ) -> bool {
        let gateways = terms.gateway_count.max(1) as f64;
        let is_recent = |it: &OtherLoad| terms.now_us.since_us(it.reported_us) < REPORT_HOLDS_US;
        let Some(others) = others.filter(is_recent) else {
            let interval_us = terms.run_us * gateways / f64::from(slots.max(1)) / self.window;
            let idle_us = terms.now_us.since_us(self.sent_us) as f64;
            let is_in_turn = !terms.is_for_any || idle_us >= self.interval_part * interval_us;
            return is_in_turn && f64::from(own) + 1.0 <= (self.window / gateways).max(1.0);
        };
        if others.requests + 1.0 > self.window {
            return false;
        }
        let counted_own = f64::from(own.max(1));
        let part = self.window * counted_own / (counted_own + others.requests);
        f64::from(own) + 1.0 <= part.round().max(1.0)
    }

    /// Records that this gateway sends a request there.
    pub(crate) const fn record_sent(&mut self, now_us: TimeUs) {
        self.sent_us = now_us;
        self.interval_part = 1.0;
    }

    /// Widens the window by an answer in time, and halves it by a late one; returns whether it was
    /// halved.
    pub(crate) fn record_answer(
        &mut self,
        answer: PacedAnswer,
        gateway_count: usize,
        now_us: TimeUs,
    ) -> bool {
        let own = f64::from(answer.own);
        let others = answer.others.map_or(0.0, |it| it.requests);
        let taken_us = now_us.since_us(answer.sent_us) as f64;
        if taken_us > LATE_FACTOR * answer.usual_us {
            return self.halve(own + others, answer.sent_us, now_us);
        }
        // All that it had under way when it answered in time was within its pace; not so what queued,
        // since the answered request came before that. The load that it states may still count the
        // answered request, so that one is not added.
        if !answer.others.is_some_and(|it| it.is_queueing) {
            self.window = self.window.max(own + others);
        }
        // Each answer here stands for this many of all gateways.
        let answers = (1.0 + others / (own + 1.0)).min(gateway_count.max(1) as f64);
        let step = match self.window < FAR_BELOW_FRACTION * self.trouble {
            true => answers,
            false => answers / self.window,
        };
        self.window += step.min(self.window);
        false
    }

    /// Halves the window because of a request sent at `sent_us`, once for all that were sent before
    /// the last halving; returns whether it did. `total` is what the upstream had from all gateways.
    pub(crate) fn halve(&mut self, total: f64, sent_us: TimeUs, now_us: TimeUs) -> bool {
        if sent_us < self.halved_us {
            return false;
        }
        self.halved_us = now_us;
        self.trouble = total.max(self.window);
        self.window = (self.window / 2.0).max(WINDOW_MIN);
        true
    }

    /// The length of the pause after a failure of an upstream that fails often; each is twice as long as
    /// the one before, whether or not an attempt between them was answered.
    pub(crate) fn next_pause_ms(&mut self) -> u64 {
        let pause_ms = self.pause_ms;
        self.pause_ms = (2 * pause_ms).min(PAUSE_MAX_MS);
        pause_ms
    }

    /// Whether it is over: the upstream may have as many requests as it has slots.
    pub(crate) fn is_over(&self, slots: u32) -> bool {
        self.window >= f64::from(slots)
    }
}

/// The result of an attempt at an upstream, as far as its pace depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PacedAttempt {
    pub(crate) ending: Ending,
    pub(crate) sent_us: TimeUs,
    /// The usual run time at an upstream that has not handled the object lately.
    pub(crate) usual_us: f64,
    /// Whether the upstream is paused because of it.
    pub(crate) pauses: bool,
}

impl Service {
    /// Paces an upstream by the result of an attempt there, which is recorded already; returns the
    /// changes to report. Upstreams are paced only where the service's ones state how long work takes.
    pub(crate) fn record_paced(
        &mut self,
        index: usize,
        attempt: PacedAttempt,
        gateway_count: usize,
        now_us: TimeUs,
    ) -> Vec<PaceChange> {
        if !self.states_slowness {
            return Vec::new();
        }
        let upstream = &mut self.upstreams[index];
        let slots = upstream.instance.slots;
        let others = upstream.other_load();
        let own = upstream.own_requests;
        let total = f64::from(own) + others.map_or(0.0, |it| it.requests);
        let total = total.min(f64::from(slots));
        let fails = attempt.ending.is_failure() && upstream.is_failing();
        if attempt.pauses || fails {
            upstream.start_pace(PaceCause::Paused, total, now_us);
        }
        let cold_factor = match upstream.is_cold(attempt.sent_us) {
            true => COLD_RATIO,
            false => 1.0,
        };
        let Some(pace) = &mut upstream.pace else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        if !pace.is_reported {
            pace.is_reported = true;
            changes.push(PaceChange::Began(pace.cause));
        }
        let is_halved = match attempt.ending {
            Ending::Answered => {
                let answer = PacedAnswer {
                    sent_us: attempt.sent_us,
                    usual_us: attempt.usual_us * cold_factor,
                    own,
                    others: others.filter(|it| it.reported_us == now_us),
                };
                pace.record_answer(answer, gateway_count, now_us)
            }
            Ending::Left | Ending::Misdirected => false,
            Ending::Failed
            | Ending::Ambiguous
            | Ending::Full
            | Ending::NotSent
            | Ending::Broken
            | Ending::TimedOut => pace.halve(total, attempt.sent_us, now_us),
        };
        if fails {
            let pause_ms = pace.next_pause_ms();
            upstream.paused_until_us = upstream.paused_until_us.max(now_us.after_ms(pause_ms));
        }
        if is_halved {
            changes.push(PaceChange::Halved);
        }
        // One that still fails often would become the last choice, and get no request to recover by.
        if pace.is_over(slots) && !upstream.is_failing() {
            upstream.pace = None;
            changes.push(PaceChange::Ended);
        }
        changes
    }
}
