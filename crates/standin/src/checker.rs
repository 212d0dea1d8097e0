//! Checks the records of callers and upstreams against the invariants that every run of the system
//! must keep, whatever fails. A pure function over the records, without input or output.

use crate::record::{
    AnswerCheck, Attempt, AttemptId, AttemptResult, Request, RequestNumber, Run, RunState,
};
use std::collections::{BTreeMap, BTreeSet};
use strum::{Display, EnumIter};
use types::{EntryName, Outcome, TimeUs, UpstreamName};

/// How long before the deadline an entry may give up an attempt with an unknown outcome. Earlier,
/// the attempt counts as cut off.
const EARLY_DEADLINE_US: u64 = 100_000;

/// A process that a test killed or paused. It explains interrupted requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An entry failed. It explains attempts through it that ended at `at_us` or later.
    Entry {
        /// The entry's name.
        name: EntryName,
        /// When it was killed or paused.
        at_us: TimeUs,
    },
    /// An upstream failed. It explains all attempts that it ran.
    Upstream {
        /// The upstream's name.
        name: UpstreamName,
    },
}

/// An upstream that was drained or left and must get no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The latest time at which a run may start; a later one is a violation.
    pub latest_start_us: TimeUs,
}

/// The records and known failures that [`check`] examines.
#[derive(Clone, Copy, Debug)]
pub struct History<'a> {
    /// What the callers recorded.
    pub requests: &'a [Request],
    /// What the upstreams recorded.
    pub runs: &'a [Run],
    /// Processes that were killed or paused.
    pub failures: &'a [Failure],
    /// Upstreams that were drained or left.
    pub departures: &'a [Departure],
}

/// The invariants that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A request that isn't idempotent ran at most once, over all its attempts.
    RunTwice,
    /// An attempt that was reported as not run, or not sent, has no run.
    DidNotRun,
    /// An attempt that was reported as finished has exactly one finished run.
    FinishedOnce,
    /// The answer of a finished attempt belongs to this attempt.
    OwnAnswer,
    /// The answer of a finished attempt is complete.
    WholeAnswer,
    /// An attempt that broke, timed out or ended as unknown before its deadline is explained by a
    /// failure.
    CutOff,
    /// No run starts at an upstream after its departure.
    NoWorkAfterLeaving,
}

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that is broken.
    pub invariant: Invariant,
    /// The request that broke it.
    pub request: RequestNumber,
}

/// The result of a check: counts of the requests by outcome, and the violations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests that the callers sent.
    pub sent: u64,
    /// Requests that finished.
    pub finished: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// All violations, in the order in which they were found.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// The number of violations of one invariant.
    #[must_use]
    pub fn count(&self, invariant: Invariant) -> usize {
        self.violations
            .iter()
            .filter(|violation| violation.invariant == invariant)
            .count()
    }

    /// Whether there is no violation and at least one request finished.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.finished > 0
    }
}

/// Checks every invariant over the history.
#[must_use]
pub fn check(history: &History<'_>) -> Verdict {
    let runs = RunIndex::new(history.runs);
    let failures = FailureIndex::new(history.failures);
    let mut verdict = Verdict::default();
    for request in history.requests {
        count_outcome(&mut verdict, request.outcome());
        check_run_twice(&mut verdict, request, &runs);
        for (attempt, id) in attempts_with_ids(request) {
            check_attempt(&mut verdict, attempt, id, &runs);
            check_cut_off(&mut verdict, attempt, id, &runs, &failures);
        }
    }
    check_departures(&mut verdict, history);
    verdict
}

struct RunIndex<'a> {
    by_attempt: BTreeMap<AttemptId, Vec<&'a Run>>,
}

impl<'a> RunIndex<'a> {
    fn new(runs: &'a [Run]) -> Self {
        let mut by_attempt: BTreeMap<AttemptId, Vec<&'a Run>> = BTreeMap::new();
        for run in runs {
            by_attempt.entry(run.attempt).or_default().push(run);
        }
        Self { by_attempt }
    }

    fn of_attempt(&self, id: AttemptId) -> &[&'a Run] {
        self.by_attempt.get(&id).map_or(&[], Vec::as_slice)
    }

    fn count_of_request(&self, request: RequestNumber) -> usize {
        let first = AttemptId {
            request,
            attempt: 0,
        };
        let last = AttemptId {
            request,
            attempt: u32::MAX,
        };
        self.by_attempt
            .range(first..=last)
            .map(|(_, runs)| runs.len())
            .sum()
    }
}

struct FailureIndex<'a> {
    entries: BTreeMap<&'a EntryName, TimeUs>,
    upstreams: BTreeSet<&'a UpstreamName>,
}

impl<'a> FailureIndex<'a> {
    fn new(failures: &'a [Failure]) -> Self {
        let mut index = Self {
            entries: BTreeMap::new(),
            upstreams: BTreeSet::new(),
        };
        for failure in failures {
            match failure {
                Failure::Entry { name, at_us } => {
                    let first_us = index.entries.entry(name).or_insert(*at_us);
                    *first_us = (*first_us).min(*at_us);
                }
                Failure::Upstream { name } => {
                    index.upstreams.insert(name);
                }
            }
        }
        index
    }

    fn explains(&self, attempt: &Attempt, runs: &[&Run]) -> bool {
        let entry_failed = self
            .entries
            .get(&attempt.entry)
            .is_some_and(|at_us| *at_us <= attempt.ended_us);
        entry_failed
            || runs
                .iter()
                .any(|run| self.upstreams.contains(&run.upstream))
    }
}

fn attempts_with_ids(request: &Request) -> impl Iterator<Item = (&Attempt, AttemptId)> {
    request.attempts.iter().zip(1..).map(|(attempt, count)| {
        let id = AttemptId {
            request: request.number,
            attempt: count,
        };
        (attempt, id)
    })
}

fn count_outcome(verdict: &mut Verdict, outcome: Outcome) {
    verdict.sent += 1;
    match outcome {
        Outcome::Finished => verdict.finished += 1,
        Outcome::DidNotRun => verdict.not_run += 1,
        Outcome::Unknown => verdict.unknown += 1,
    }
}

fn add_violation(verdict: &mut Verdict, invariant: Invariant, request: RequestNumber) {
    verdict.violations.push(Violation { invariant, request });
}

fn check_run_twice(verdict: &mut Verdict, request: &Request, runs: &RunIndex<'_>) {
    if !request.idempotent && runs.count_of_request(request.number) > 1 {
        add_violation(verdict, Invariant::RunTwice, request.number);
    }
}

fn check_attempt(verdict: &mut Verdict, attempt: &Attempt, id: AttemptId, runs: &RunIndex<'_>) {
    let runs = runs.of_attempt(id);
    match attempt.result {
        AttemptResult::DidNotRun(_) | AttemptResult::NotSent => {
            if !runs.is_empty() {
                add_violation(verdict, Invariant::DidNotRun, id.request);
            }
        }
        AttemptResult::Finished(body) => {
            let finished = runs
                .iter()
                .filter(|run| run.state == RunState::Finished)
                .count();
            if finished != 1 {
                add_violation(verdict, Invariant::FinishedOnce, id.request);
            }
            match body {
                AnswerCheck::Own => {}
                AnswerCheck::Foreign => add_violation(verdict, Invariant::OwnAnswer, id.request),
                AnswerCheck::Damaged => add_violation(verdict, Invariant::WholeAnswer, id.request),
            }
        }
        AttemptResult::Unknown(_) | AttemptResult::Broken | AttemptResult::TimedOut => {}
    }
}

fn check_cut_off(
    verdict: &mut Verdict,
    attempt: &Attempt,
    id: AttemptId,
    runs: &RunIndex<'_>,
    failures: &FailureIndex<'_>,
) {
    let cut_off = match attempt.result {
        AttemptResult::Finished(_) | AttemptResult::DidNotRun(_) | AttemptResult::NotSent => false,
        AttemptResult::Unknown(_) => {
            attempt.ended_us.after_us(EARLY_DEADLINE_US) < attempt.deadline_us
        }
        AttemptResult::Broken | AttemptResult::TimedOut => true,
    };
    if cut_off && !failures.explains(attempt, runs.of_attempt(id)) {
        add_violation(verdict, Invariant::CutOff, id.request);
    }
}

fn check_departures(verdict: &mut Verdict, history: &History<'_>) {
    for departure in history.departures {
        for run in history.runs {
            if run.upstream == departure.upstream && run.started_us > departure.latest_start_us {
                add_violation(verdict, Invariant::NoWorkAfterLeaving, run.attempt.request);
            }
        }
    }
}
