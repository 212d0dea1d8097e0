//! How the allocator divides a limit, and how soon it moves unused capacity to other entries.

use proptest::prelude::{any, prop, prop_assert, proptest};
use share::{Allocator, Holder, HolderId, LEASE_MS, Participant, Pool, counted_ms, fair_shares};
use types::TimeUs;

const LIMIT: u64 = 100;
const DEADLINE_MS: u64 = 2_000;

fn pool() -> Pool {
    Pool::Region {
        region: "gauteng".parse().expect("valid name"),
    }
}

fn entry(index: usize) -> HolderId {
    HolderId {
        entry: format!("entry-{index}").parse().expect("valid name"),
        incarnation: 1,
    }
}

fn at_ms(ms: u64) -> TimeUs {
    TimeUs::default().after_ms(1_000 + ms)
}

fn allocator() -> Allocator {
    let mut allocator = Allocator::new(1, at_ms(0), DEADLINE_MS);
    allocator.set_first_limit(&pool(), LIMIT);
    allocator
}

/// Sends an entry's want and applies the grant without delay; returns what the entry may use.
fn renew(
    allocator: &mut Allocator,
    holder: &mut Holder,
    index: usize,
    now_ms: u64,
    demand: u64,
) -> u64 {
    let want = holder.want(at_ms(now_ms), &pool(), 0, demand);
    let grant = allocator.answer_want(at_ms(now_ms), &entry(index), true, &want);
    if let Some(grant) = grant {
        holder.apply(at_ms(now_ms), at_ms(now_ms), &grant);
    }
    holder.usable(&pool()).0
}

#[test]
fn unused_capacity_moves_to_demand_within_two_polls() {
    let mut allocator = allocator();
    let (mut idle, mut busy) = (Holder::new(), Holder::new());
    assert!(renew(&mut allocator, &mut idle, 0, 0, 90) >= 90);
    assert!(renew(&mut allocator, &mut busy, 1, 100, 80) <= 10);
    renew(&mut allocator, &mut idle, 0, 250, 5);
    renew(&mut allocator, &mut busy, 1, 350, 80);
    renew(&mut allocator, &mut idle, 0, 500, 5);
    assert!(renew(&mut allocator, &mut busy, 1, 600, 80) >= 80);
}

#[test]
fn a_crashed_entry_keeps_its_share_only_until_its_work_must_have_ended() {
    let mut allocator = allocator();
    let (mut crashed, mut other) = (Holder::new(), Holder::new());
    assert!(renew(&mut allocator, &mut crashed, 0, 0, LIMIT) >= LIMIT);
    let held_ms = counted_ms(DEADLINE_MS);
    assert_eq!(renew(&mut allocator, &mut other, 1, held_ms - 1, LIMIT), 0);
    assert_eq!(
        renew(&mut allocator, &mut other, 1, held_ms + 1, LIMIT),
        LIMIT
    );
}

#[test]
fn a_new_leader_first_only_confirms_what_entries_hold() {
    let mut first = allocator();
    let (mut holding, mut other) = (Holder::new(), Holder::new());
    let held = renew(&mut first, &mut holding, 0, 0, 60);
    let mut second = Allocator::new(2, at_ms(1_000), DEADLINE_MS);
    second.set_limit(&pool(), LIMIT);
    assert_eq!(renew(&mut second, &mut holding, 0, 1_100, 60), held);
    assert_eq!(renew(&mut second, &mut other, 1, 1_200, 40), 0);
    let later_ms = 1_000 + counted_ms(DEADLINE_MS);
    renew(&mut second, &mut holding, 0, later_ms, 60);
    assert!(renew(&mut second, &mut other, 1, later_ms + 250, 40) >= 40);
}

#[test]
fn a_new_leader_moves_capacity_among_holders_that_applied_its_grants() {
    let mut first = allocator();
    let (mut idle, mut busy) = (Holder::new(), Holder::new());
    renew(&mut first, &mut idle, 0, 0, 60);
    renew(&mut first, &mut busy, 1, 100, 10);
    let mut second = Allocator::new(2, at_ms(1_000), DEADLINE_MS);
    second.set_limit(&pool(), LIMIT);
    let mut used = 0;
    for round in 0..6 {
        let now_ms = 1_100 + round * 250;
        renew(&mut second, &mut idle, 0, now_ms, 5);
        used = renew(&mut second, &mut busy, 1, now_ms + 50, 60);
    }
    assert!(used >= 60, "{used} of 60");
}

/// A want that was delayed until the next term reports more than the entry still holds. The new
/// leader confirms that amount, though another entry was granted most of it since. The entry must
/// not use more than it still holds.
#[test]
fn a_delayed_want_to_a_new_leader_does_not_restore_returned_capacity() {
    let mut first = allocator();
    let (mut giving, mut taking) = (Holder::new(), Holder::new());
    renew(&mut first, &mut giving, 0, 0, 90);
    let delayed = giving.want(at_ms(50), &pool(), 0, 90);
    renew(&mut first, &mut giving, 0, 100, 0);
    renew(&mut first, &mut giving, 0, 200, 0);
    let taken = renew(&mut first, &mut taking, 1, 300, 80);
    let mut second = Allocator::new(2, at_ms(1_000), DEADLINE_MS);
    second.set_limit(&pool(), LIMIT);
    let grant = second
        .answer_want(at_ms(1_000), &entry(0), true, &delayed)
        .expect("the new leader answers its first want from the entry");
    giving.apply(at_ms(1_000), at_ms(50), &grant);
    let used = giving.usable(&pool()).0 + taken;
    assert!(used <= LIMIT, "{used} of {LIMIT}");
}

#[test]
fn a_lowered_limit_is_in_force_once_every_holder_sent_a_want() {
    let mut allocator = allocator();
    let (mut a, mut b) = (Holder::new(), Holder::new());
    renew(&mut allocator, &mut a, 0, 0, 50);
    renew(&mut allocator, &mut b, 1, 0, 50);
    allocator.set_limit(&pool(), 20);
    let used =
        renew(&mut allocator, &mut a, 0, 250, 50) + renew(&mut allocator, &mut b, 1, 250, 50);
    assert!(used <= 20, "{used} of 20");
}

#[test]
fn a_grant_that_arrives_after_its_lease_is_ignored() {
    let mut allocator = allocator();
    let mut holder = Holder::new();
    let want = holder.want(at_ms(0), &pool(), 0, 10);
    let grant = allocator
        .answer_want(at_ms(10), &entry(0), true, &want)
        .expect("the allocator answers the entry's first want");
    assert!(!holder.apply(at_ms(LEASE_MS), at_ms(0), &grant));
}

#[test]
fn local_entries_are_served_first() {
    let participant = |demand, local| Participant { demand, local };
    let shares = fair_shares(
        LIMIT,
        &[
            participant(70, true),
            participant(70, false),
            participant(20, true),
        ],
    );
    assert_eq!(shares, [70, 10, 20]);
}

proptest! {
    #[test]
    fn fair_shares_keep_the_limit_and_serve_small_demands_first(
        limit in 0_u64..1_000,
        demands in prop::collection::vec((0_u64..300, any::<bool>()), 1..12),
    ) {
        let participants: Vec<Participant> =
            demands.iter().map(|&(demand, local)| Participant { demand, local }).collect();
        let shares = fair_shares(limit, &participants);
        prop_assert!(shares.iter().sum::<u64>() <= limit);
        let local_count = participants.iter().filter(|p| p.local).count() as u64;
        for (participant, share) in participants.iter().zip(&shares) {
            let equal = limit.checked_div(local_count).unwrap_or(limit / participants.len() as u64);
            let served_first = participant.local || local_count == 0;
            prop_assert!(!served_first || *share >= participant.demand.min(equal));
        }
        let local_unserved =
            participants.iter().zip(&shares).any(|(p, s)| p.local && *s < p.demand);
        let remote_served = participants.iter().zip(&shares).any(|(p, s)| !p.local && *s > 0);
        prop_assert!(!local_unserved || !remote_served);
    }
}
