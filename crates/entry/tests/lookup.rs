//! The entries that look-ups name, by their health, their distance and the block of the client.

use entry::{ConfigChange, EntryConfig, EntryCore, Input, Output, ReplicaAnswer};
use locate::{ClientBlocks, ClientBlocksBuilder};
use member::PeerAnswer;
use route::RouterConfig;
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::IpAddr, sync::Arc};
use types::{EntryName, LookupAnswer, Resource, TimeUs};

const REGIONS: [&str; 3] = ["gauteng", "kwazulu-natal", "western-cape"];

fn at_ms(ms: u64) -> TimeUs {
    TimeUs::default().after_ms(1_000 + ms)
}

fn blocks() -> ClientBlocks {
    let mut builder = ClientBlocksBuilder::new();
    for (line, text) in ["10.2.0.0/16 western-cape", "10.3.0.0/16 elsewhere"]
        .iter()
        .enumerate()
    {
        builder
            .declare_line(line as u32, text)
            .expect("valid block");
    }
    builder.build().expect("valid blocks")
}

fn resource(name: &str, kind: &str, spec: &Value) -> Resource {
    let all = json!({"name": name, "kind": kind, "spec": spec, "version": 1, "revision": 1});
    serde_json::from_value(all).expect("a resource")
}

/// A service, links that connect the regions in a row, and entries assigned to the regions in turn.
fn declared(entries: u32) -> Vec<Resource> {
    let mut declared = vec![resource(
        "browse",
        "service",
        &json!({
        "regions": REGIONS, "idempotent": true, "priority": "browse", "deadline_ms": 2000,
        "answer_bytes": 100}),
    )];
    for (pair, delay_us) in REGIONS.windows(2).zip([12_000, 20_000]) {
        declared.push(resource(
            &pair.join("-"),
            "link",
            &json!({
            "a": pair[0], "b": pair[1], "limit_kbps": 300_000, "delay_us": delay_us}),
        ));
    }
    for number in 1..=entries {
        let region = REGIONS[(number as usize - 1) % 3];
        let address = |port| format!("10.9.{}.{}:{port}", number / 200, number % 200);
        declared.push(resource(
            &format!("entry-{number}"),
            "entry",
            &json!({
            "region": region, "failure_domain": format!("{region}-a"),
            "address": address(8080), "peer_address": address(7000)}),
        ));
    }
    declared
}

fn core() -> EntryCore {
    let name: EntryName = "entry-1".parse().expect("valid name");
    let region: types::RegionName = REGIONS[0].parse().expect("valid name");
    let failure_domain: types::DomainName = "gauteng-a".parse().expect("valid name");
    let router = RouterConfig::new(name.clone(), region.clone(), failure_domain.clone());
    let config = EntryConfig {
        name,
        region,
        failure_domain,
        replicas: vec!["control-1".parse().expect("valid name")],
        lookup_lifetime_ms: 5_000,
        client_blocks: Some(Arc::new(blocks())),
        incarnation: 1,
    };
    EntryCore::new(config, router, at_ms(0))
}

/// Answers the polls and requests of the core, except the requests to the entries in `silent`.
fn answer_all(core: &mut EntryCore, resources: &[Resource], silent: &[&str]) {
    let mut outputs = Vec::new();
    for ms in [0, 300, 600] {
        core.step(at_ms(ms), Input::Tick, &mut outputs);
        for output in std::mem::take(&mut outputs) {
            answer(core, at_ms(ms), output, resources, silent);
        }
    }
}

fn answer(
    core: &mut EntryCore,
    now_us: TimeUs,
    output: Output,
    declared: &[Resource],
    silent: &[&str],
) {
    let mut outputs = Vec::new();
    match output {
        Output::Poll {
            replica, serial, ..
        } => {
            let change = |resource: &Resource| ConfigChange {
                revision: 1,
                key: resource.key(),
                resource: Some(resource.clone()),
            };
            let answer = ReplicaAnswer {
                last_index: 1,
                applied_index: 1,
                voters: 1,
                is_voter: true,
                complete: true,
                changes: declared.iter().map(change).collect(),
                ..ReplicaAnswer::default()
            };
            let input = Input::PollAnswer {
                replica: &replica,
                serial,
                answer,
            };
            core.step(now_us, input, &mut outputs);
        }
        Output::Sync { peer, serial, .. } if !silent.contains(&peer.as_str()) => {
            let answer = PeerAnswer::default();
            let input = Input::SyncAnswer {
                peer: &peer,
                serial,
                answer,
                stopping: false,
            };
            core.step(now_us, input, &mut outputs);
        }
        _ => {}
    }
}

fn look_up(core: &EntryCore, client: &str) -> LookupAnswer {
    let client: IpAddr = client.parse().expect("an address");
    let service = "browse".parse().expect("valid name");
    core.lookup(at_ms(600), &service, client)
        .expect("a declared service")
}

fn weights(core: &EntryCore, client: &str) -> BTreeMap<String, u32> {
    let entries = look_up(core, client).entries.into_iter();
    entries
        .map(|entry| (entry.name.to_string(), entry.weight))
        .collect()
}

fn expected_weights(weights: [(&str, u32); 3]) -> BTreeMap<String, u32> {
    weights
        .into_iter()
        .map(|(name, weight)| (name.to_owned(), weight))
        .collect()
}

#[test]
fn a_client_is_sent_to_the_entries_nearest_to_its_block() {
    let mut core = core();
    answer_all(&mut core, &declared(3), &[]);
    let from_own_region = expected_weights([("entry-1", 100), ("entry-2", 10), ("entry-3", 5)]);
    assert_eq!(weights(&core, "192.168.0.1"), from_own_region);
    let from_far_region = expected_weights([("entry-3", 100), ("entry-2", 10), ("entry-1", 5)]);
    assert_eq!(weights(&core, "10.2.0.1"), from_far_region);
    assert_eq!(weights(&core, "::ffff:10.2.0.1"), from_far_region);
    let unlinked = expected_weights([("entry-1", 100), ("entry-2", 100), ("entry-3", 100)]);
    assert_eq!(weights(&core, "10.3.0.1"), unlinked);
}

#[test]
fn the_next_region_is_the_nearest_when_the_entries_of_a_region_fail() {
    let mut core = core();
    answer_all(&mut core, &declared(3), &["entry-3"]);
    let expected: BTreeMap<String, u32> =
        [("entry-2".to_owned(), 100), ("entry-1".to_owned(), 10)].into();
    assert_eq!(weights(&core, "10.2.0.1"), expected);
}

#[test]
fn an_answer_of_many_entries_is_short_and_spreads_clients() {
    let mut core = core();
    answer_all(&mut core, &declared(720), &[]);
    let mut named_count: BTreeMap<String, u32> = BTreeMap::new();
    for host in 0..240 {
        let answer = look_up(&core, &format!("10.2.0.{host}"));
        assert_eq!(answer.entries.len(), 16);
        let near = answer.entries.iter().filter(|entry| entry.weight == 100);
        assert_eq!(near.count(), 12);
        let bytes = serde_json::to_vec(&answer).expect("JSON").len();
        assert!(bytes <= 1_500, "{bytes} bytes");
        for entry in answer.entries.iter().take(12) {
            *named_count.entry(entry.name.to_string()).or_default() += 1;
        }
    }
    assert_eq!(
        named_count.len(),
        240,
        "each of the region's entries is named"
    );
    assert!(
        named_count.values().all(|count| *count <= 40),
        "{named_count:?}"
    );
}
