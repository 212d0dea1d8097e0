//! Upstreams that leave while entries are cut off from each other, over the real binaries.

use crate::real::{BOUND, WORKLOADS, assert_holds, declarations, deployment, loads_through};
use standin::{
    caller::Callers,
    deployment::ENTRY_VMS,
    relay::{Mode, Relay},
    stage::Stage,
};
use std::{fs, path::Path};
use tempfile::TempDir;

/// Declares that the entries reach each other through the relays.
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
    let mut stage = Stage::set(deployment, folder.path(), &WORKLOADS)
        .await
        .unwrap();
    let mut pools = Vec::new();
    for vm in ENTRY_VMS {
        let loads = loads_through(&stage, vm);
        pools.push(Callers::start(&loads, &[], stage.clock));
    }
    for pool in &pools {
        pool.more_finished(50, BOUND).await.unwrap();
    }
    stage.leave("browse-1").await.unwrap();
    for relay in &relays {
        relay.set(Mode::CutBoth);
    }
    stage.leave("browse-2").await.unwrap();
    stage.leave("order-2").await.unwrap();
    stage.departures_closed(BOUND).await.unwrap();
    for relay in &relays {
        relay.set(Mode::Open);
    }
    let mut requests = Vec::new();
    for pool in pools {
        pool.more_finished(50, BOUND).await.unwrap();
        requests.extend(pool.stop().await);
    }
    assert_holds(&stage.judge(&requests).await, &requests);
}
