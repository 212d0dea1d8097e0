//! A key runs at most once within the horizon under random schedules of lost, delayed, reordered
//! and duplicated messages, restarts without records, disconnected entries and changes of the
//! declared entries.
//!
//! `CLAIM_SEED=NUMBER` repeats the schedules of a failed test; `CLAIM_CASES=NUMBER` sets how many
//! are tried.

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

/// One step of a schedule. `Deliver`, `Drop` and `Duplicate` pick one undelivered message.
/// `DeliverAll` drops the messages from or to the entries in `isolated`. `Advance` also triggers
/// the timers.
#[derive(Clone, Debug)]
enum Op {
    Request { entry: usize, key: usize },
    Deliver(Index),
    DeliverTo { entry: usize },
    DeliverAll { isolated: Vec<usize> },
    Drop(Index),
    Duplicate(Index),
    Restart { entry: usize },
    UpdateConfiguration { entry: usize },
    UpdateConfigurations,
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
        4 => vec(entry.clone(), 0..3).prop_map(|isolated| Op::DeliverAll { isolated }),
        3 => any::<Index>().prop_map(Op::Drop),
        3 => any::<Index>().prop_map(Op::Duplicate),
        4 => entry.clone().prop_map(|entry| Op::Restart { entry }),
        4 => entry.prop_map(|entry| Op::UpdateConfiguration { entry }),
        8 => Just(Op::UpdateConfigurations),
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
        Op::DeliverAll { isolated } => world.deliver_all(&isolated),
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
        Op::UpdateConfiguration { entry } => world.update_configuration(entry),
        Op::UpdateConfigurations => world.update_configurations(),
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

fn number_from_env(variable: &str) -> Option<u64> {
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
    let seed = number_from_env("CLAIM_SEED").unwrap_or_else(|| RandomState::new().hash_one(()));
    let cases = number_from_env("CLAIM_CASES").and_then(|cases| u32::try_from(cases).ok());
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
        world.update_configurations();
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
