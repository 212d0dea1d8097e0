//! An entry's core in a deployment with a chosen number of declared entries.

use crate::at_ms;
use entry::{ConfigChange, EntryConfig, EntryCore, Input, Output, ReplicaAnswer};
use member::PeerAnswer;
use route::RouterConfig;
use serde_json::{Value, json};
use types::{LookupAnswer, Resource};

const VALID: &str = "valid by construction";

/// Number of regions at the size that the system is designed for.
pub const REGIONS: usize = 10;

/// Time for which a new core runs; by then it has answers of every other entry.
const SETTLE_MS: u64 = 600;

/// An entry's core that has a configuration and answers of every other entry.
#[derive(Debug)]
pub struct SettledEntry {
    /// The core of the entry `entry-0`.
    pub core: EntryCore,
    now_ms: u64,
}

impl SettledEntry {
    /// The first of `entries` declared entries, in [`REGIONS`] regions with a link between each
    /// two.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        let mut entry = Self {
            core: new_core(),
            now_ms: 0,
        };
        let declared = declared_resources(entries);
        while entry.now_ms <= SETTLE_MS {
            entry.tick(&declared);
        }
        entry
    }

    /// Answers a look-up of the service for a client with this address.
    ///
    /// # Panics
    ///
    /// When the service is not declared.
    #[must_use]
    pub fn look_up(&self, client: [u8; 4]) -> LookupAnswer {
        let service = "browse".parse().expect(VALID);
        self.core
            .lookup(at_ms(self.now_ms), &service, client.into())
            .expect("the service is declared")
    }

    /// Runs the core for a second without requests, in which the replica and the other entries
    /// answer it; returns the number of its outputs, most of them messages.
    pub fn run_idle_second(&mut self) -> usize {
        (0..20).map(|_| self.tick(&[])).sum()
    }

    fn tick(&mut self, declared: &[Resource]) -> usize {
        self.now_ms += 50;
        let mut outputs = Vec::new();
        self.core
            .step(at_ms(self.now_ms), Input::Tick, &mut outputs);
        let messages = outputs.len();
        for output in outputs {
            self.answer_output(output, declared);
        }
        messages
    }

    fn answer_output(&mut self, output: Output, declared: &[Resource]) {
        let now_us = at_ms(self.now_ms);
        let mut outputs = Vec::new();
        match output {
            Output::Poll {
                replica, serial, ..
            } => {
                let answer = replica_answer(declared);
                let replica = &replica;
                let input = Input::PollAnswer {
                    replica,
                    serial,
                    answer,
                };
                self.core.step(now_us, input, &mut outputs);
            }
            Output::Sync { peer, serial, .. } => {
                let input = Input::SyncAnswer {
                    peer: &peer,
                    serial,
                    answer: PeerAnswer::default(),
                    stopping: false,
                };
                self.core.step(now_us, input, &mut outputs);
            }
            _ => {}
        }
    }
}

fn new_core() -> EntryCore {
    let router = RouterConfig::new(
        "entry-0".parse().expect(VALID),
        "region-0".parse().expect(VALID),
        "region-0-0".parse().expect(VALID),
    );
    let config = EntryConfig {
        name: "entry-0".parse().expect(VALID),
        region: "region-0".parse().expect(VALID),
        failure_domain: "region-0-0".parse().expect(VALID),
        replicas: vec!["control-1".parse().expect(VALID)],
        lookup_lifetime_ms: 5_000,
        client_blocks: None,
        incarnation: 1,
    };
    EntryCore::new(config, router, at_ms(0))
}

fn replica_answer(declared: &[Resource]) -> ReplicaAnswer {
    let changes = declared.iter().map(|resource| ConfigChange {
        revision: 1,
        key: resource.key(),
        resource: Some(resource.clone()),
    });
    ReplicaAnswer {
        last_index: 1,
        applied_index: 1,
        voters: 1,
        is_voter: true,
        complete: true,
        changes: changes.collect(),
        ..ReplicaAnswer::default()
    }
}

fn declared_resources(entries: usize) -> Vec<Resource> {
    let regions: Vec<String> = (0..REGIONS).map(|n| format!("region-{n}")).collect();
    let mut declared = vec![resource(
        "browse",
        "service",
        &json!({
            "regions": &regions, "idempotent": true, "priority": "browse", "deadline_ms": 2_000,
            "answer_bytes": 10_000}),
    )];
    for (index, a) in regions.iter().enumerate() {
        declared.push(resource(
            a,
            "region",
            &json!({
                "capacity_slots": 10_000, "failure_domains": [format!("{a}-0")]}),
        ));
        for (other, b) in regions.iter().enumerate().skip(index + 1) {
            declared.push(resource(
                &format!("{a}.{b}"),
                "link",
                &json!({
                    "a": a, "b": b, "limit_kbps": 300_000, "delay_us": 5_000 * (other - index)}),
            ));
        }
    }
    declared.extend((0..entries).map(entry));
    declared
}

fn entry(number: usize) -> Resource {
    let region = format!("region-{}", number % REGIONS);
    let address = |port| format!("10.1.{}.{}:{port}", number / 200, number % 200);
    resource(
        &format!("entry-{number}"),
        "entry",
        &json!({
            "region": region, "failure_domain": format!("{region}-{}", number % 3),
            "address": address(8080), "peer_address": address(7080)}),
    )
}

fn resource(name: &str, kind: &str, spec: &Value) -> Resource {
    let all = json!({"name": name, "kind": kind, "spec": spec, "version": 1, "revision": 1});
    serde_json::from_value(all).expect(VALID)
}
