//! Any order of up to three replacements, planned and not, with restarts of the leader between them:
//! once losses stop and successors had their time, the voters are the live replicas, and the loss of two
//! disks is borne.

mod cluster;

use cluster::{Cluster, id};
use control::{Answer, Input, Request};
use plan::Change;
use proptest::prelude::*;
use raft::ReplicaId;
use std::collections::BTreeSet;

/// How many replicas a group has, and how many of them may lose their disks.
const REPLICAS: u32 = 5;
const LOSSES: usize = 2;

/// How long a replica that came in place of a lost one may take until it counts.
const CATCH_UP_MS: u64 = 6_000;

/// How often a replica without a leader asks to join, in milliseconds.
const JOIN_PERIOD_MS: u64 = 500;

/// One event, after a pause.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A replica is lost for good, and an empty one starts this much later.
    Replace { successor_after_ms: u64 },
    /// An empty replica starts, and another one is stopped for good this much later.
    PlannedReplace { stop_after_ms: u64 },
    /// The leader's process is killed and started again with its disk.
    RestartLeader,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let replace = prop_oneof![
        (0..1_500_u64).prop_map(|successor_after_ms| Step::Replace { successor_after_ms }),
        (100..1_500_u64).prop_map(|stop_after_ms| Step::PlannedReplace { stop_after_ms }),
    ];
    let pause_ms = prop_oneof![0..1_000_u64, 0..7_000_u64];
    let replacements = prop::collection::vec((pause_ms.clone(), replace), 1..=3);
    let restarts = prop::collection::vec((0..4_usize, pause_ms), 0..=2);
    (replacements, restarts).prop_map(|(mut steps, restarts)| {
        for (at, pause_ms) in restarts {
            let at = at.min(steps.len());
            steps.insert(at, (pause_ms, Step::RestartLeader));
        }
        steps
    })
}

/// A group whose replicas ask to join by themselves while they know no leader.
struct Group {
    cluster: Cluster,
    /// Replicas that have been replaced, or are stopped soon, are not chosen again.
    chosen: BTreeSet<ReplicaId>,
    /// When each lost replica's successor started, or the time of its loss if none has.
    replaced_at_us: Vec<u64>,
    next_name: u32,
}

impl Group {
    fn new() -> Self {
        let mut cluster = Cluster::with_open_membership(REPLICAS);
        cluster.wait_for_leader();
        cluster.run_ms(500);
        Self {
            cluster,
            chosen: BTreeSet::new(),
            replaced_at_us: Vec::new(),
            next_name: REPLICAS,
        }
    }

    fn run_ms(&mut self, ms: u64) {
        let mut left_ms = ms;
        while left_ms > 0 {
            let part_ms = left_ms.min(JOIN_PERIOD_MS);
            left_ms -= part_ms;
            self.cluster.run_ms(part_ms.next_multiple_of(10));
            let replicas = self.cluster.replicas.iter();
            let joining: Vec<ReplicaId> = replicas
                .filter(|(_, control)| control.needs_admission())
                .map(|(replica, _)| replica.clone())
                .collect();
            if let Some(leader) = self.cluster.leader() {
                for from in joining {
                    self.cluster.step(&leader, Input::Join { join: 1, from });
                }
            }
        }
    }

    fn running(&self) -> BTreeSet<ReplicaId> {
        self.cluster.replicas.keys().cloned().collect()
    }

    /// Waits until no more than `LOSSES` replicas are lost with a further one: a lost replica counts
    /// until its successor has had its time.
    fn wait_until_another_may_be_lost(&mut self) {
        let settled_us = |at_us: u64| at_us + CATCH_UP_MS * 1_000;
        loop {
            let now_us = self.cluster.now_us;
            self.replaced_at_us
                .retain(|at_us| settled_us(*at_us) > now_us);
            if self.replaced_at_us.len() < LOSSES {
                return;
            }
            self.run_ms(JOIN_PERIOD_MS);
        }
    }

    fn start_successor(&mut self) -> ReplicaId {
        self.next_name += 1;
        let successor = id(&format!("control-{}", self.next_name), 77);
        self.cluster.start(&successor);
        successor
    }

    /// The replica at this place among those that have not been chosen yet.
    fn choose(&mut self, place: usize) -> ReplicaId {
        let running = self.running();
        let candidates: Vec<_> = running.difference(&self.chosen).cloned().collect();
        let chosen = candidates[place % candidates.len()].clone();
        self.chosen.insert(chosen.clone());
        chosen
    }

    fn play(&mut self, step: Step, place: usize) {
        match step {
            Step::Replace { successor_after_ms } => {
                self.wait_until_another_may_be_lost();
                let lost = self.choose(place);
                self.cluster.kill(&lost);
                self.run_ms(successor_after_ms);
                self.start_successor();
                self.replaced_at_us.push(self.cluster.now_us);
            }
            Step::PlannedReplace { stop_after_ms } => {
                self.wait_until_another_may_be_lost();
                let stopped = self.choose(place);
                let successor = self.start_successor();
                self.chosen.insert(successor.clone());
                self.run_ms(stop_after_ms);
                self.cluster.kill(&stopped);
                self.chosen.remove(&successor);
                self.replaced_at_us.push(self.cluster.now_us);
            }
            Step::RestartLeader => {
                if let Some(leader) = self.cluster.leader() {
                    self.cluster.kill(&leader);
                    self.run_ms(100);
                    self.cluster.start(&leader);
                }
            }
        }
    }

    fn voters(&mut self) -> BTreeSet<ReplicaId> {
        let leader = self.cluster.wait_for_leader();
        let membership = self.cluster.replicas[&leader].status().membership;
        membership.voters
    }
}

fn evacuate(cluster: &mut Cluster) {
    let change = Change::Evacuate {
        domain: "east-a".parse().expect("a valid name"),
    };
    let answer = cluster.request_leader(&Request::Steer { change });
    assert!(matches!(answer, Ok(Answer::Steered(_))), "{answer:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn successors_take_the_places_of_lost_replicas(
        steps in steps(),
        places in prop::collection::vec(0..8_usize, 6),
        lost in prop::collection::vec(0..8_usize, LOSSES),
    ) {
        let mut group = Group::new();
        for ((pause_ms, step), place) in steps.into_iter().zip(places) {
            group.run_ms(pause_ms);
            group.play(step, place);
        }
        group.run_ms(CATCH_UP_MS);
        prop_assert_eq!(group.voters(), group.running());

        evacuate(&mut group.cluster);
        let running = group.running();
        let mut candidates: Vec<_> = running.iter().cloned().collect();
        running.iter().for_each(|replica| group.cluster.kill(replica));
        let wiped: Vec<ReplicaId> = lost
            .into_iter()
            .map(|place| candidates.remove(place % candidates.len()))
            .collect();
        candidates.iter().for_each(|replica| group.cluster.start(replica));
        for replica in &wiped {
            group.cluster.start(&id(&replica.name, replica.incarnation + 100));
        }
        group.run_ms(CATCH_UP_MS);
        let leader = group.cluster.wait_for_leader();
        let steering = group.cluster.replicas[&leader].state().steering();
        prop_assert_eq!(steering.evacuated().len(), 1);
        prop_assert_eq!(group.voters(), group.running());
    }
}
