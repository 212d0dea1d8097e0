//! The checker accepts a correct history and finds the violation in a constructed history for each
//! invariant.

use standin::{
    checker::{Departure, Failure, History, Invariant, Verdict, check},
    record::{
        AnswerCheck, Attempt, AttemptId, AttemptResult, Request, RequestNumber, Run, RunState,
    },
};
use strum::IntoEnumIterator;
use types::{EntryName, ServiceName, TimeUs, UpstreamName};

fn attempt(result: AttemptResult) -> Attempt {
    Attempt {
        entry: EntryName::new("entry-1").unwrap(),
        started_us: TimeUs(1_000),
        deadline_us: TimeUs(2_000_000),
        ended_us: TimeUs(9_000),
        result,
    }
}

fn request(attempts: Vec<Attempt>) -> Request {
    Request {
        number: RequestNumber(7),
        service: ServiceName::new("order").unwrap(),
        idempotent: false,
        attempts,
    }
}

fn run(attempt: u32, state: RunState) -> Run {
    Run {
        upstream: UpstreamName::new("order-1").unwrap(),
        attempt: AttemptId {
            request: RequestNumber(7),
            attempt,
        },
        started_us: TimeUs(2_000),
        state,
    }
}

fn check_records(attempts: Vec<Attempt>, runs: &[Run]) -> Verdict {
    check_records_with(attempts, runs, &[], &[])
}

fn check_records_with(
    attempts: Vec<Attempt>,
    runs: &[Run],
    failures: &[Failure],
    departures: &[Departure],
) -> Verdict {
    check(&History {
        requests: &[request(attempts)],
        runs,
        failures,
        departures,
    })
}

fn departure(latest_start_us: u64) -> Departure {
    Departure {
        upstream: UpstreamName::new("order-1").unwrap(),
        latest_start_us: TimeUs(latest_start_us),
    }
}

/// Checks a history that breaks this invariant and no other.
fn bad_record(invariant: Invariant) -> Verdict {
    let finished = || vec![attempt(AttemptResult::Finished(AnswerCheck::Own))];
    let one_run = [run(1, RunState::Finished)];
    match invariant {
        Invariant::RunTwice => check_records(
            finished(),
            &[run(1, RunState::Aborted), run(1, RunState::Finished)],
        ),
        Invariant::DidNotRun => {
            check_records(vec![attempt(AttemptResult::DidNotRun(None))], &one_run)
        }
        Invariant::FinishedOnce => check_records(finished(), &[run(1, RunState::Aborted)]),
        Invariant::OwnAnswer => check_records(
            vec![attempt(AttemptResult::Finished(AnswerCheck::Foreign))],
            &one_run,
        ),
        Invariant::WholeAnswer => check_records(
            vec![attempt(AttemptResult::Finished(AnswerCheck::Damaged))],
            &one_run,
        ),
        Invariant::CutOff => check_records(
            vec![attempt(AttemptResult::Broken)],
            &[run(1, RunState::Aborted)],
        ),
        Invariant::NoWorkAfterLeaving => {
            check_records_with(finished(), &one_run, &[], &[departure(1_999)])
        }
    }
}

#[test]
fn each_invariant_fails_on_its_bad_record() {
    for invariant in Invariant::iter() {
        let verdict = bad_record(invariant);
        assert_eq!(verdict.count(invariant), 1, "{invariant}: {verdict:?}");
        assert_eq!(verdict.violations.len(), 1, "{invariant}: {verdict:?}");
        assert!(!verdict.passed(), "{invariant}");
    }
}

#[test]
fn a_good_record_holds() {
    let resent = vec![
        attempt(AttemptResult::DidNotRun(None)),
        attempt(AttemptResult::Finished(AnswerCheck::Own)),
    ];
    let verdict = check_records_with(
        resent,
        &[run(2, RunState::Finished)],
        &[],
        &[departure(2_000)],
    );
    assert!(verdict.passed(), "{verdict:?}");
    assert_eq!((verdict.sent, verdict.finished), (1, 1));
}

#[test]
fn a_run_of_an_attempt_reported_as_not_run_is_found_although_another_finished() {
    let resent = vec![
        attempt(AttemptResult::DidNotRun(None)),
        attempt(AttemptResult::Finished(AnswerCheck::Own)),
    ];
    let verdict = check_records(
        resent,
        &[run(1, RunState::Aborted), run(2, RunState::Finished)],
    );
    assert_eq!(verdict.count(Invariant::DidNotRun), 1);
    assert_eq!(verdict.count(Invariant::RunTwice), 1);
}

#[test]
fn a_killed_entry_explains_only_attempts_that_ended_later() {
    let failure = |at_us| {
        [Failure::Entry {
            name: EntryName::new("entry-1").unwrap(),
            at_us: TimeUs(at_us),
        }]
    };
    let broken = || vec![attempt(AttemptResult::Broken)];
    assert_eq!(
        check_records_with(broken(), &[], &failure(9_000), &[])
            .violations
            .len(),
        0
    );
    assert_eq!(
        check_records_with(broken(), &[], &failure(9_001), &[])
            .violations
            .len(),
        1
    );
}

#[test]
fn an_unknown_outcome_before_the_deadline_is_a_cut_off() {
    let mut late = attempt(AttemptResult::Unknown(None));
    assert_eq!(
        check_records(vec![late.clone()], &[]).count(Invariant::CutOff),
        1
    );
    late.ended_us = late.deadline_us;
    assert_eq!(check_records(vec![late], &[]).count(Invariant::CutOff), 0);
}

#[test]
fn records_in_which_nothing_finished_do_not_hold() {
    let verdict = check_records(vec![attempt(AttemptResult::DidNotRun(None))], &[]);
    assert!(verdict.violations.is_empty());
    assert!(!verdict.passed());
}
