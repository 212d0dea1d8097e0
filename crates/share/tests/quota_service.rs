//! What tenants get of their quotas: those below their limit are served, those above it get their limit
//! without a message for each request.

mod quota_world;

use quota_world::{STEP_MS, World};
use share::{QuotaLimit, QuotaTerms};

/// The bound of both users' deployments.
const TERMS: QuotaTerms = QuotaTerms {
    window_ms: 5_000,
    overage_milli: 100,
    slack_milli: 20_000,
};

const fn limit(rate_per_s: u64, burst: u64) -> QuotaLimit {
    QuotaLimit {
        rate_milli_per_s: rate_per_s * 1_000,
        burst,
    }
}

/// A fixed sequence of random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

/// Random arrivals of `per_s` requests at some gateways, for some seconds. Returns how many there were.
fn load(world: &mut World, per_s: u64, gateways: &[usize], seconds: u64) -> u64 {
    let mut random = Random(7);
    let mut requests = 0;
    for _ in 0..seconds * 1_000 / STEP_MS {
        // Ten chances a step: nearly Poisson.
        for _ in 0..10 {
            let chances = 1_000 / STEP_MS * 10;
            let (whole, rest) = (per_s / chances, per_s % chances);
            let count = whole + u64::from(random.below(chances) < rest);
            for _ in 0..count {
                let index = random.below(gateways.len() as u64) as usize;
                world.request(gateways[index], None);
                requests += 1;
            }
        }
        world.step();
        world.tell_gateways();
    }
    requests
}

/// A world in which leadership has lasted for some time.
fn calm(gateways: usize, limit: QuotaLimit, terms: QuotaTerms) -> World {
    let mut world = World::new(gateways, limit, terms);
    for _ in 0..8 {
        world.tell_gateways();
        world.run_ms(1_000);
    }
    world
}

// With static parts alone, a tenant whose clients use two of 34 gateways got a seventeenth of its rate.
#[test]
fn a_large_tenant_at_two_gateways_is_served_up_to_its_rate() {
    let mut world = calm(34, limit(823, 823), TERMS);
    let requests = load(&mut world, 800, &[3, 20], 20);
    assert_eq!(world.refused(), 0, "of {requests}");
    assert_eq!(world.excess(), None);
}

// With rates leased by demand, a tenant of 5 requests a second at 15 gateways found an empty bucket at
// most of them.
#[test]
fn a_small_tenant_at_many_gateways_is_served_up_to_its_rate() {
    let all: Vec<usize> = (0..15).collect();
    let mut world = calm(34, limit(5, 5), TERMS);
    let requests = load(&mut world, 5, &all, 60);
    assert_eq!(world.refused(), 0, "of {requests}");
}

// Tokens that are fetched in advance and expire at gateways are lost to the tenant.
#[test]
fn a_tenant_spread_over_all_gateways_is_served_up_to_its_rate() {
    let all: Vec<usize> = (0..34).collect();
    for rate_per_s in [60, 250, 823] {
        let mut world = calm(34, limit(rate_per_s, rate_per_s), TERMS);
        let requests = load(&mut world, rate_per_s * 95 / 100, &all, 20);
        assert_eq!(world.refused(), 0, "of {requests} at {rate_per_s}");
    }
}

// A burst that the quota allows must not be refused because only a part of the leader's size may be in hand.
#[test]
fn a_burst_after_a_calm_time_is_served_whole() {
    let mut world = calm(34, limit(200, 400), TERMS);
    (0..400).for_each(|_| world.request(5, None));
    world.run_ms(400);
    assert_eq!(world.refused(), 0);
}

// A tenant at ten times its rate must neither cost a message for each request nor get less than its rate.
#[test]
fn far_above_the_limit_requests_are_refused_without_messages() {
    const GATEWAYS: usize = 34;
    const SECONDS: u64 = 20;
    /// The polls that are sent anyway are 2.5 of them.
    const REPORTS_MAX_PER_S: u64 = 12;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    let mut world = calm(GATEWAYS, limit(100, 100), TERMS);
    let (reports, ran) = (world.reports(), world.ran_ms.len());
    load(&mut world, 1_000, &all, SECONDS);
    let ran = (world.ran_ms.len() - ran) as u64;
    let per_s = (world.reports() - reports) / (SECONDS * GATEWAYS as u64);
    println!("{ran} ran, {per_s} reports a second and gateway");
    assert!(ran > 100 * SECONDS * 95 / 100, "{ran}");
    assert!(per_s <= REPORTS_MAX_PER_S, "{per_s}");
    assert_eq!(world.excess(), None);
}

// A window check that no load comes near would not show anything.
#[test]
fn a_tenant_far_above_its_limit_after_a_calm_time_gets_nearly_all_that_a_window_allows() {
    let limit = limit(100, 100);
    let all: Vec<usize> = (0..34).collect();
    let mut world = calm(34, limit, TERMS);
    load(&mut world, 1_000, &all, 5);
    let (ran, most) = (world.ran_ms.len() as f64, TERMS.window_tokens_max(limit));
    assert!(ran > most * 0.9 && ran <= most, "{ran} of {most}");
}

// The gateway that asks first or most often must not take what others want.
#[test]
fn a_gateway_with_much_load_leaves_others_their_part() {
    let mut world = calm(4, limit(100, 100), TERMS);
    let mut small = 0;
    for step in 0..2_000 {
        (0..20).for_each(|_| world.request(0, None));
        if step % 10 == 0 {
            world.request(1, None);
            small += 1;
        }
        world.step();
        world.tell_gateways();
    }
    let ran = world.gateways[1].ran;
    println!("{ran} of {small}");
    assert!(ran * 100 > small * 85, "{ran} of {small}");
}

// A gateway that is cut off must still serve its part, and from the start of a cut nothing twice.
#[test]
fn a_gateway_that_is_cut_off_has_its_static_part() {
    const CUT_MS: u64 = 60_000;
    let mut world = calm(10, limit(100, 100), TERMS);
    world.gateways[2].cut_until_ms = world.now_ms + CUT_MS;
    world.run_ms(10_000);
    let ran = world.gateways[2].ran;
    load(&mut world, 10, &[2], 20);
    let ran = world.gateways[2].ran - ran;
    // 0.3 of the rate, divided by ten.
    assert!(ran >= 3 * 20, "{ran}");
    assert_eq!(world.excess(), None);
}

// While the leader is lost, gateways have no static part for some seconds, and a new leader's buckets
// start empty; the time until tenants are served again is bounded.
#[test]
fn a_new_leader_serves_tenants_again_within_two_seconds() {
    let mut world = calm(34, limit(300, 300), TERMS);
    let all: Vec<usize> = (0..34).collect();
    load(&mut world, 250, &all, 5);
    world.depose();
    load(&mut world, 250, &all, 1);
    world.elect();
    load(&mut world, 250, &all, 2);
    let refused = world.refused();
    load(&mut world, 250, &all, 10);
    assert_eq!(world.refused(), refused);
    assert_eq!(world.excess(), None);
}
