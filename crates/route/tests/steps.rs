//! Under power-of-two and adaptive, the cost of a choice must not grow with the number of
//! upstreams. The other two policies scan the group.

mod common;

use common::{Harness, Reaction, config};
use route::Policy;

/// The most groups and upstreams that the choice for one arrival may examine.
const STEPS_MAX: u64 = 12;

fn max_steps(upstreams: usize, policy: Policy) -> u64 {
    let mut harness = Harness::new(config().with_policy(policy));
    for index in 0..upstreams {
        let service = ["browse", "pay"][index % 2];
        let domain = ["here-a", "here-b", "there-a"][index % 3];
        harness.upstream(&format!("w{index}"), service, domain, 3);
    }
    let mut max = 0;
    let mut running = Vec::new();
    for _ in 0..upstreams {
        let before = harness.router.counters().steps;
        let (request, reaction) = harness.arrive("browse", true);
        max = max.max(harness.router.counters().steps - before);
        if matches!(reaction, Reaction::Forwarded(_)) {
            running.push(request);
        }
        if running.len() > upstreams / 4 {
            harness.finish(running.remove(0));
        }
    }
    max
}

#[test]
fn an_arrival_examines_few_upstreams_of_52_and_of_2000() {
    for policy in [Policy::PowerOfTwo, Policy::Adaptive] {
        for upstreams in [52, 2_000] {
            let steps = max_steps(upstreams, policy);
            assert!(steps <= STEPS_MAX, "{policy}, {upstreams}: {steps} steps");
        }
    }
}
