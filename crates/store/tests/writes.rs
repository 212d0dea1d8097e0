//! Random writes and failures within them: a reopened folder holds what was written, or one of the
//! states that the failed write passes through.

mod files;

use files::{
    Fault, FaultyDisk, created_folder, entry, hard_state, is_same, open_unsynced as open, snapshot,
    stages,
};
use proptest::{collection::vec, prelude::*};
use raft::{Persist, Restored};
use store::{Store, StoreError};

/// The content of one random write.
#[derive(Clone, Debug)]
struct Step {
    /// Entries to append.
    add: u64,
    /// The last entry and this many before it are removed, but none that a snapshot covers.
    truncate: Option<u64>,
    /// The index of a new snapshot: with `install` this far past the last index, else one more
    /// than this past the old snapshot, but at most the last index.
    compact: Option<u64>,
    /// The snapshot comes from a leader and may reach past the end of the log.
    install: bool,
    /// The write sets the term and vote.
    vote: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let few = || proptest::option::weighted(0.3, 0_u64..6);
    (0_u64..5, few(), few(), any::<bool>(), any::<bool>()).prop_map(
        |(add, truncate, compact, install, vote)| Step {
            add,
            truncate,
            compact,
            install,
            vote,
        },
    )
}

/// A write that the Raft core could request when the folder holds `held`.
fn next_write(held: &Restored, step: &Step, term: u64) -> Persist {
    let base = held.snapshot.as_ref().map_or(0, |s| s.index);
    let last = held.entries.last().map_or(base, |e| e.index);
    let mut persist = Persist::default();
    let mut end = last;
    if let Some(ahead) = step.compact {
        let index = if step.install {
            last + ahead
        } else {
            last.min(base + 1 + ahead)
        };
        if index > base {
            persist.snapshot = Some(snapshot(index, 700));
            end = last.max(index);
        }
    }
    let floor = persist.snapshot.as_ref().map_or(base, |s| s.index);
    if let Some(back) = step.truncate.filter(|_| end > floor) {
        let from = (end - back.min(end - floor - 1)).max(floor + 1);
        persist.truncate_from = Some(from);
        end = from - 1;
    }
    persist.entries = (end + 1..=end + step.add)
        .map(|index| entry(index, term, 300))
        .collect();
    persist.hard_state = step.vote.then(|| hard_state(term));
    persist
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    #[test]
    fn reopened_folder_holds_what_was_written(steps in vec(step(), 1..12)) {
        let folder = created_folder();
        let mut held = Restored::default();
        for (term, step) in steps.iter().enumerate() {
            let (mut store, opened) = open(folder.path()).unwrap();
            prop_assert!(is_same(&opened.restored, &held), "{:?}", opened.restored);
            let persist = next_write(&held, step, term as u64 + 1);
            store.write(&persist).unwrap();
            held = stages(&held, &persist).pop().unwrap();
        }
    }

    #[test]
    fn merged_writes_store_the_same_as_separate_writes(steps in vec(step(), 1..12)) {
        let folder = created_folder();
        let (mut store, _) = open(folder.path()).unwrap();
        let mut held = Restored::default();
        let mut merged = Persist::default();
        for (term, step) in steps.iter().enumerate() {
            let persist = next_write(&held, step, term as u64 + 1);
            held = stages(&held, &persist).pop().unwrap();
            if let Err(next) = merged.merge(persist) {
                store.write(&merged).unwrap();
                merged = *next;
            }
        }
        store.write(&merged).unwrap();
        drop(store);
        let (_, opened) = open(folder.path()).unwrap();
        prop_assert!(is_same(&opened.restored, &held), "{:?}", opened.restored);
    }

    #[test]
    fn failed_write_leaves_one_of_its_intermediate_states(
        steps in vec(step(), 1..12),
        full in any::<bool>(),
        successes_left in 0_usize..60,
    ) {
        let folder = created_folder();
        let fault = if full { Fault::Full } else { Fault::Sync };
        let disk = Box::new(FaultyDisk { fault, successes_left });
        let opened = Store::open_with_disk(folder.path(), "vm-0", disk);
        let Ok((mut store, _)) = opened else { return Ok(()) };
        let mut held = Restored::default();
        let mut possible = vec![held.clone()];
        for (term, step) in steps.iter().enumerate() {
            let persist = next_write(&held, step, term as u64 + 1);
            possible = stages(&held, &persist);
            if store.write(&persist).is_err() {
                prop_assert!(matches!(store.write(&persist), Err(StoreError::EarlierWriteFailed)));
                break;
            }
            held = possible.pop().unwrap();
            possible = vec![held.clone()];
        }
        drop(store);
        let (_, opened) = open(folder.path()).unwrap();
        let is_possible = possible.iter().any(|state| is_same(state, &opened.restored));
        prop_assert!(is_possible, "{:?}", opened.restored);
    }
}
