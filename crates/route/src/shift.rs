//! Rate limit for traffic of a service that leaves its home region: of the regions that may run the
//! service, the one nearest to the entry.
//!
//! One controller per service counts every request that goes to another region, whether because of
//! a declared shift, a spillover from a full home region, a drain or a loss of upstreams. The
//! fraction that may leave rises by at most the cap in an interval, and only when the other regions
//! absorbed what went there before: their answers were not much slower, and did not fail much more
//! often, than is usual in the home region.

use serde::Serialize;
use types::{ShiftReason, ShiftState, TimeUs};

/// An interval doesn't end before this many arrivals, so that the moved fraction can be
/// measured.
const ARRIVALS_MIN: u64 = 20;
/// Answers that an interval's mean latency must rest on to count.
const ANSWERS_MIN: u64 = 10;
/// A shift pauses when remote failures exceed the baseline by this much.
const PAUSE_FAILURES_PERMILLE: u64 = 20;
/// A shift steps back when remote failures exceed the baseline by this much.
const STEP_BACK_FAILURES_PERMILLE: u64 = 50;
/// A shift pauses when the remote latency exceeds this percentage of the baseline.
const PAUSE_LATENCY_PERCENT: u64 = 150;
/// A shift steps back when the remote latency exceeds this percentage of the baseline.
const STEP_BACK_LATENCY_PERCENT: u64 = 200;
/// The receiving region lacks room when the moved fraction falls short of the step by more than
/// this.
const SHORTFALL_PERMILLE: u64 = 50;
/// After the first step back a shift waits one interval; each further one doubles the wait, up to
/// this many times.
const WAIT_MAX_DOUBLINGS: u32 = 5;
/// A new interval weighs one part in this many in the baseline latency.
const BASELINE_SMOOTHING: u64 = 8;
/// One whole request, in the unit of `credit_permille` and `owed_permille`.
const REQUEST_PERMILLE: u64 = 1_000;

/// How fast traffic may leave the home region: the most by which the moved fraction may rise in an
/// interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Cap {
    /// The rise, in percentage points of the service's traffic.
    pub percent: u32,
    /// The least length of an interval; one with too few arrivals lasts longer.
    pub interval_ms: u64,
}

/// What the answers of the other regions say about the traffic moved in the last interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Absorbed,
    Pause(ShiftReason),
    StepBack(ShiftReason),
}

/// Answers and failures of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerStats {
    answers: u64,
    failures: u64,
    /// The sum over the answers.
    total_latency_us: u64,
}

impl AnswerStats {
    const fn mean_us(&self) -> Option<u64> {
        self.total_latency_us.checked_div(self.answers)
    }

    const fn failures_permille(&self) -> u64 {
        match (self.failures * 1_000).checked_div(self.answers + self.failures) {
            Some(permille) => permille,
            None => 0,
        }
    }
}

/// The declared shift, as this entry carries it out.
#[derive(Clone, Copy, Debug)]
struct DeclaredShift {
    /// The index of the receiving region.
    to: usize,
    target_permille: u64,
    /// The fraction of the arrivals that is sent to the receiving region now.
    step_permille: u64,
    state: ShiftState,
    reason: ShiftReason,
    step_back_count: u32,
    /// Absorbed intervals to wait before the next step forward.
    wait_intervals: u32,
    /// Requests due to the receiving region and not yet picked for it, in thousandths.
    owed_permille: u64,
}

/// Progress of a declared shift at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ShiftProgress {
    /// The percentage of the traffic that is sent to the receiving region now.
    pub step_percent: u32,
    /// The declared target percentage; 0 after the shift was deleted.
    pub target_percent: u32,
    /// Whether the shift moves, pauses, steps back or is done.
    pub state: ShiftState,
    /// The reason for the state.
    pub reason: ShiftReason,
}

/// Limits and paces the traffic of one service that leaves its home region.
#[derive(Clone, Debug)]
pub struct ShiftController {
    cap: Cap,
    interval_ends_us: TimeUs,
    /// The fraction of the arrivals that may leave the home region in this interval.
    ceiling_permille: u64,
    /// Thousandths of a request that may still leave the home region.
    credit_permille: u64,
    arrivals: u64,
    /// Arrivals of this interval that left the home region.
    moved: u64,
    home: AnswerStats,
    remote: AnswerStats,
    baseline_latency_us: Option<u64>,
    baseline_failures_permille: u64,
    declared: Option<DeclaredShift>,
}

impl ShiftController {
    /// A controller without moved traffic or a declared shift; the first interval allows the cap.
    #[must_use]
    pub fn new(cap: Cap) -> Self {
        Self {
            cap,
            interval_ends_us: TimeUs(0),
            ceiling_permille: u64::from(cap.percent) * 10,
            credit_permille: 0,
            arrivals: 0,
            moved: 0,
            home: AnswerStats::default(),
            remote: AnswerStats::default(),
            baseline_latency_us: None,
            baseline_failures_permille: 0,
            declared: None,
        }
    }

    /// Replaces the cap. A lower one takes effect at once, a higher one at the next interval.
    pub fn set_cap(&mut self, cap: Cap) {
        let cap_permille = u64::from(cap.percent) * 10;
        let old_permille = u64::from(self.cap.percent) * 10;
        let moved_permille = self.ceiling_permille.saturating_sub(old_permille);
        self.ceiling_permille = self.ceiling_permille.min(moved_permille + cap_permille);
        self.cap = cap;
    }

    /// Sets the declared shift: the receiving region's index and the target in percent. `None`
    /// moves the traffic back step by step; another receiving region starts again from 0.
    pub fn set_target(&mut self, target: Option<(usize, u32)>) {
        let Some((to, target_percent)) = target else {
            if let Some(declared) = &mut self.declared {
                declared.target_permille = 0;
            }
            return;
        };
        let target_permille = u64::from(target_percent.min(100)) * 10;
        match &mut self.declared {
            Some(declared) if declared.to == to => declared.target_permille = target_permille,
            _ => {
                self.declared = Some(DeclaredShift {
                    to,
                    target_permille,
                    step_permille: 0,
                    state: ShiftState::Moving,
                    reason: ShiftReason::Waiting,
                    step_back_count: 0,
                    wait_intervals: 0,
                    owed_permille: 0,
                });
            }
        }
    }

    /// Counts an arrival and returns the region that the declared shift picks for it, if any.
    pub fn record_arrival(&mut self, now_us: TimeUs) -> Option<usize> {
        self.advance(now_us);
        self.arrivals += 1;
        self.credit_permille += self.ceiling_permille;
        let declared = self.declared.as_mut()?;
        declared.owed_permille += declared.step_permille;
        if declared.owed_permille < REQUEST_PERMILLE {
            return None;
        }
        declared.owed_permille -= REQUEST_PERMILLE;
        Some(declared.to)
    }

    /// Whether the cap allows one more request to leave the home region.
    #[must_use]
    pub const fn may_move(&self) -> bool {
        self.credit_permille >= REQUEST_PERMILLE
    }

    /// Counts a request that leaves the home region.
    pub const fn record_moved(&mut self) {
        self.credit_permille = self.credit_permille.saturating_sub(REQUEST_PERMILLE);
        self.moved += 1;
    }

    /// Counts an answer from the home region or a remote one. `latency_us` excludes the network
    /// round trip; `None` is a failure.
    pub const fn record_answer(&mut self, remote: bool, latency_us: Option<u64>) {
        let stats = match remote {
            true => &mut self.remote,
            false => &mut self.home,
        };
        match latency_us {
            Some(latency_us) => {
                stats.answers += 1;
                stats.total_latency_us += latency_us;
            }
            None => stats.failures += 1,
        }
    }

    /// Ends the interval if it has lasted long enough and had enough arrivals; then sets the next
    /// ceiling and step.
    pub fn advance(&mut self, now_us: TimeUs) {
        if self.interval_ends_us == TimeUs(0) {
            self.interval_ends_us = now_us.after_ms(self.cap.interval_ms);
        }
        if !self.interval_ends_us.reached(now_us) || self.arrivals < ARRIVALS_MIN {
            return;
        }
        let moved_permille = (self.moved * 1_000 / self.arrivals).min(1_000);
        let verdict = self.verdict();
        self.update_baseline();
        let cap_permille = u64::from(self.cap.percent) * 10;
        self.ceiling_permille = match verdict {
            Verdict::Absorbed => (moved_permille + cap_permille).min(1_000),
            Verdict::Pause(_) | Verdict::StepBack(_) => moved_permille.max(1),
        };
        self.update_step(verdict, moved_permille, cap_permille);
        self.interval_ends_us = now_us.after_ms(self.cap.interval_ms);
        self.credit_permille = self.credit_permille.min(REQUEST_PERMILLE);
        self.arrivals = 0;
        self.moved = 0;
        self.home = AnswerStats::default();
        self.remote = AnswerStats::default();
    }

    /// Progress of the declared shift.
    #[must_use]
    pub fn progress(&self) -> Option<ShiftProgress> {
        self.declared.map(|declared| ShiftProgress {
            step_percent: (declared.step_permille / 10) as u32,
            target_percent: (declared.target_permille / 10) as u32,
            state: declared.state,
            reason: declared.reason,
        })
    }

    /// The fraction of the traffic that may leave the home region in this interval, in thousandths.
    #[must_use]
    pub const fn ceiling_permille(&self) -> u64 {
        self.ceiling_permille
    }

    fn verdict(&self) -> Verdict {
        if self.moved == 0 {
            return Verdict::Absorbed;
        }
        if self.remote.answers + self.remote.failures == 0 {
            return Verdict::Pause(ShiftReason::NoAnswers);
        }
        let failures_permille = self.remote.failures_permille();
        let baseline_permille = self.baseline_failures_permille;
        if failures_permille > baseline_permille + STEP_BACK_FAILURES_PERMILLE {
            return Verdict::StepBack(ShiftReason::Failures);
        }
        let latency_percent = match (self.remote.mean_us(), self.baseline_latency_us) {
            (Some(remote_us), Some(baseline_us)) if self.remote.answers >= ANSWERS_MIN => {
                remote_us * 100 / baseline_us.max(1)
            }
            _ => 0,
        };
        match latency_percent {
            percent if percent > STEP_BACK_LATENCY_PERCENT => {
                Verdict::StepBack(ShiftReason::Latency)
            }
            percent if percent > PAUSE_LATENCY_PERCENT => Verdict::Pause(ShiftReason::Latency),
            _ if failures_permille > baseline_permille + PAUSE_FAILURES_PERMILLE => {
                Verdict::Pause(ShiftReason::Failures)
            }
            _ => Verdict::Absorbed,
        }
    }

    /// Updates the baseline from the home region's answers. Before there is a baseline, remote
    /// answers stand in when the home region has given too few.
    fn update_baseline(&mut self) {
        let stats = match (self.home.answers >= ANSWERS_MIN, self.baseline_latency_us) {
            (true, _) => &self.home,
            (false, None) => &self.remote,
            (false, Some(_)) => return,
        };
        let Some(mean_us) = stats.mean_us() else {
            return;
        };
        let old_us = self.baseline_latency_us.unwrap_or(mean_us);
        self.baseline_latency_us =
            Some((old_us * (BASELINE_SMOOTHING - 1) + mean_us) / BASELINE_SMOOTHING);
        self.baseline_failures_permille = stats.failures_permille();
    }

    /// Moves the declared shift one step towards its target, or pauses it or steps it back, as the
    /// verdict demands.
    fn update_step(&mut self, verdict: Verdict, moved_permille: u64, cap_permille: u64) {
        let ceiling_permille = self.ceiling_permille;
        let Some(declared) = &mut self.declared else {
            return;
        };
        let falls_short = moved_permille + SHORTFALL_PERMILLE < declared.step_permille;
        if declared.target_permille < declared.step_permille {
            let back_permille = declared.step_permille.saturating_sub(cap_permille);
            declared.step_permille = back_permille.max(declared.target_permille);
            (declared.state, declared.reason) = (ShiftState::Moving, ShiftReason::Absorbed);
            return;
        }
        (declared.state, declared.reason) = match verdict {
            Verdict::StepBack(reason) => {
                declared.step_permille = declared.step_permille.saturating_sub(cap_permille);
                declared.wait_intervals = 1 << declared.step_back_count.min(WAIT_MAX_DOUBLINGS);
                declared.step_back_count += 1;
                (ShiftState::SteppingBack, reason)
            }
            Verdict::Pause(reason) => (ShiftState::Paused, reason),
            Verdict::Absorbed if declared.wait_intervals > 0 => {
                declared.wait_intervals -= 1;
                (ShiftState::Paused, ShiftReason::Waiting)
            }
            Verdict::Absorbed if falls_short => (ShiftState::Paused, ShiftReason::NoRoom),
            Verdict::Absorbed => {
                let next_permille = declared.step_permille + cap_permille;
                let limit_permille = declared.target_permille.min(ceiling_permille);
                declared.step_permille = next_permille
                    .min(limit_permille)
                    .max(declared.step_permille);
                match declared.step_permille == declared.target_permille {
                    true => (ShiftState::Done, ShiftReason::Absorbed),
                    false => (ShiftState::Moving, ShiftReason::Absorbed),
                }
            }
        };
    }
}
