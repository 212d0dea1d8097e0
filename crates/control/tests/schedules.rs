//! Random schedules of kills, restarts, cuts and changes.

mod cluster;

use cluster::{Cluster, item, key, put, region};
use control::{Answer, Request};
use proptest::prelude::{Just, ProptestConfig, Strategy, prop, prop_oneof, proptest};
use raft::ReplicaId;
use state::State;
use std::collections::BTreeMap;
use types::Resource;

#[derive(Clone, Debug)]
enum Event {
    Change { at: usize, slot: u32 },
    Kill { at: usize },
    StartAll,
    Cut { at: usize },
    Heal,
    Run { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let at = 0..3_usize;
    prop_oneof![
        9 => (at.clone(), 0..12_u32).prop_map(|(at, slot)| Event::Change { at, slot }),
        1 => at.clone().prop_map(|at| Event::Kill { at }),
        1 => Just(Event::StartAll),
        1 => at.prop_map(|at| Event::Cut { at }),
        1 => Just(Event::Heal),
        4 => (10..1_500_u64).prop_map(|ms| Event::Run { ms }),
    ]
}

/// Creates or resends the region of a slot; the request id goes with the slot.
fn change(slot: u32) -> Request {
    let name = format!("region-{slot}");
    put(&name, &name, region(slot + 1, &format!("domain-{slot}")), 0)
}

/// What the replicas applied, by index; equal indexes must hold equal contents.
#[derive(Default)]
struct Applied {
    contents: BTreeMap<u64, State>,
}

impl Applied {
    fn check(&mut self, cluster: &Cluster) {
        for control in cluster.replicas.values() {
            let state = control.state();
            let known = self
                .contents
                .entry(state.applied_index())
                .or_insert_with(|| state.clone());
            assert_eq!(known, state, "two contents at one index");
        }
    }
}

fn carry_out(
    cluster: &mut Cluster,
    replicas: &[ReplicaId],
    asked: &mut BTreeMap<u64, u32>,
    event: &Event,
) {
    match event {
        Event::Change { at, slot } => {
            let request = cluster.ask(&replicas[*at], change(*slot));
            asked.insert(request, *slot);
            cluster.run_ms(20);
        }
        Event::Kill { at } => cluster.kill(&replicas[*at]),
        Event::StartAll => start_all(cluster, replicas),
        Event::Cut { at } => {
            cluster.cut.insert(replicas[*at].clone());
        }
        Event::Heal => cluster.cut.clear(),
        Event::Run { ms } => cluster.run_ms(*ms),
    }
}

fn start_all(cluster: &mut Cluster, replicas: &[ReplicaId]) {
    for replica in replicas {
        if !cluster.replicas.contains_key(replica) {
            cluster.start(replica);
        }
    }
}

/// The accepted resource of each slot; two answers for one slot must be the same.
fn accepted(cluster: &Cluster, asked: &BTreeMap<u64, u32>) -> BTreeMap<u32, Resource> {
    let mut accepted: BTreeMap<u32, Resource> = BTreeMap::new();
    for (request, slot) in asked {
        if let Some(Ok(Answer::Item(item))) = cluster.answers.get(request) {
            let first = accepted
                .entry(*slot)
                .or_insert_with(|| item.resource.clone());
            assert_eq!(*first, item.resource, "a resend got another answer");
        }
    }
    accepted
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    #[test]
    fn accepted_changes_outlive_any_schedule(events in prop::collection::vec(event(), 1..60)) {
        let mut cluster = Cluster::new(3);
        let replicas: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
        let mut asked = BTreeMap::new();
        let mut applied = Applied::default();
        cluster.wait_for_leader();
        for event in &events {
            carry_out(&mut cluster, &replicas, &mut asked, event);
            applied.check(&cluster);
        }
        cluster.cut.clear();
        start_all(&mut cluster, &replicas);
        for (slot, resource) in accepted(&cluster, &asked) {
            let get = Request::Get { key: key(&format!("region/region-{slot}")) };
            assert_eq!(item(cluster.settle(&get)).resource, resource);
            assert_eq!(item(cluster.settle(&change(slot))).resource, resource);
        }
        cluster.run_ms(2_000);
        applied.check(&cluster);
        let first = cluster.replicas[&replicas[0]].state();
        assert!(cluster.replicas.values().all(|it| it.state() == first));
    }
}
