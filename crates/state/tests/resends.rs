//! Resends with the same request id get the first answer, and how long such answers are kept.

mod resources;

use resources::{apply, command, deployment, put, region};
use state::{Command, RETAIN_MIN_MS, RETAIN_MIN_REQUESTS, RETAINED_MAX_REQUESTS, Rejection, State};

/// The most that a snapshot with [`RETAINED_MAX_REQUESTS`] answers may take, in bytes.
const SNAPSHOT_MAX_BYTES: usize = 6 * 1024 * 1024;

fn change(number: u64, at_ms: u64) -> Command {
    let operation = put(region("gauteng", number as u32 + 1), number);
    command(&format!("r{number}"), at_ms, operation)
}

#[test]
fn a_resend_gets_the_first_answer_and_another_change_an_error() {
    let mut state = State::new();
    let first = command("a", 1, apply(deployment(), false));
    let answer = state.apply(1, &first);
    let stale = command("b", 2, put(region("gauteng", 5), 9));
    let conflict = state.apply(2, &stale);
    assert!(conflict.is_err());
    state
        .apply(3, &command("c", 3, put(region("gauteng", 6), 1)))
        .expect("valid");
    let before = state.clone();
    let resend = Command { at_ms: 4, ..first };
    assert_eq!(state.apply(4, &resend), answer);
    assert_eq!(state.apply(5, &stale), conflict);
    let other = command("a", 6, put(region("gauteng", 7), 2));
    assert_eq!(
        state.apply(6, &other),
        Err(Rejection::RequestIdReused {
            request_id: "a".to_owned()
        })
    );
    assert!(state.resources(None).eq(before.resources(None)));
}

#[test]
fn answers_are_kept_for_a_day_and_for_the_latest_requests() {
    let mut state = State::new();
    let many = RETAIN_MIN_REQUESTS as u64 + 500;
    let answers: Vec<_> = (0..many)
        .map(|number| state.apply(number + 1, &change(number, number)))
        .collect();
    assert_eq!(state.retained_answers() as u64, many);
    assert_eq!(state.apply(many + 1, &change(0, many)), answers[0]);
    let day_later = many + RETAIN_MIN_MS;
    state
        .apply(many + 2, &change(many, day_later))
        .expect("valid");
    assert_eq!(state.retained_answers(), RETAIN_MIN_REQUESTS);
    let oldest_kept = many + 1 - RETAIN_MIN_REQUESTS as u64;
    let resend = change(oldest_kept, day_later);
    assert_eq!(
        state.apply(many + 3, &resend),
        answers[oldest_kept as usize]
    );
    let restored = State::decode(&state.encode().expect("JSON")).expect("the same");
    assert_eq!(restored, state);
}

#[test]
fn changes_are_rejected_rather_than_an_answer_dropped_too_early() {
    let mut state = State::new();
    let max = RETAINED_MAX_REQUESTS as u64;
    for number in 0..max {
        state
            .apply(number + 1, &change(number, 1))
            .expect("there is room");
    }
    let snapshot_bytes = state.encode().expect("JSON").len();
    println!("snapshot with {max} answers: {snapshot_bytes} bytes");
    assert!(snapshot_bytes <= SNAPSHOT_MAX_BYTES);
    let full = state.apply(max + 1, &change(max, 1));
    assert_eq!(full, Err(Rejection::AnswersFull));
    assert!(state.apply(max + 2, &change(0, 1)).is_ok(), "a resend");
    let later = change(max, RETAIN_MIN_MS + 1);
    assert!(state.apply(max + 3, &later).is_ok(), "a day later");
}
