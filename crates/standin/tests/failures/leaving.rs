//! Upstreams that leave while the entries can't reach each other.

use crate::real::{
    WAIT_TIMEOUT, WORKLOADS, assert_passed, declarations, deployment, loads_via_entry,
};
use standin::{
    caller::Callers,
    deployment::ENTRY_VMS,
    relay::{Mode, Relay},
    testbed::Testbed,
};
use std::{fs, path::Path};
use tempfile::TempDir;

/// Copies the Wirecraft declarations into `folder`, with the relays' ports in the addresses that
/// entries use for each other.
fn declare_relays(folder: &Path) {
    for file in fs::read_dir(declarations()).unwrap() {
        let path = file.unwrap().path();
        let text = fs::read_to_string(&path).unwrap().replace(":7080", ":7081");
        fs::write(folder.join(path.file_name().unwrap()), text).unwrap();
    }
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work_from_any_entry() {
    let folder = TempDir::new().unwrap();
    declare_relays(folder.path());
    let deployment = deployment().await;
    let network = deployment.network();
    let mut relays = Vec::new();
    for vm in ENTRY_VMS {
        let relay = Relay::start(network.entry_peer_relay(vm), network.entry_peer(vm)).await;
        relays.push(relay.unwrap());
    }
    let mut testbed = Testbed::start(deployment, folder.path(), &WORKLOADS)
        .await
        .unwrap();
    let mut pools = Vec::new();
    for vm in ENTRY_VMS {
        let loads = loads_via_entry(&testbed, vm);
        pools.push(Callers::start(&loads, &[], testbed.clock));
    }
    for pool in &pools {
        pool.wait_for_finished(50, WAIT_TIMEOUT).await.unwrap();
    }
    testbed.leave("browse-1").await.unwrap();
    for relay in &relays {
        relay.set_mode(Mode::HoldBoth);
    }
    testbed.leave("browse-2").await.unwrap();
    testbed.leave("order-2").await.unwrap();
    testbed.wait_past_departures(WAIT_TIMEOUT).await.unwrap();
    for relay in &relays {
        relay.set_mode(Mode::Open);
    }
    let mut requests = Vec::new();
    for pool in pools {
        pool.wait_for_finished(50, WAIT_TIMEOUT).await.unwrap();
        requests.extend(pool.stop().await);
    }
    assert_passed(&testbed.check_invariants(&requests).await, &requests);
}
