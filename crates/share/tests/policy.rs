//! Who gets how much, and how long unused room stays with one entry.

use proptest::prelude::{any, prop, prop_assert, proptest};
use share::{Allocator, Claim, Holder, HolderId, LEASE_MS, Pool, counted_ms, fair_shares};
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

/// One entry asks and takes the answer at once; returns what it may use.
fn renew(
    allocator: &mut Allocator,
    holder: &mut Holder,
    index: usize,
    now_ms: u64,
    demand: u64,
) -> u64 {
    let want = holder.want(at_ms(now_ms), &pool(), 0, demand);
    let grant = allocator.ask(at_ms(now_ms), &entry(index), true, &want);
    if let Some(grant) = grant {
        holder.apply(at_ms(now_ms), at_ms(now_ms), &grant);
    }
    holder.usable(&pool()).0
}

#[test]
fn unused_room_moves_to_demand_within_two_polls() {
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
fn a_dead_entry_keeps_its_share_only_until_its_work_must_have_ended() {
    let mut allocator = allocator();
    let (mut dead, mut other) = (Holder::new(), Holder::new());
    assert!(renew(&mut allocator, &mut dead, 0, 0, LIMIT) >= LIMIT);
    let held_ms = counted_ms(DEADLINE_MS);
    assert_eq!(renew(&mut allocator, &mut other, 1, held_ms - 1, LIMIT), 0);
    assert_eq!(
        renew(&mut allocator, &mut other, 1, held_ms + 1, LIMIT),
        LIMIT
    );
}

#[test]
fn a_new_leader_confirms_what_entries_hold_and_grants_nothing_new_at_first() {
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
fn under_a_new_leader_what_known_holders_hold_moves_to_demand() {
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

#[test]
fn a_delayed_question_to_a_new_leader_brings_back_nothing_that_was_given_back() {
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
        .ask(at_ms(1_000), &entry(0), true, &delayed)
        .expect("granted");
    giving.apply(at_ms(1_000), at_ms(50), &grant);
    let used = giving.usable(&pool()).0 + taken;
    assert!(used <= LIMIT, "{used} of {LIMIT}");
}

#[test]
fn a_lowered_figure_is_in_force_once_every_holder_asked_again() {
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
fn a_grant_is_void_when_its_answer_comes_after_the_lease() {
    let mut allocator = allocator();
    let mut holder = Holder::new();
    let want = holder.want(at_ms(0), &pool(), 0, 10);
    let grant = allocator
        .ask(at_ms(10), &entry(0), true, &want)
        .expect("granted");
    assert!(!holder.apply(at_ms(LEASE_MS), at_ms(0), &grant));
}

#[test]
fn entries_that_stand_there_are_served_first() {
    let claim = |demand, near| Claim { demand, near };
    let shares = fair_shares(LIMIT, &[claim(70, true), claim(70, false), claim(20, true)]);
    assert_eq!(shares, [70, 10, 20]);
}

proptest! {
    #[test]
    fn fair_shares_keep_the_limit_and_serve_small_demands_first(
        limit in 0_u64..1_000,
        demands in prop::collection::vec((0_u64..300, any::<bool>()), 1..12),
    ) {
        let claims: Vec<Claim> =
            demands.iter().map(|&(demand, near)| Claim { demand, near }).collect();
        let shares = fair_shares(limit, &claims);
        prop_assert!(shares.iter().sum::<u64>() <= limit);
        let near = claims.iter().filter(|claim| claim.near).count() as u64;
        for (claim, share) in claims.iter().zip(&shares) {
            let equal = limit.checked_div(near).unwrap_or(limit / claims.len() as u64);
            let first = claim.near || near == 0;
            prop_assert!(!first || *share >= claim.demand.min(equal));
        }
        let near_unserved = claims.iter().zip(&shares).any(|(c, s)| c.near && *s < c.demand);
        let far_served = claims.iter().zip(&shares).any(|(c, s)| !c.near && *s > 0);
        prop_assert!(!near_unserved || !far_served);
    }
}
