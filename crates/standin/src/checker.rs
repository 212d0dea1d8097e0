//! Judges the records of callers and upstreams against the invariants, without input or output.

use crate::record::{
    AnswerCheck, Attempt, AttemptId, AttemptResult, Request, RequestNumber, Run, RunState,
};
use std::collections::{BTreeMap, BTreeSet};
use strum::{Display, EnumIter};
use types::{EntryName, Outcome, TimeUs, UpstreamName};

/// How long before its deadline an entry may give up an attempt.
const EARLY_DEADLINE_US: u64 = 100_000;

/// A process that was killed or frozen on purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An entry, from this time on.
    Entry {
        /// Its name.
        name: EntryName,
        /// When it failed.
        at_us: TimeUs,
    },
    /// An upstream.
    Upstream {
        /// Its name.
        name: UpstreamName,
    },
}

/// An upstream that may get no new work from a time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Its name.
    pub upstream: UpstreamName,
    /// A run that starts later breaks the invariant.
    pub latest_start_us: TimeUs,
}

/// Everything that a verdict rests on.
#[derive(Clone, Copy, Debug)]
pub struct History<'a> {
    /// The callers' records.
    pub requests: &'a [Request],
    /// The upstreams' records.
    pub runs: &'a [Run],
    /// What was killed or frozen.
    pub failures: &'a [Failure],
    /// What left.
    pub departures: &'a [Departure],
}

/// The invariants that records can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A request that isn't idempotent runs at most once.
    RunTwice,
    /// What a caller was told did not run did not run.
    DidNotRun,
    /// What a caller was told finished has one run that finished for this attempt.
    FinishedOnce,
    /// A finished answer is the caller's own.
    OwnAnswer,
    /// A finished answer is whole.
    WholeAnswer,
    /// No request in flight is cut off but by a failure.
    CutOff,
    /// A leaving upstream gets no new work.
    NoWorkAfterLeaving,
}

/// One breach of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request that shows it.
    pub request: RequestNumber,
}

/// What the records show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests of the callers.
    pub sent: u64,
    /// Those that finished.
    pub finished: u64,
    /// Those that did not run.
    pub not_run: u64,
    /// Those that may have run.
    pub unknown: u64,
    /// Every breach.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// How many breaches of an invariant there are.
    #[must_use]
    pub fn count(&self, invariant: Invariant) -> usize {
        self.violations
            .iter()
            .filter(|violation| violation.invariant == invariant)
            .count()
    }

    /// Whether every invariant held and something finished.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.finished > 0
    }
}

/// Judges the evidence.
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
