//! Properties that hold for every sequence of commands.

mod resources;

use proptest::prelude::{
    Just, Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest,
};
use resources::{apply, drain, entry, key, link, put, region, service, shift};
use state::{Command, Declaration, Operation, State};
use std::collections::BTreeMap;
use types::{Key, Resource};

fn declaration() -> impl Strategy<Value = Declaration> {
    let region_name = prop_oneof![Just("gauteng"), Just("kzn"), Just("cape")];
    prop_oneof![
        (region_name.clone(), 0..3_u32).prop_map(|(name, slots)| region(name, slots)),
        (region_name.clone(), region_name.clone()).prop_map(|(a, b)| link("link", a, b)),
        region_name
            .clone()
            .prop_map(|name| service("browse", &[name])),
        (region_name.clone(), 1..3_u32).prop_map(|(name, n)| entry(
            "entry-1",
            name,
            &format!("{name}-a"),
            n
        )),
        (region_name.clone(), region_name.clone()).prop_map(|(a, b)| shift("shift", a, b, 5)),
        region_name.prop_map(|name| drain("drain", "region", name)),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    const KEYS: [&str; 4] = ["region/gauteng", "region/kzn", "link/link", "drain/drain"];
    prop_oneof![
        (declaration(), 0..3_u64).prop_map(|(declaration, version)| put(declaration, version)),
        (prop::sample::select(&KEYS[..]), 1..3_u64).prop_map(|(text, based_on)| {
            Operation::Delete {
                key: key(text),
                based_on,
            }
        }),
        (prop::collection::vec(declaration(), 0..5), any::<bool>())
            .prop_map(|(declarations, prune)| apply(declarations, prune)),
    ]
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    prop::collection::vec((0..30_u32, 0..1_000_u64, operation()), 1..60).prop_map(|parts| {
        let to_command = |(id, at_ms, operation): (u32, u64, Operation)| {
            resources::command(&format!("r{id}"), at_ms, operation)
        };
        parts.into_iter().map(to_command).collect()
    })
}

fn to_json(operation: &Operation) -> String {
    serde_json::to_string(operation).expect("JSON")
}

fn contents(state: &State) -> BTreeMap<Key, Resource> {
    state
        .resources(None)
        .map(|resource| (resource.key(), resource.clone()))
        .collect()
}

proptest! {
    #[test]
    fn commands_are_idempotent_atomic_and_replayable(
        commands in commands(),
        restart in 0..60_usize,
    ) {
        let mut state = State::new();
        let mut first_answers = BTreeMap::new();
        for (position, command) in commands.iter().enumerate() {
            let before = contents(&state);
            let revision = state.revision();
            let answer = state.apply(position as u64 + 1, command);
            let first_answer = first_answers
                .entry((command.request_id.clone(), to_json(&command.operation)))
                .or_insert_with(|| answer.clone());
            prop_assert_eq!(&answer, first_answer);
            if answer.is_err() || state.revision() == revision {
                prop_assert_eq!(&contents(&state), &before);
            }
            let changed = contents(&state)
                .into_iter()
                .filter(|(key, resource)| before.get(key) != Some(resource));
            for (key, resource) in changed {
                let version = before.get(&key).map_or(0, |old| old.version);
                prop_assert_eq!(resource.version, version + 1);
                prop_assert_eq!(resource.revision, position as u64 + 1);
            }
        }
        let mut restored = State::new();
        for (position, command) in commands.iter().enumerate() {
            if position == restart {
                let bytes = restored.encode().expect("JSON");
                restored = State::decode(&bytes).expect("a snapshot");
            }
            let _ = restored.apply(position as u64 + 1, command);
        }
        prop_assert_eq!(restored, state);
    }

    #[test]
    fn changes_since_any_index_update_a_copy_to_the_current_state(
        commands in commands(),
        at in 0..60_usize,
    ) {
        let mut state = State::new();
        let mut copy = BTreeMap::new();
        let mut index = 0;
        for (position, command) in commands.iter().enumerate() {
            let _ = state.apply(position as u64 + 1, command);
            if position == at {
                copy = contents(&state);
                index = state.applied_index();
            }
        }
        let changes = state.changes_since(index);
        if changes.complete {
            copy.clear();
        }
        for change in changes.changes {
            prop_assert!(changes.complete || change.revision > index);
            match change.resource {
                Some(resource) => copy.insert(change.key, resource),
                None => copy.remove(&change.key),
            };
        }
        prop_assert_eq!(copy, contents(&state));
    }
}
