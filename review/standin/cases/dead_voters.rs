//! Two of five core machines are replaced within a second. Much later two disks are lost in a final
//! fault.

use crate::{
    deployment::{Deployment, Result, manifest, wait_for},
    record::Record,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// The core at the start, and one gateway.
const CORE: [u8; 5] = [1, 2, 3, 4, 5];
const GATEWAY: [u8; 1] = [11];

/// The machines that are gone for good, each with the one that takes its place.
const REPLACED: [(u8, u8); 2] = [(4, 6), (5, 7)];

/// The time between the two losses.
const GAP: Duration = Duration::from_millis(600);

/// How long after a loss the empty machine starts.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

/// The time before traffic, and longer than `catch_up_s` and `stable_window_s`.
const CALM: Duration = Duration::from_secs(12);

/// How long all processes are down in the final fault.
const DOWN: Duration = Duration::from_millis(600);

/// How many disks are lost in it: `fault_tolerance` of the settings.
const DISKS: usize = 2;

/// `recovery_s`, and `stable_window_s` for which the manifest is read after it.
const RECOVERY: Duration = Duration::from_secs(15);
const READING: Duration = Duration::from_secs(5);

pub fn run(record: &Record, has_trouble: bool) -> Result<Option<String>> {
    let mut deployment = Deployment::start_hosts(&CORE, &GATEWAY)?;
    let routes = [("claims", "unsafe")];
    deployment.declare("0", &manifest(1, &routes))?;
    record.note("version r1 is acknowledged");
    thread::sleep(CALM);
    if has_trouble {
        replace(&mut deployment, record)?;
    }
    thread::sleep(CALM);
    let control = deployment.control();
    wait_for("the manifest to be read", || {
        control.read_manifest().is_some()
    })?;
    deployment.declare("r1", &manifest(2, &routes))?;
    record.note("version r2 is acknowledged");

    let core = deployment.replicas();
    for host in &core {
        deployment.kill(*host);
    }
    for host in &core[core.len() - DISKS..] {
        deployment.empty_disk(*host)?;
        record.note(&format!("core machine {host} loses its disk"));
    }
    record.note(&format!("the processes of the core {core:?} are killed"));
    thread::sleep(DOWN);
    for host in &core {
        deployment.restart(*host)?;
    }
    record.note("the processes of the core are started");

    let back = Instant::now();
    let mut newest = None;
    while back.elapsed() < RECOVERY + READING {
        let read = control.read_manifest();
        let version = read.map(|text| text.contains(r#""version":"r2""#));
        record.note(&format!("the manifest is read: is it r2? {version:?}"));
        newest = version.or(newest);
        thread::sleep(Duration::from_millis(500));
    }
    Ok(match newest {
        Some(true) => None,
        Some(false) => Some("CONFIG: r2 was acknowledged, and an older version is read".to_owned()),
        None => Some("CONFIG: r2 was acknowledged, and no replica gives a manifest".to_owned()),
    })
}

/// Kills the machines that are replaced, and starts their successors.
fn replace(deployment: &mut Deployment, record: &Record) -> Result<()> {
    let start = Instant::now();
    let wait_until = |after: Duration| thread::sleep(after.saturating_sub(start.elapsed()));
    for (n, (gone, _)) in REPLACED.iter().enumerate() {
        wait_until(GAP * n as u32);
        deployment.kill(*gone);
        record.note(&format!("core machine {gone} is gone for good"));
    }
    for (n, (gone, successor)) in REPLACED.iter().enumerate() {
        wait_until(GAP * n as u32 + SUCCESSOR_AFTER);
        deployment.replace_replica(*gone, *successor)?;
        record.note(&format!(
            "core machine {successor} starts with an empty disk"
        ));
    }
    Ok(())
}
