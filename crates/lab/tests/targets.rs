//! Tests that the adaptive policy meets its targets of latency, rate and headroom.
//!
//! Every run has one seed; most have six seconds of virtual time, four of which are measured.

use lab::{Chooser, Deployment, Experiment, Results, Scenario, run};
use route::{Cap, Policy};
use strum::IntoEnumIterator;

const END_US: u64 = 6_000_000;
const ADAPTIVE: Chooser = Chooser::Routers(Policy::Adaptive);
/// Highest p99 latency at 80% load, in percent of the all-knowing chooser's.
const P99_MAX_PERCENT: u64 = 120;
/// Lowest rate of finished requests at 120% load, in percent of the capacity.
const RATE_MIN_PERCENT: f64 = 95.0;

fn measure(deployment: Deployment, scenario: Scenario, chooser: Chooser, load: u32) -> Results {
    let experiment = Experiment::new(deployment, scenario, chooser)
        .with_load_percent(load)
        .with_end_us(END_US);
    run(&experiment)
}

#[test]
fn p99_at_80_percent_is_near_the_all_knowing_chooser() {
    for deployment in Deployment::iter() {
        let adaptive = measure(deployment, Scenario::Calm, ADAPTIVE, 80);
        let limit = measure(deployment, Scenario::Calm, Chooser::AllKnowing, 80);
        let (p99_us, limit_us) = (adaptive.latency.p99_us, limit.latency.p99_us);
        assert!(
            p99_us * 100 <= limit_us * P99_MAX_PERCENT,
            "{deployment}: {p99_us} against {limit_us}"
        );
    }
}

#[test]
fn overload_leaves_the_rate_of_finished_requests_near_the_capacity() {
    for deployment in Deployment::iter() {
        let adaptive = measure(deployment, Scenario::Calm, ADAPTIVE, 120);
        let percent = adaptive.finished_percent;
        assert!(percent >= RATE_MIN_PERCENT, "{deployment}: {percent}");
    }
}

#[test]
fn no_scenario_exceeds_a_limit_or_repeats_a_run() {
    for deployment in Deployment::iter() {
        for scenario in Scenario::iter() {
            let results = measure(deployment, scenario, ADAPTIVE, 95);
            let name = format!("{deployment}, {scenario}");
            assert!(results.region_headroom_percent >= 0.0, "{name}");
            assert!(results.share_headroom_percent >= 0.0, "{name}");
            assert!(results.link_headroom_percent >= 0.0, "{name}");
            assert_eq!(results.cap_violations, 0, "{name}");
            assert_eq!(results.second_runs, 0, "{name}");
        }
    }
}

#[test]
fn a_low_cap_holds_while_a_region_drains() {
    let cap = Cap {
        percent: 5,
        interval_ms: 1_000,
    };
    for deployment in Deployment::iter() {
        let experiment = Experiment::new(deployment, Scenario::RegionDrain, ADAPTIVE)
            .with_cap(cap)
            .with_end_us(END_US);
        assert_eq!(run(&experiment).cap_violations, 0, "{deployment}");
    }
}

#[test]
fn the_same_seed_gives_the_same_results() {
    let first = measure(Deployment::Wirecraft, Scenario::ColdRestart, ADAPTIVE, 80);
    let second = measure(Deployment::Wirecraft, Scenario::ColdRestart, ADAPTIVE, 80);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn a_drain_takes_no_longer_than_the_longest_request_and_two_seconds() {
    for deployment in Deployment::iter() {
        let results = run(&Experiment::new(
            deployment,
            Scenario::RegionDrain,
            ADAPTIVE,
        ));
        let drain_ms = results.drain_ms.expect("the region empties");
        assert!(drain_ms <= 4_000, "{deployment}: {drain_ms} ms");
    }
}
