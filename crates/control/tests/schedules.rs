//! Tests with random schedules of changes, kills, restarts and isolated replicas that no accepted
//! change is lost and that replicas never diverge.

mod cluster;

use cluster::{Cluster, item, key, put, region};
use control::{Answer, Request};
use proptest::prelude::{Just, ProptestConfig, Strategy, prop, prop_oneof, proptest};
use raft::ReplicaId;
use state::State;
use std::collections::BTreeMap;
use types::Resource;

/// One step of a schedule; `at` is the number of the replica that it is for.
#[derive(Clone, Debug)]
enum Event {
    Change { at: usize, region_index: u32 },
    Kill { at: usize },
    StartAll,
    Isolate { at: usize },
    Heal,
    Run { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let at = 0..3_usize;
    prop_oneof![
        9 => (at.clone(), 0..12_u32)
            .prop_map(|(at, region_index)| Event::Change { at, region_index }),
        1 => at.clone().prop_map(|at| Event::Kill { at }),
        1 => Just(Event::StartAll),
        1 => at.prop_map(|at| Event::Isolate { at }),
        1 => Just(Event::Heal),
        4 => (10..1_500_u64).prop_map(|ms| Event::Run { ms }),
    ]
}

/// Declares the region of this index. The request id depends on the index only, so that a second
/// request for the same region is a resend.
fn change(region_index: u32) -> Request {
    let name = format!("region-{region_index}");
    put(
        &name,
        &name,
        region(region_index + 1, &format!("domain-{region_index}")),
        0,
    )
}

/// The states that replicas reached, by applied index: two replicas at one index must be equal.
#[derive(Default)]
struct Applied {
    state_by_index: BTreeMap<u64, State>,
}

impl Applied {
    fn check(&mut self, cluster: &Cluster) {
        for control in cluster.replicas.values() {
            let state = control.state();
            let known = self
                .state_by_index
                .entry(state.applied_index())
                .or_insert_with(|| state.clone());
            assert_eq!(known, state, "replicas at one index have different states");
        }
    }
}

fn run_event(
    cluster: &mut Cluster,
    replicas: &[ReplicaId],
    requests: &mut BTreeMap<u64, u32>,
    event: &Event,
) {
    match event {
        Event::Change { at, region_index } => {
            let request = cluster.submit(&replicas[*at], change(*region_index));
            requests.insert(request, *region_index);
            cluster.run_ms(20);
        }
        Event::Kill { at } => cluster.kill(&replicas[*at]),
        Event::StartAll => start_all(cluster, replicas),
        Event::Isolate { at } => {
            cluster.isolated.insert(replicas[*at].clone());
        }
        Event::Heal => cluster.isolated.clear(),
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

/// The accepted resource of each region, by its index. Panics when two answers for one region
/// differ.
fn accepted(cluster: &Cluster, requests: &BTreeMap<u64, u32>) -> BTreeMap<u32, Resource> {
    let mut accepted: BTreeMap<u32, Resource> = BTreeMap::new();
    for (request, region_index) in requests {
        if let Some(Ok(Answer::Item(item))) = cluster.answers.get(request) {
            let first = accepted
                .entry(*region_index)
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
        let mut requests = BTreeMap::new();
        let mut applied = Applied::default();
        cluster.wait_for_leader();
        for event in &events {
            run_event(&mut cluster, &replicas, &mut requests, event);
            applied.check(&cluster);
        }
        cluster.isolated.clear();
        start_all(&mut cluster, &replicas);
        for (region_index, resource) in accepted(&cluster, &requests) {
            let get = Request::Get { key: key(&format!("region/region-{region_index}")) };
            assert_eq!(item(cluster.request_leader(&get)).resource, resource);
            assert_eq!(item(cluster.request_leader(&change(region_index))).resource, resource);
        }
        cluster.run_ms(2_000);
        applied.check(&cluster);
        let first = cluster.replicas[&replicas[0]].state();
        assert!(cluster.replicas.values().all(|it| it.state() == first));
    }
}
