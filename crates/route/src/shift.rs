//! Moves of a service's traffic out of the region nearest to the entry, under a cap.
//!
//! One ledger counts every request that goes elsewhere, whether a declared shift, a spill-over, a
//! drain or a loss sends it there. The part that may go elsewhere rises by at most the cap in an
//! interval, and only when what went there before was absorbed.

use serde::Serialize;
use types::{ShiftReason, ShiftState, TimeUs};

/// Arrivals before an interval's part is measured.
const LEAST_ARRIVALS: u64 = 20;
/// Answers before an interval's latency is trusted.
const LEAST_ANSWERS: u64 = 10;
/// Failures above the usual ones that stop a move, in a thousand.
const PAUSE_FAILURES_PERMILLE: u64 = 20;
/// Failures above the usual ones that turn a move back, in a thousand.
const BACK_FAILURES_PERMILLE: u64 = 50;
/// Latency that stops a move, in percent of the usual one.
const PAUSE_LATENCY_PERCENT: u64 = 150;
/// Latency that turns a move back, in percent of the usual one.
const BACK_LATENCY_PERCENT: u64 = 200;
/// Part that a move falls short of its step when the receiving region lacks room, in a thousand.
const SHORTFALL_PERMILLE: u64 = 50;
/// Doublings of the wait after a move has turned back.
const WAIT_DOUBLINGS: u32 = 5;
/// Weight of an interval in the usual latency, as one part of so many.
const USUAL_PARTS: u64 = 8;
/// One request, in the parts that arrivals earn.
const REQUEST_PARTS: u64 = 1_000;

/// The most that moves within one interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Cap {
    /// The most that moves, in percent of the service's traffic.
    pub percent: u32,
    /// The interval.
    pub interval_ms: u64,
}

/// What the receiving region's answers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Absorbed,
    Pause(ShiftReason),
    Back(ShiftReason),
}

/// Answers of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    answers: u64,
    failures: u64,
    latency_us: u64,
}

impl Window {
    const fn mean_us(&self) -> Option<u64> {
        self.latency_us.checked_div(self.answers)
    }

    const fn failures_permille(&self) -> u64 {
        match (self.failures * 1_000).checked_div(self.answers + self.failures) {
            Some(permille) => permille,
            None => 0,
        }
    }
}

/// A declared shift at this entry.
#[derive(Clone, Copy, Debug)]
struct Plan {
    to: usize,
    target_permille: u64,
    step_permille: u64,
    state: ShiftState,
    reason: ShiftReason,
    steps_back: u32,
    wait_intervals: u32,
    owed_parts: u64,
}

/// Progress of a declared shift at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ShiftProgress {
    /// The part of the traffic that is sent to the receiving region.
    pub step_percent: u32,
    /// The part that is asked for.
    pub target_percent: u32,
    /// Where it stands.
    pub state: ShiftState,
    /// Why.
    pub reason: ShiftReason,
}

/// The ledger of one service at one entry.
#[derive(Clone, Debug)]
pub struct Mover {
    cap: Cap,
    interval_ends_us: TimeUs,
    ceiling_permille: u64,
    credit_parts: u64,
    arrivals: u64,
    moved: u64,
    near: Window,
    far: Window,
    usual_latency_us: Option<u64>,
    usual_failures_permille: u64,
    plan: Option<Plan>,
}

impl Mover {
    /// A ledger in which nothing has moved.
    #[must_use]
    pub fn new(cap: Cap) -> Self {
        Self {
            cap,
            interval_ends_us: TimeUs(0),
            ceiling_permille: u64::from(cap.percent) * 10,
            credit_parts: 0,
            arrivals: 0,
            moved: 0,
            near: Window::default(),
            far: Window::default(),
            usual_latency_us: None,
            usual_failures_permille: 0,
            plan: None,
        }
    }

    /// Replaces the cap; a lower one holds at once.
    pub fn set_cap(&mut self, cap: Cap) {
        let cap_permille = u64::from(cap.percent) * 10;
        let old_permille = u64::from(self.cap.percent) * 10;
        let moved_permille = self.ceiling_permille.saturating_sub(old_permille);
        self.ceiling_permille = self.ceiling_permille.min(moved_permille + cap_permille);
        self.cap = cap;
    }

    /// Sets or changes what is declared: a region's index and the part to move in the end.
    pub fn set_target(&mut self, target: Option<(usize, u32)>) {
        let Some((to, target_percent)) = target else {
            if let Some(plan) = &mut self.plan {
                plan.target_permille = 0;
            }
            return;
        };
        let target_permille = u64::from(target_percent.min(100)) * 10;
        match &mut self.plan {
            Some(plan) if plan.to == to => plan.target_permille = target_permille,
            _ => {
                self.plan = Some(Plan {
                    to,
                    target_permille,
                    step_permille: 0,
                    state: ShiftState::Moving,
                    reason: ShiftReason::Waiting,
                    steps_back: 0,
                    wait_intervals: 0,
                    owed_parts: 0,
                });
            }
        }
    }

    /// Counts an arrival; the answer is the region that the shift sends it to.
    pub fn arrived(&mut self, now_us: TimeUs) -> Option<usize> {
        self.roll(now_us);
        self.arrivals += 1;
        self.credit_parts += self.ceiling_permille;
        let plan = self.plan.as_mut()?;
        plan.owed_parts += plan.step_permille;
        if plan.owed_parts < REQUEST_PARTS {
            return None;
        }
        plan.owed_parts -= REQUEST_PARTS;
        Some(plan.to)
    }

    /// Whether one more request may go elsewhere.
    #[must_use]
    pub const fn may_move(&self) -> bool {
        self.credit_parts >= REQUEST_PARTS
    }

    /// Counts a request that goes elsewhere.
    pub const fn moved(&mut self) {
        self.credit_parts = self.credit_parts.saturating_sub(REQUEST_PARTS);
        self.moved += 1;
    }

    /// Counts an answer, without the time of the way; `None` is a failure.
    pub const fn answered(&mut self, elsewhere: bool, latency_us: Option<u64>) {
        let window = match elsewhere {
            true => &mut self.far,
            false => &mut self.near,
        };
        match latency_us {
            Some(latency_us) => {
                window.answers += 1;
                window.latency_us += latency_us;
            }
            None => window.failures += 1,
        }
    }

    /// Ends the interval when its time has come and enough was seen.
    pub fn roll(&mut self, now_us: TimeUs) {
        if self.interval_ends_us == TimeUs(0) {
            self.interval_ends_us = now_us.after_ms(self.cap.interval_ms);
        }
        if !self.interval_ends_us.reached(now_us) || self.arrivals < LEAST_ARRIVALS {
            return;
        }
        let moved_permille = (self.moved * 1_000 / self.arrivals).min(1_000);
        let verdict = self.verdict();
        self.learn_usual();
        let cap_permille = u64::from(self.cap.percent) * 10;
        self.ceiling_permille = match verdict {
            Verdict::Absorbed => (moved_permille + cap_permille).min(1_000),
            Verdict::Pause(_) | Verdict::Back(_) => moved_permille.max(1),
        };
        self.step(verdict, moved_permille, cap_permille);
        self.interval_ends_us = now_us.after_ms(self.cap.interval_ms);
        self.credit_parts = self.credit_parts.min(REQUEST_PARTS);
        self.arrivals = 0;
        self.moved = 0;
        self.near = Window::default();
        self.far = Window::default();
    }

    /// Progress of the declared shift.
    #[must_use]
    pub fn progress(&self) -> Option<ShiftProgress> {
        self.plan.map(|plan| ShiftProgress {
            step_percent: (plan.step_permille / 10) as u32,
            target_percent: (plan.target_permille / 10) as u32,
            state: plan.state,
            reason: plan.reason,
        })
    }

    /// The part of the traffic that may go elsewhere in this interval, in a thousand.
    #[must_use]
    pub const fn ceiling_permille(&self) -> u64 {
        self.ceiling_permille
    }

    fn verdict(&self) -> Verdict {
        if self.moved == 0 {
            return Verdict::Absorbed;
        }
        if self.far.answers + self.far.failures == 0 {
            return Verdict::Pause(ShiftReason::NoAnswers);
        }
        let failures = self.far.failures_permille();
        let usual = self.usual_failures_permille;
        if failures > usual + BACK_FAILURES_PERMILLE {
            return Verdict::Back(ShiftReason::Failures);
        }
        let latency_percent = match (self.far.mean_us(), self.usual_latency_us) {
            (Some(far_us), Some(usual_us)) if self.far.answers >= LEAST_ANSWERS => {
                far_us * 100 / usual_us.max(1)
            }
            _ => 0,
        };
        match latency_percent {
            percent if percent > BACK_LATENCY_PERCENT => Verdict::Back(ShiftReason::Latency),
            percent if percent > PAUSE_LATENCY_PERCENT => Verdict::Pause(ShiftReason::Latency),
            _ if failures > usual + PAUSE_FAILURES_PERMILLE => {
                Verdict::Pause(ShiftReason::Failures)
            }
            _ => Verdict::Absorbed,
        }
    }

    /// Learns the usual latency and failures from the near region, or from the first answers.
    fn learn_usual(&mut self) {
        let window = match (self.near.answers >= LEAST_ANSWERS, self.usual_latency_us) {
            (true, _) => &self.near,
            (false, None) => &self.far,
            (false, Some(_)) => return,
        };
        let Some(mean_us) = window.mean_us() else {
            return;
        };
        let old_us = self.usual_latency_us.unwrap_or(mean_us);
        self.usual_latency_us = Some((old_us * (USUAL_PARTS - 1) + mean_us) / USUAL_PARTS);
        self.usual_failures_permille = window.failures_permille();
    }

    fn step(&mut self, verdict: Verdict, moved_permille: u64, cap_permille: u64) {
        let ceiling_permille = self.ceiling_permille;
        let Some(plan) = &mut self.plan else { return };
        let short = moved_permille + SHORTFALL_PERMILLE < plan.step_permille;
        if plan.target_permille < plan.step_permille {
            let back_permille = plan.step_permille.saturating_sub(cap_permille);
            plan.step_permille = back_permille.max(plan.target_permille);
            (plan.state, plan.reason) = (ShiftState::Moving, ShiftReason::Absorbed);
            return;
        }
        (plan.state, plan.reason) = match verdict {
            Verdict::Back(reason) => {
                plan.step_permille = plan.step_permille.saturating_sub(cap_permille);
                plan.wait_intervals = 1 << plan.steps_back.min(WAIT_DOUBLINGS);
                plan.steps_back += 1;
                (ShiftState::SteppingBack, reason)
            }
            Verdict::Pause(reason) => (ShiftState::Paused, reason),
            Verdict::Absorbed if plan.wait_intervals > 0 => {
                plan.wait_intervals -= 1;
                (ShiftState::Paused, ShiftReason::Waiting)
            }
            Verdict::Absorbed if short => (ShiftState::Paused, ShiftReason::NoRoom),
            Verdict::Absorbed => {
                let next_permille = plan.step_permille + cap_permille;
                let limit_permille = plan.target_permille.min(ceiling_permille);
                plan.step_permille = next_permille.min(limit_permille).max(plan.step_permille);
                match plan.step_permille == plan.target_permille {
                    true => (ShiftState::Done, ShiftReason::Absorbed),
                    false => (ShiftState::Moving, ShiftReason::Absorbed),
                }
            }
        };
    }
}
