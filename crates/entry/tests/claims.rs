//! Requests with an idempotency key, sent again to the same and to other entries.

mod support;

use route::{Ending, RequestId, Settled};
use support::{DEADLINE_MS, DECLARED, Run, Told, World, key};
use types::{CONFIG_LEASE_MS, Outcome, Refusal};

const ANSWER: &[u8] = b"paid";
const FINISHED: Ending = Ending::Finished { status: 200 };

fn told(world: &World, entry: usize, request: RequestId) -> Option<&Told> {
    world.told.get(&(entry, request))
}

fn settled(world: &World, entry: usize, request: RequestId) -> Option<Settled> {
    match told(world, entry, request) {
        Some(Told::Settled(settled)) => Some(*settled),
        Some(Told::Answer { .. }) | None => None,
    }
}

/// Sends a request with a key through an entry until its upstream has it.
fn run(world: &mut World, entry: usize, text: &str) -> Run {
    let request = world.send(entry, Some(&key(text)));
    world.pass_ms(100);
    let run = world.runs.last().copied().expect("the request runs");
    assert_eq!((run.entry, run.request), (entry, request));
    run
}

#[test]
fn a_resend_to_another_entry_gets_the_first_answer_and_runs_nothing() {
    let mut world = World::new(5);
    let first = run(&mut world, 0, "a");
    world.end(first, FINISHED, Some(ANSWER));
    let again = world.send(1, Some(&key("a")));
    world.pass_ms(100);
    let answer = Told::Answer {
        status: 200,
        body: ANSWER.to_vec(),
    };
    assert_eq!(told(&world, 1, again), Some(&answer));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_resend_while_the_first_runs_waits_for_its_answer() {
    let mut world = World::new(5);
    let first = run(&mut world, 0, "a");
    let again = world.send(3, Some(&key("a")));
    world.pass_ms(500);
    assert_eq!(told(&world, 3, again), None);
    world.end(first, FINISHED, Some(ANSWER));
    world.pass_ms(300);
    assert!(matches!(told(&world, 3, again), Some(Told::Answer { .. })));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_resend_after_the_first_entry_died_is_told_that_it_may_have_run() {
    let mut world = World::new(5);
    run(&mut world, 0, "a");
    world.kill(0);
    let again = world.send(2, Some(&key("a")));
    world.pass_ms(DEADLINE_MS + 200);
    let settled = settled(&world, 2, again).expect("settled");
    assert_eq!(settled.outcome, Outcome::Unknown);
    assert_eq!(settled.refusal, Some(Refusal::Duplicate));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_resend_after_a_proof_that_the_first_did_not_run_runs() {
    let mut world = World::new(5);
    let first = run(&mut world, 0, "a");
    let mut refused = 0;
    for _ in 0..DEADLINE_MS / 100 + 1 {
        while refused < world.runs.len() {
            world.end(world.runs[refused], Ending::Refused, None);
            refused += 1;
        }
        world.pass_ms(100);
    }
    let first_told = settled(&world, 0, first.request).expect("settled");
    assert_eq!(first_told.outcome, Outcome::DidNotRun);
    let runs = world.runs.len();
    run(&mut world, 1, "a");
    assert_eq!(world.runs.len(), runs + 1);
}

#[test]
fn a_resend_after_a_broken_attempt_never_runs_again() {
    let mut world = World::new(5);
    let first = run(&mut world, 0, "a");
    world.end(first, Ending::Broken, None);
    assert_eq!(
        settled(&world, 0, first.request).map(|s| s.outcome),
        Some(Outcome::Unknown)
    );
    let again = world.send(1, Some(&key("a")));
    world.pass_ms(DEADLINE_MS + 200);
    assert_eq!(
        settled(&world, 1, again).map(|s| s.outcome),
        Some(Outcome::Unknown)
    );
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_holder_that_restarted_does_not_forget() {
    let mut world = World::new(5);
    let first = run(&mut world, 0, "a");
    world.end(first, FINISHED, Some(ANSWER));
    for entry in 1..5 {
        world.kill(entry);
        world.restart(entry);
        world.pass_ms(2_000);
    }
    let again = world.send(3, Some(&key("a")));
    world.pass_ms(100);
    assert!(matches!(told(&world, 3, again), Some(Told::Answer { .. })));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_holder_that_first_hears_a_lagging_replica_does_not_forget() {
    let mut world = World::new(5);
    let keys = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for text in keys {
        let first = run(&mut world, 0, text);
        world.end(first, FINISHED, Some(ANSWER));
    }
    for entry in 1..5 {
        world.kill(entry);
        world.set_index(1);
        for name in ["control-2", "control-3"] {
            world.replica(name).reachable = false;
        }
        world.restart(entry);
        world.pass_ms(100);
        world.set_index(DECLARED);
        for name in ["control-2", "control-3"] {
            world.replica(name).reachable = true;
        }
        world.pass_ms(2_000);
    }
    for text in keys {
        let again = world.send(3, Some(&key(text)));
        world.pass_ms(100);
        assert!(
            matches!(told(&world, 3, again), Some(Told::Answer { .. })),
            "{text}"
        );
    }
    assert_eq!(world.runs.len(), keys.len());
}

#[test]
fn a_caller_that_left_before_the_claim_leaves_the_key_free() {
    let mut world = World::new(5);
    let request = world.send(0, Some(&key("a")));
    if let Some(run) = world.runs.pop() {
        assert_eq!(run.request, request);
        world.end(run, Ending::Refused, None);
    }
    world.end(Run { entry: 0, request }, Ending::Cancelled, None);
    world.pass_ms(2_000);
    world.runs.clear();
    run(&mut world, 1, "a");
}

#[test]
fn a_refusal_before_the_claim_of_a_key_is_told_as_unknown() {
    let mut world = World::new(5);
    world.now_ms += CONFIG_LEASE_MS + 1_000;
    let request = world.send(0, Some(&key("a")));
    let settled = settled(&world, 0, request).expect("settled");
    assert_eq!(settled.outcome, Outcome::Unknown);
    assert_eq!(settled.refusal, Some(Refusal::ConfigurationLease));
}
