//! The deployment, workloads and assertions that the failure tests share.

use standin::{
    caller::Load,
    checker::Verdict,
    deployment::{Deployment, Reservation, Workload, entry_name},
    process::Binaries,
    record::Request,
    testbed::Testbed,
};
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use types::{EntryName, LookupEntry, Outcome};

/// The timeout of each wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The load of the tests: two services, one of them not idempotent.
pub const WORKLOADS: [Workload; 2] = [
    Workload {
        service: "browse",
        upstreams: 6,
        idempotent: true,
        answer_bytes: 16_384,
        service_time: Duration::from_millis(5),
        callers: 4,
        deadline: Duration::from_secs(2),
    },
    Workload {
        service: "order",
        upstreams: 6,
        idempotent: false,
        answer_bytes: 1_024,
        service_time: Duration::from_millis(20),
        callers: 4,
        deadline: Duration::from_secs(5),
    },
];

/// The folder of the Wirecraft declarations.
pub fn declarations() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/wirecraft")
}

/// A deployment on reserved addresses, not started yet.
pub async fn deployment() -> Deployment {
    let binaries = Binaries::find().unwrap();
    Deployment::new(binaries, Reservation::any().unwrap())
        .await
        .unwrap()
}

/// A running testbed with the Wirecraft declarations in force.
pub async fn testbed() -> Testbed {
    let deployment = deployment().await;
    Testbed::start(deployment, &declarations(), &WORKLOADS)
        .await
        .unwrap()
}

/// Loads whose requests all go through the entry on a VM, without look-ups.
pub fn loads_via_entry(testbed: &Testbed, vm: u8) -> Vec<Load> {
    let entry = LookupEntry {
        name: EntryName::new(&entry_name(vm)).unwrap(),
        address: testbed.deployment.network().entry(vm),
        weight: 1,
    };
    let load = |workload: &Workload| Load {
        fixed_entry: Some(entry.clone()),
        ..workload.load().unwrap()
    };
    WORKLOADS.iter().map(load).collect()
}

/// Panics with the violations and the requests that did not finish if an invariant was broken.
pub fn assert_passed(verdict: &Verdict, requests: &[Request]) {
    assert!(
        verdict.passed(),
        "finished {} of {}; violations {:?}; {}",
        verdict.finished,
        verdict.sent,
        verdict.violations,
        unfinished(requests)
    );
}

/// The number of requests that did not finish, and their records.
pub fn unfinished(requests: &[Request]) -> String {
    let unfinished = requests
        .iter()
        .filter(|request| request.outcome() != Outcome::Finished);
    let lines: Vec<String> = unfinished.map(|request| format!("{request:?}")).collect();
    format!("{} unfinished:\n{}", lines.len(), lines.join("\n"))
}
