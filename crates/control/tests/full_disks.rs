//! Disks that are full for a few seconds each, one after another. A replica whose write fails takes no
//! further part, and is started anew from its disk until there is room again.

mod cluster;

use cluster::{Cluster, REQUEST_TIMEOUT_US};
use control::{Answer, Request};
use plan::{Change, ChangeResult};
use proptest::prelude::*;
use raft::{ReplicaId, Role};
use types::ApiError;

/// The delay after which a replica whose disk failed is started again, in milliseconds.
const RESTART_MS: u64 = 1_000;

/// How long a change may take to be confirmed once every disk has had room for that long, in
/// milliseconds: the time within which an operator's call is to be confirmed.
const CONFIRMED_MS: u64 = 4_000;

const STEP_MS: u64 = 50;

struct Fixture {
    cluster: Cluster,
    replicas: Vec<ReplicaId>,
    /// When each failed replica is started next.
    restarts_us: Vec<Option<u64>>,
    changes: u64,
}

impl Fixture {
    fn new(size: u32) -> Self {
        let mut cluster = Cluster::with_open_membership(size);
        cluster.wait_for_leader();
        let replicas: Vec<_> = cluster.replicas.keys().cloned().collect();
        Self {
            restarts_us: vec![None; replicas.len()],
            cluster,
            replicas,
            changes: 0,
        }
    }

    /// Advances the clock by a step; starts failed replicas anew while their disks have room.
    fn run_step(&mut self) {
        self.cluster.run_ms(STEP_MS);
        for (replica, restart_us) in self.replicas.iter().zip(&mut self.restarts_us) {
            let running = self.cluster.replicas.get(replica);
            let has_failed = running.is_some_and(|it| it.status().role == Role::Failed);
            let is_full = self.cluster.full_disks.contains(replica);
            match restart_us {
                None if has_failed => {
                    self.cluster.kill(replica);
                    *restart_us = Some(self.cluster.now_us + RESTART_MS * 1_000);
                }
                Some(at_us) if *at_us <= self.cluster.now_us => {
                    // Opening the folder writes too, and fails while the disk is full.
                    *restart_us = match is_full {
                        true => Some(self.cluster.now_us + RESTART_MS * 1_000),
                        false => {
                            self.cluster.start(replica);
                            None
                        }
                    };
                }
                _ => {}
            }
        }
    }

    fn run_ms(&mut self, ms: u64) {
        (0..ms / STEP_MS).for_each(|_| self.run_step());
    }

    /// Sends a new change, to one replica after another, until one confirms it. Returns whether one
    /// did in time.
    fn change_is_confirmed(&mut self, within_ms: u64) -> bool {
        self.changes += 1;
        let domain = format!("domain-{}", self.changes);
        let change = Change::Evacuate {
            domain: domain.parse().expect("a valid name"),
        };
        let end_us = self.cluster.now_us + within_ms * 1_000;
        while self.cluster.now_us < end_us {
            for replica in self.replicas.clone() {
                if !self.cluster.replicas.contains_key(&replica) {
                    continue;
                }
                let change = change.clone();
                let request = self.cluster.submit(&replica, Request::Steer { change });
                for _ in 0..=REQUEST_TIMEOUT_US / 1_000 / STEP_MS {
                    match self.cluster.answers.remove(&request) {
                        Some(Ok(Answer::Steered(ChangeResult::Applied))) => return true,
                        Some(Err(ApiError::NotLeader { .. } | ApiError::Unavailable)) => break,
                        Some(other) => panic!("an unexpected answer: {other:?}"),
                        None => self.run_step(),
                    }
                }
            }
            self.run_step();
        }
        false
    }

    /// One disk is full for `full_ms`, while changes are sent, and then has room for `pause_ms`.
    fn fill(&mut self, index: usize, full_ms: u64, pause_ms: u64) {
        let replica = self.replicas[index].clone();
        self.cluster.full_disks.insert(replica.clone());
        let end_us = self.cluster.now_us + full_ms * 1_000;
        while self.cluster.now_us < end_us {
            // A majority has room, so that some changes are confirmed meanwhile; when the leader's
            // disk is full, none is for a while.
            self.change_is_confirmed(STEP_MS);
            self.run_step();
        }
        self.cluster.full_disks.remove(&replica);
        self.run_ms(pause_ms);
    }

    fn evacuated(&mut self) -> usize {
        let leader = self.cluster.wait_for_leader();
        let steering = self.cluster.replicas[&leader].state().steering();
        steering.evacuated().len()
    }
}

// Report of other operators: long after the last of these disks had room again, changes stayed
// unanswered to the end of the day, while all processes ran.
#[test]
fn changes_are_confirmed_after_each_disk_was_full_in_turn() {
    for size in [3, 5] {
        let mut fixture = Fixture::new(size);
        for _ in 0..2 {
            for index in 0..fixture.replicas.len() {
                fixture.fill(index, 3_000, 500);
                assert!(
                    fixture.change_is_confirmed(CONFIRMED_MS),
                    "disk {index} of {size}"
                );
            }
        }
        fixture.run_ms(2 * RESTART_MS);
        let roles: Vec<Role> = fixture
            .cluster
            .replicas
            .values()
            .map(|it| it.status().role)
            .collect();
        assert_eq!(roles.len(), size as usize);
        assert!(!roles.contains(&Role::Failed), "{roles:?}");
        assert!(fixture.evacuated() > 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// The same in any order and for any times, also while a replica whose disk was full before is
    /// still to be started again.
    #[test]
    fn changes_are_confirmed_after_any_disks_were_full_in_turn(
        fills in prop::collection::vec((0..5_usize, 100..5_000_u64, 0..2_500_u64), 1..10),
    ) {
        let mut fixture = Fixture::new(5);
        for (index, full_ms, pause_ms) in fills {
            fixture.fill(index, full_ms, pause_ms);
        }
        fixture.run_ms(2 * RESTART_MS);
        prop_assert!(fixture.change_is_confirmed(CONFIRMED_MS));
        let leader = fixture.cluster.wait_for_leader();
        let voters = fixture.cluster.replicas[&leader].status().membership.voters;
        prop_assert!(voters.len() >= 3, "{voters:?}");
    }
}
