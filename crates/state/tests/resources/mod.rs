//! Builders of declarations, operations and commands for the tests.

#![allow(dead_code)]

use serde_json::{Value, json};
use state::{ChangeAnswer, Command, Declaration, Operation, Rejection, State};
use types::{Key, Spec};

pub fn spec(kind: &str, spec: Value) -> Spec {
    serde_json::from_value(json!({"kind": kind, "spec": spec})).expect("a valid spec")
}

pub fn key(text: &str) -> Key {
    text.parse().expect("a valid key")
}

pub fn declare(text: &str, fields: Value, based_on: Option<u64>) -> Declaration {
    let key = key(text);
    Declaration {
        spec: spec(&key.kind.to_string(), fields),
        name: key.name,
        based_on,
    }
}

pub fn region(name: &str, capacity_slots: u32) -> Declaration {
    let domains = json!([format!("{name}-a"), format!("{name}-b")]);
    let fields = json!({"capacity_slots": capacity_slots, "failure_domains": domains});
    declare(&format!("region/{name}"), fields, None)
}

pub fn link(name: &str, a: &str, b: &str) -> Declaration {
    let fields = json!({"a": a, "b": b, "limit_kbps": 300_000, "delay_us": 12_000});
    declare(&format!("link/{name}"), fields, None)
}

pub fn service(name: &str, regions: &[&str]) -> Declaration {
    let fields = json!({"regions": regions, "idempotent": true, "priority": "browse",
        "deadline_ms": 1000, "answer_bytes": 10_000});
    declare(&format!("service/{name}"), fields, None)
}

pub fn entry(name: &str, region: &str, domain: &str, number: u32) -> Declaration {
    let fields = json!({"region": region, "failure_domain": domain,
        "address": format!("127.0.1.{number}:8080"),
        "peer_address": format!("127.0.1.{number}:8081")});
    declare(&format!("entry/{name}"), fields, None)
}

pub fn shift(name: &str, from: &str, to: &str, cap_percent: u32) -> Declaration {
    let fields = json!({"service": "browse", "from": from, "to": to, "target_percent": 50,
        "cap_percent": cap_percent, "interval_ms": 1000});
    declare(&format!("shift/{name}"), fields, None)
}

pub fn drain(name: &str, kind: &str, target: &str) -> Declaration {
    let fields = json!({"target": {"type": kind, "name": target}});
    declare(&format!("drain/{name}"), fields, None)
}

/// A valid set of resources: two regions with a link, a service, an entry, a shift and a drain.
pub fn deployment() -> Vec<Declaration> {
    vec![
        region("gauteng", 60),
        region("kzn", 60),
        link("gauteng-kzn", "gauteng", "kzn"),
        service("browse", &["gauteng", "kzn"]),
        entry("entry-1", "gauteng", "gauteng-a", 1),
        shift("browse-kzn", "gauteng", "kzn", 10),
        drain("entry-1", "entry", "entry-1"),
    ]
}

pub fn apply(declarations: Vec<Declaration>, prune: bool) -> Operation {
    Operation::Apply {
        declarations,
        prune,
    }
}

pub fn put(declaration: Declaration, based_on: u64) -> Operation {
    Operation::Put(Declaration {
        based_on: Some(based_on),
        ..declaration
    })
}

pub fn command(request_id: &str, at_ms: u64, operation: Operation) -> Command {
    Command {
        request_id: request_id.to_owned(),
        at_ms,
        operation,
    }
}

/// Applies an operation at the next log index, under a request id that no other command has.
pub fn run(state: &mut State, operation: Operation) -> Result<ChangeAnswer, Rejection> {
    let index = state.applied_index() + 1;
    state.apply(index, &command(&format!("r{index}"), index, operation))
}

/// The state after one command that declares [`deployment`], at revision 1.
pub fn deployed() -> State {
    let mut state = State::new();
    run(&mut state, apply(deployment(), false)).expect("the deployment is valid");
    state
}
