//! The checker accepts good records and fails on a made-up bad record for each invariant.

use standin::{
    checker::{Departure, Evidence, Failure, Invariant, Verdict, check},
    record::{Attempt, AttemptId, Body, Request, RequestNumber, Run, RunEnding, Told},
};
use strum::IntoEnumIterator;
use types::{EntryName, ServiceName, TimeUs, UpstreamName};

fn attempt(told: Told) -> Attempt {
    Attempt {
        entry: EntryName::new("entry-1").unwrap(),
        started_us: TimeUs(1_000),
        deadline_us: TimeUs(2_000_000),
        ended_us: TimeUs(9_000),
        told,
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

fn run(attempt: u32, ending: RunEnding) -> Run {
    Run {
        upstream: UpstreamName::new("order-1").unwrap(),
        attempt: AttemptId {
            request: RequestNumber(7),
            attempt,
        },
        started_us: TimeUs(2_000),
        ending,
    }
}

fn judge(attempts: Vec<Attempt>, runs: &[Run]) -> Verdict {
    judge_with(attempts, runs, &[], &[])
}

fn judge_with(
    attempts: Vec<Attempt>,
    runs: &[Run],
    failures: &[Failure],
    departures: &[Departure],
) -> Verdict {
    check(&Evidence {
        requests: &[request(attempts)],
        runs,
        failures,
        departures,
    })
}

fn departure(closed_us: u64) -> Departure {
    Departure {
        upstream: UpstreamName::new("order-1").unwrap(),
        closed_us: TimeUs(closed_us),
    }
}

/// A record that breaks this invariant and no other.
fn bad_record(invariant: Invariant) -> Verdict {
    let finished = || vec![attempt(Told::Finished(Body::Own))];
    let one_run = [run(1, RunEnding::Finished)];
    match invariant {
        Invariant::RunTwice => judge(
            finished(),
            &[run(1, RunEnding::Cut), run(1, RunEnding::Finished)],
        ),
        Invariant::DidNotRun => judge(vec![attempt(Told::DidNotRun(None))], &one_run),
        Invariant::FinishedOnce => judge(finished(), &[run(1, RunEnding::Cut)]),
        Invariant::OwnAnswer => judge(vec![attempt(Told::Finished(Body::Foreign))], &one_run),
        Invariant::WholeAnswer => judge(vec![attempt(Told::Finished(Body::Damaged))], &one_run),
        Invariant::CutOff => judge(vec![attempt(Told::Broken)], &[run(1, RunEnding::Cut)]),
        Invariant::NoWorkAfterLeaving => judge_with(finished(), &one_run, &[], &[departure(1_999)]),
    }
}

#[test]
fn each_invariant_fails_on_its_bad_record() {
    for invariant in Invariant::iter() {
        let verdict = bad_record(invariant);
        assert_eq!(verdict.count(invariant), 1, "{invariant}: {verdict:?}");
        assert_eq!(verdict.violations.len(), 1, "{invariant}: {verdict:?}");
        assert!(!verdict.holds(), "{invariant}");
    }
}

#[test]
fn a_good_record_holds() {
    let resent = vec![
        attempt(Told::DidNotRun(None)),
        attempt(Told::Finished(Body::Own)),
    ];
    let verdict = judge_with(
        resent,
        &[run(2, RunEnding::Finished)],
        &[],
        &[departure(2_000)],
    );
    assert!(verdict.holds(), "{verdict:?}");
    assert_eq!((verdict.sent, verdict.finished), (1, 1));
}

#[test]
fn a_run_of_an_attempt_that_did_not_run_is_found_beside_a_finished_one() {
    let resent = vec![
        attempt(Told::DidNotRun(None)),
        attempt(Told::Finished(Body::Own)),
    ];
    let verdict = judge(
        resent,
        &[run(1, RunEnding::Cut), run(2, RunEnding::Finished)],
    );
    assert_eq!(verdict.count(Invariant::DidNotRun), 1);
    assert_eq!(verdict.count(Invariant::RunTwice), 1);
}

#[test]
fn a_killed_entry_explains_what_it_cut_off_afterwards_only() {
    let failure = |at_us| {
        [Failure::Entry {
            name: EntryName::new("entry-1").unwrap(),
            at_us: TimeUs(at_us),
        }]
    };
    let broken = || vec![attempt(Told::Broken)];
    assert_eq!(
        judge_with(broken(), &[], &failure(9_000), &[])
            .violations
            .len(),
        0
    );
    assert_eq!(
        judge_with(broken(), &[], &failure(9_001), &[])
            .violations
            .len(),
        1
    );
}

#[test]
fn an_unknown_outcome_before_the_deadline_is_a_cut_off() {
    let mut late = attempt(Told::Unknown(None));
    assert_eq!(judge(vec![late.clone()], &[]).count(Invariant::CutOff), 1);
    late.ended_us = late.deadline_us;
    assert_eq!(judge(vec![late], &[]).count(Invariant::CutOff), 0);
}

#[test]
fn records_in_which_nothing_finished_do_not_hold() {
    let verdict = judge(vec![attempt(Told::DidNotRun(None))], &[]);
    assert!(verdict.violations.is_empty());
    assert!(!verdict.holds());
}
