//! Many manifests of many routes are acknowledged, and then all processes of the core are killed.

use crate::{
    deployment::{Deployment, REPLICAS, Result, manifest_of, wait_for},
    record::Record,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Manifests that are acknowledged one after the other.
const MANIFESTS: u32 = 250;

/// Routes of each manifest.
const ROUTES: usize = 1_400;

/// `memory_mb` of a core machine; the platform kills a process that uses more.
const MEMORY_MAX_KIB: u64 = 256 * 1024;

/// How long the processes are down, and a process that the platform killed.
const DOWN: Duration = Duration::from_millis(600);

/// `recovery_s`, and `stable_window_s` for which the manifest is read after it.
const RECOVERY: Duration = Duration::from_secs(15);
const READING: Duration = Duration::from_secs(5);

/// How often the memory is looked at, and the manifest is read.
const LOOK: Duration = Duration::from_millis(5);
const READ_EVERY: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> Result<Option<String>> {
    let mut deployment = Deployment::start_hosts(&REPLICAS, &[])?;
    let names: Vec<String> = (0..ROUTES).map(|n| format!("claims-{n:04}")).collect();
    let routes: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "claims", "safe"))
        .collect();
    let control = deployment.control();
    for version in 1..=MANIFESTS {
        let based_on = format!("r{}", version - 1);
        deployment.declare(&based_on, &manifest_of(version, &routes))?;
    }
    let peak_kib = REPLICAS.map(|host| deployment.resident_kib(host));
    record.note(&format!(
        "{MANIFESTS} manifests are acknowledged; the replicas use {peak_kib:?} KiB"
    ));
    if peak_kib.into_iter().any(|kib| kib > MEMORY_MAX_KIB) {
        return Err("a replica uses too much memory before the kill".into());
    }
    wait_for("the manifest to be read", || {
        control.read_manifest().is_some()
    })?;
    if has_trouble {
        for host in REPLICAS {
            deployment.kill(host);
        }
        record.note("all processes of the core are killed");
        thread::sleep(DOWN);
        for host in REPLICAS {
            deployment.restart(host)?;
        }
        record.note("all processes of the core are started");
    }

    let back = Instant::now();
    let newest = format!(r#""version":"r{MANIFESTS}""#);
    let reading = thread::spawn({
        let record = record.clone();
        move || {
            let mut is_newest = None;
            while back.elapsed() < RECOVERY + READING {
                let read = control.read_manifest().map(|text| text.contains(&newest));
                record.note(&format!("the manifest is read: is it the newest? {read:?}"));
                if back.elapsed() > RECOVERY {
                    is_newest = read.or(is_newest);
                }
                thread::sleep(READ_EVERY);
            }
            is_newest
        }
    });
    let mut kills = [0; REPLICAS.len()];
    let mut down_until = [None; REPLICAS.len()];
    while !reading.is_finished() {
        for (n, host) in REPLICAS.into_iter().enumerate() {
            let used_kib = deployment.resident_kib(host);
            if used_kib > MEMORY_MAX_KIB {
                deployment.kill(host);
                record.note(&format!(
                    "platform kills replica {host}: it uses {used_kib} KiB"
                ));
                kills[n] += 1;
                down_until[n] = Some(Instant::now() + DOWN);
            }
            if down_until[n].is_some_and(|until| Instant::now() > until) {
                down_until[n] = None;
                deployment.restart(host)?;
            }
        }
        thread::sleep(LOOK);
    }
    record.note(&format!("killed for their memory: {kills:?}"));
    Ok(match reading.join().unwrap_or_default() {
        Some(true) => None,
        Some(false) => Some("CONFIG: an older manifest than the newest is read".to_owned()),
        None => Some(format!(
            "CONFIG: {MANIFESTS} manifests were acknowledged, and no replica gives one; they were killed {kills:?} times for their memory"
        )),
    })
}
