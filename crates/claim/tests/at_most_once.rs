//! Random schedules of loss, delay, reorder, duplication, restarts without memory, cuts and changes
//! of the declared entries never let a key run twice within the horizon.
//!
//! `CLAIM_SEED=NUMBER` repeats a run; `CLAIM_CASES=NUMBER` sets how many schedules are tried.

mod support;

use crate::support::{ENTRIES, World, key, set};
use claim::{Ending, Limits, Peer};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{
    env,
    hash::{BuildHasher, RandomState},
};

const KEYS: usize = 3;
const CASES: u32 = 600;
const STEPS: usize = 240;

#[derive(Clone, Debug)]
enum Op {
    Request { entry: usize, key: usize },
    Deliver(Index),
    DeliverTo { entry: usize },
    DeliverAll { cut: Vec<usize> },
    Drop(Index),
    Duplicate(Index),
    Restart { entry: usize },
    Confirm { entry: usize },
    ConfirmAll,
    Declare { entries: Vec<usize> },
    End { attempt: Index, ending: Ending },
    Advance { us: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    let ending = prop_oneof![
        Just(Ending::DidNotRun),
        Just(Ending::Unknown),
        Just(Ending::Finished {
            status: 200,
            answer: Some(vec![1; 10])
        }),
    ];
    let advance = prop_oneof![
        6 => Just(260_000),
        3 => Just(1_100_000),
        1 => Just(5_100_000),
        1 => Just(60_000_000),
        1 => Just(111_000_000),
    ];
    let declared = proptest::sample::subsequence((0..ENTRIES).collect::<Vec<_>>(), 0..=ENTRIES);
    prop_oneof![
        10 => (entry.clone(), 0..KEYS).prop_map(|(entry, key)| Op::Request { entry, key }),
        30 => any::<Index>().prop_map(Op::Deliver),
        10 => entry.clone().prop_map(|entry| Op::DeliverTo { entry }),
        4 => vec(entry.clone(), 0..3).prop_map(|cut| Op::DeliverAll { cut }),
        3 => any::<Index>().prop_map(Op::Drop),
        3 => any::<Index>().prop_map(Op::Duplicate),
        4 => entry.clone().prop_map(|entry| Op::Restart { entry }),
        4 => entry.prop_map(|entry| Op::Confirm { entry }),
        8 => Just(Op::ConfirmAll),
        2 => declared.prop_map(|entries| Op::Declare { entries }),
        4 => (any::<Index>(), ending).prop_map(|(attempt, ending)| Op::End { attempt, ending }),
        8 => advance.prop_map(|us| Op::Advance { us }),
    ]
}

fn attempts(world: &World) -> Vec<(Peer, u64)> {
    let runs = world.runs.values().flatten();
    runs.map(|run| (run.peer.clone(), run.serial)).collect()
}

fn apply(world: &mut World, op: Op) {
    match op {
        Op::Request { entry, key: number } => {
            world.request(entry, &key(number));
        }
        Op::Deliver(index) if !world.network.is_empty() => {
            let envelope = world.network.remove(index.index(world.network.len()));
            world.deliver(envelope);
        }
        Op::DeliverTo { entry } => {
            for from in 0..ENTRIES {
                for envelope in world.intercept(from, entry) {
                    world.deliver(envelope);
                }
            }
        }
        Op::DeliverAll { cut } => world.settle(&cut),
        Op::Drop(index) if !world.network.is_empty() => {
            world.network.remove(index.index(world.network.len()));
        }
        Op::Duplicate(index) if !world.network.is_empty() => {
            let envelope = &world.network[index.index(world.network.len())];
            let copy = support::Envelope {
                from: envelope.from.clone(),
                to: envelope.to.clone(),
                message: envelope.message.clone(),
            };
            world.network.push(copy);
        }
        Op::Deliver(_) | Op::Drop(_) | Op::Duplicate(_) => {}
        Op::Restart { entry } => world.restart(entry),
        Op::Confirm { entry } => world.confirm(entry),
        Op::ConfirmAll => world.confirm_all(),
        Op::Declare { entries } => {
            let holders = world.holders;
            world.declare(set(entries).with_holders(holders));
        }
        Op::End { attempt, ending } => {
            let attempts = attempts(world);
            if !attempts.is_empty() {
                world.end(&attempts[attempt.index(attempts.len())], ending);
            }
        }
        Op::Advance { us } => world.advance(us),
    }
}

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

#[test]
fn a_key_runs_at_most_once_within_the_horizon() {
    run_schedules(3);
}

#[test]
fn a_key_with_five_holders_runs_at_most_once_within_the_horizon() {
    run_schedules(5);
}

fn run_schedules(holders: usize) {
    let seed = number("CLAIM_SEED").unwrap_or_else(|| RandomState::new().hash_one(()));
    let cases = number("CLAIM_CASES").and_then(|cases| u32::try_from(cases).ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(op(), 1..=STEPS), |ops| {
        let limits = Limits {
            recovery_records: 1,
            ..Limits::default()
        };
        let mut world = World::new(ENTRIES, limits);
        world.holders = holders;
        world.declare(set(0..ENTRIES).with_holders(holders));
        world.confirm_all();
        for op in ops {
            apply(&mut world, op);
            if let Some(violation) = world.violation() {
                return Err(TestCaseError::fail(violation));
            }
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("CLAIM_SEED={seed}: {error}");
    }
}
