//! Steps that a decision takes, whatever the number of upstreams.

mod common;

use common::{Bench, Step, config};
use route::Policy;

/// Groups and upstreams looked at for one arrival at most.
const MOST_STEPS: u64 = 12;

fn most_steps(upstreams: usize, policy: Policy) -> u64 {
    let mut bench = Bench::new(config().with_policy(policy));
    for index in 0..upstreams {
        let service = ["browse", "pay"][index % 2];
        let domain = ["here-a", "here-b", "there-a"][index % 3];
        bench.upstream(&format!("w{index}"), service, domain, 3);
    }
    let mut most = 0;
    let mut running = Vec::new();
    for _ in 0..upstreams {
        let before = bench.router.counters().steps;
        let (request, step) = bench.arrive("browse", true);
        most = most.max(bench.router.counters().steps - before);
        if matches!(step, Step::Forwarded(_)) {
            running.push(request);
        }
        if running.len() > upstreams / 4 {
            bench.finish(running.remove(0));
        }
    }
    most
}

#[test]
fn an_arrival_looks_at_few_upstreams_of_52_and_of_2000() {
    for policy in [Policy::PowerOfTwo, Policy::Adaptive] {
        for upstreams in [52, 2_000] {
            let steps = most_steps(upstreams, policy);
            assert!(steps <= MOST_STEPS, "{policy}, {upstreams}: {steps} steps");
        }
    }
}
