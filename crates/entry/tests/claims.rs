//! Requests with an idempotency key that are sent again through the same or another entry run at
//! most once.

mod support;

use route::{Ending, RequestId, Settled};
use support::{CallerResult, Cluster, DEADLINE_MS, DECLARED_INDEX, Run, key};
use types::{CONFIG_LEASE_MS, Outcome, Refusal};

const ANSWER: &[u8] = b"paid";
const FINISHED: Ending = Ending::Finished { status: 200 };

fn result(cluster: &Cluster, entry: usize, request: RequestId) -> Option<&CallerResult> {
    cluster.results.get(&(entry, request))
}

fn settled(cluster: &Cluster, entry: usize, request: RequestId) -> Option<Settled> {
    match result(cluster, entry, request) {
        Some(CallerResult::Settled(settled)) => Some(*settled),
        Some(CallerResult::Answer { .. }) | None => None,
    }
}

/// Sends a request with a key to an entry and waits until it runs at the upstream.
fn send_until_running(cluster: &mut Cluster, entry: usize, text: &str) -> Run {
    let request = cluster.send(entry, Some(&key(text)));
    cluster.advance_ms(100);
    let run = cluster.runs.last().copied().expect("the request runs");
    assert_eq!((run.entry, run.request), (entry, request));
    run
}

#[test]
fn a_resend_to_another_entry_gets_the_first_answer_and_does_not_run() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    cluster.end(first, FINISHED, Some(ANSWER));
    let resend = cluster.send(1, Some(&key("a")));
    cluster.advance_ms(100);
    let answer = CallerResult::Answer {
        status: 200,
        body: ANSWER.to_vec(),
    };
    assert_eq!(result(&cluster, 1, resend), Some(&answer));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_resend_while_the_first_runs_waits_for_its_answer() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    let resend = cluster.send(3, Some(&key("a")));
    cluster.advance_ms(500);
    assert_eq!(result(&cluster, 3, resend), None);
    cluster.end(first, FINISHED, Some(ANSWER));
    cluster.advance_ms(300);
    assert!(matches!(
        result(&cluster, 3, resend),
        Some(CallerResult::Answer { .. })
    ));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_resend_after_the_first_entry_died_has_an_unknown_outcome() {
    let mut cluster = Cluster::new(5);
    send_until_running(&mut cluster, 0, "a");
    cluster.kill(0);
    let resend = cluster.send(2, Some(&key("a")));
    cluster.advance_ms(DEADLINE_MS + 200);
    let settled = settled(&cluster, 2, resend).expect("the resend is refused at its deadline");
    assert_eq!(settled.outcome, Outcome::Unknown);
    assert_eq!(settled.refusal, Some(Refusal::Duplicate));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_resend_runs_once_the_first_is_known_not_to_have_run() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    let mut refused = 0;
    for _ in 0..DEADLINE_MS / 100 + 1 {
        while refused < cluster.runs.len() {
            cluster.end(cluster.runs[refused], Ending::Refused, None);
            refused += 1;
        }
        cluster.advance_ms(100);
    }
    let first_result =
        settled(&cluster, 0, first.request).expect("the first is settled by its deadline");
    assert_eq!(first_result.outcome, Outcome::DidNotRun);
    let runs = cluster.runs.len();
    send_until_running(&mut cluster, 1, "a");
    assert_eq!(cluster.runs.len(), runs + 1);
}

#[test]
fn a_resend_after_a_broken_attempt_never_runs_again() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    cluster.end(first, Ending::Broken, None);
    assert_eq!(
        settled(&cluster, 0, first.request).map(|s| s.outcome),
        Some(Outcome::Unknown)
    );
    let resend = cluster.send(1, Some(&key("a")));
    cluster.advance_ms(DEADLINE_MS + 200);
    assert_eq!(
        settled(&cluster, 1, resend).map(|s| s.outcome),
        Some(Outcome::Unknown)
    );
    assert_eq!(cluster.runs.len(), 1);
}

// Guards against a request that holds a claim and is sent again after a broken attempt, since its service was
// declared idempotent while it waited for the claim: it ran twice, and its claim could end as "not run".
#[test]
fn a_claim_binds_after_its_service_is_declared_idempotent() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    cluster.advance_ms(DEADLINE_MS / 2);
    let second = cluster.send(1, Some(&key("a")));
    cluster.declare_idempotent(DECLARED_INDEX + 1);
    let mut refused = 0;
    while settled(&cluster, 0, first.request).is_none() {
        while refused < cluster.runs.len() {
            cluster.end(cluster.runs[refused], Ending::Refused, None);
            refused += 1;
        }
        cluster.advance_ms(100);
    }
    cluster.advance_ms(200);
    let runs = cluster.runs.len();
    let run = cluster.runs[runs - 1];
    assert_eq!(run.request, second, "the second request holds the claim");
    cluster.end(run, Ending::Broken, None);
    cluster.advance_ms(200);
    assert_eq!(cluster.runs.len(), runs);
    let outcome = settled(&cluster, 1, second).map(|settled| settled.outcome);
    assert_eq!(outcome, Some(Outcome::Unknown));
}

#[test]
fn restarted_holders_keep_their_claims() {
    let mut cluster = Cluster::new(5);
    let first = send_until_running(&mut cluster, 0, "a");
    cluster.end(first, FINISHED, Some(ANSWER));
    for entry in 1..5 {
        cluster.kill(entry);
        cluster.restart(entry);
        cluster.advance_ms(2_000);
    }
    let resend = cluster.send(3, Some(&key("a")));
    cluster.advance_ms(100);
    assert!(matches!(
        result(&cluster, 3, resend),
        Some(CallerResult::Answer { .. })
    ));
    assert_eq!(cluster.runs.len(), 1);
}

/// A holder that restarts may first hear a replica that lags behind, whose layout has epoch 0 and
/// no entries. By that layout it must not serve claims as if none were held.
#[test]
fn holders_that_restart_with_a_lagging_replica_keep_their_claims() {
    let mut cluster = Cluster::new(5);
    let keys = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for text in keys {
        let first = send_until_running(&mut cluster, 0, text);
        cluster.end(first, FINISHED, Some(ANSWER));
    }
    for entry in 1..5 {
        cluster.kill(entry);
        cluster.set_index(1);
        for name in ["control-2", "control-3"] {
            cluster.replica(name).reachable = false;
        }
        cluster.restart(entry);
        cluster.advance_ms(100);
        cluster.set_index(DECLARED_INDEX);
        for name in ["control-2", "control-3"] {
            cluster.replica(name).reachable = true;
        }
        cluster.advance_ms(2_000);
    }
    for text in keys {
        let resend = cluster.send(3, Some(&key(text)));
        cluster.advance_ms(100);
        assert!(
            matches!(
                result(&cluster, 3, resend),
                Some(CallerResult::Answer { .. })
            ),
            "{text}"
        );
    }
    assert_eq!(cluster.runs.len(), keys.len());
}

/// The claim is decided within `send`, so the request runs, is refused, and then the caller leaves.
#[test]
fn a_caller_that_left_after_a_refused_attempt_leaves_the_key_free() {
    let mut cluster = Cluster::new(5);
    let request = cluster.send(0, Some(&key("a")));
    if let Some(run) = cluster.runs.pop() {
        assert_eq!(run.request, request);
        cluster.end(run, Ending::Refused, None);
    }
    cluster.end(Run { entry: 0, request }, Ending::Cancelled, None);
    cluster.advance_ms(2_000);
    cluster.runs.clear();
    send_until_running(&mut cluster, 1, "a");
}

#[test]
fn a_refusal_before_the_claim_of_a_key_has_an_unknown_outcome() {
    let mut cluster = Cluster::new(5);
    cluster.now_ms += CONFIG_LEASE_MS + 1_000;
    let request = cluster.send(0, Some(&key("a")));
    let settled = settled(&cluster, 0, request).expect("the entry refuses it without a lease");
    assert_eq!(settled.outcome, Outcome::Unknown);
    assert_eq!(settled.refusal, Some(Refusal::ConfigurationLease));
}
