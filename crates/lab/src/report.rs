//! Runs many experiments at once and writes their results as tables and as the report's page.

use crate::{
    deployment::Deployment,
    measure::Results,
    run::{Experiment, run},
    scenario::{Chooser, Scenario},
};
use route::Policy;
use std::{fmt::Write, sync::Mutex, thread};
use strum::IntoEnumIterator;

/// Loads that the report covers, in percent of what all slots can finish.
const LOADS: [u32; 4] = [50, 80, 95, 120];
/// Experiments that run at once.
const THREADS: usize = 4;

const INTRODUCTION: &str = "\
# Routing: results

Written by `cargo run --release --package lab -- report --output docs/ROUTING-RESULTS.md`. Virtual
time, fakes of workers and links, every chooser against the same arrivals and the same work. Ten
seconds are measured; the incident comes in their middle. Work is log-normal (sigma 0.8) around each
service's mean. Region shares sum up to the region's slots and link shares to the link's rate.

- `all-knowing` sees every worker at once, has one queue, knows each request's work, and is bound by
  no share and no cap: a reference that no deployment could run. `p99 / limit` compares with it.
- `rate` is what finished in the measured time, in percent of what all slots could finish; in the
  scenarios that lose slots, of what they could before.
- `region room` is the least part of a region's slots that no running request took, `share room` the
  same with requests and answers on their way, as the entries count; the all-knowing chooser frees a
  slot before its answer has arrived, so its `share room` falls below zero. `link room` is the least
  part of a link's rate left in 100 ms.
- `failed` are answers of status 500. Finished, refused, unknown and failed are of the requests sent in
  the measured time.
";

const HEAD: &str = "\
| chooser | p50 ms | p99 ms | p99.9 ms | p99 / limit | finished % | refused % | unknown % | failed % | rate % | region room % | share room % | link room % | drain ms | attempts |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

const SUMMARY_HEAD: &str = "\
| deployment | p99 / limit at 80% (at most 1.2) | rate % at 120% (at least 95) | least region room % | least share room % | least link room % | caps exceeded | run twice |
| --- | --- | --- | --- | --- | --- | --- | --- |
";

const SCENARIOS_HEAD: &str = "\
p99 / limit and refused % at 80%, rate % at 120%; each for adaptive, power of two and, where it
differs from one, the all-knowing chooser. Under lying health power of two lets failing upstreams
answer errors at once, which frees their slots; the tables below count these as failed.

| deployment | scenario | p99 adaptive | p99 power of two | refused adaptive | refused power of two | refused limit | rate adaptive | rate power of two | rate limit |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// A Markdown table with a row for each experiment, all of one scenario at one load.
///
/// `p99 / limit` is the ratio to the all-knowing chooser, and empty where it is not among them.
#[must_use]
pub fn table(experiments: &[Experiment], results: &[Results]) -> String {
    let limit = experiments
        .iter()
        .zip(results)
        .find(|(experiment, _)| experiment.chooser == Chooser::AllKnowing)
        .map(|(_, results)| results.latency.p99_us);
    let mut text = HEAD.to_owned();
    for (experiment, results) in experiments.iter().zip(results) {
        write_row(&mut text, experiment.chooser, results, limit);
    }
    text
}

fn write_row(text: &mut String, chooser: Chooser, results: &Results, limit_us: Option<u64>) {
    let outcomes = &results.outcomes;
    let percent = |count: u64| 100.0 * count as f64 / outcomes.arrived.max(1) as f64;
    let ms = |us: u64| us as f64 / 1e3;
    let ratio = limit_us.map_or_else(String::new, |limit_us| {
        format!("{:.2}", results.latency.p99_us as f64 / limit_us as f64)
    });
    let drain = results
        .drain_ms
        .map_or_else(String::new, |ms| ms.to_string());
    let _ = writeln!(
        text,
        "| {chooser} | {:.1} | {:.1} | {:.1} | {ratio} | {:.2} | {:.2} | {:.3} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {drain} | {:.2} |",
        ms(results.latency.p50_us),
        ms(results.latency.p99_us),
        ms(results.latency.p999_us),
        percent(outcomes.finished),
        percent(outcomes.refused),
        percent(outcomes.unknown),
        percent(outcomes.failed),
        results.finished_percent,
        results.region_headroom_percent,
        results.share_headroom_percent,
        results.link_headroom_percent,
        results.attempts_per_request,
    );
}

/// The use of slots and the refusals by reason, one line for each experiment.
#[must_use]
pub fn refusals(experiments: &[Experiment], results: &[Results]) -> String {
    let lines = experiments.iter().zip(results);
    lines
        .map(|(experiment, results)| {
            format!(
                "{}: running {:.1}%, reserved {:.1}%, {:?}\n",
                experiment.chooser,
                results.running_percent,
                results.reserved_percent,
                results.refusals
            )
        })
        .collect()
}

/// Runs experiments on several threads; results are in the order of the experiments.
#[must_use]
pub fn run_all(experiments: &[Experiment]) -> Vec<Results> {
    let next = Mutex::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = {
                        let mut next = next.lock().expect("no holder panics");
                        *next += 1;
                        *next - 1
                    };
                    let Some(experiment) = experiments.get(index) else {
                        return;
                    };
                    let results = run(experiment);
                    done.lock()
                        .expect("no holder panics")
                        .push((index, results));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no holder panics");
    done.sort_by_key(|&(index, _)| index);
    done.into_iter().map(|(_, results)| results).collect()
}

/// The table that compares the adaptive policy with its targets, for each deployment.
fn summary(experiments: &[Experiment], results: &[Results], seed: u64) -> String {
    let adaptive = Chooser::Routers(Policy::Adaptive);
    let find = |deployment, load, chooser| {
        let mut all = experiments.iter().zip(results);
        all.find(|(e, _)| {
            (e.deployment, e.load_percent, e.chooser) == (deployment, load, chooser)
                && e.scenario == Scenario::Calm
        })
        .map(|(_, results)| results)
    };
    let mut text = format!("\n## Targets, adaptive policy, seed {seed}\n\n{SUMMARY_HEAD}");
    for deployment in Deployment::iter() {
        let (Some(at_80), Some(at_120), Some(limit)) = (
            find(deployment, 80, adaptive),
            find(deployment, 120, adaptive),
            find(deployment, 80, Chooser::AllKnowing),
        ) else {
            continue;
        };
        let of_deployment = experiments.iter().zip(results).filter(|(experiment, _)| {
            (experiment.deployment, experiment.chooser) == (deployment, adaptive)
        });
        let of_deployment: Vec<&Results> = of_deployment.map(|(_, results)| results).collect();
        let min = |room: fn(&Results) -> f64| {
            of_deployment
                .iter()
                .map(|r| room(r))
                .fold(f64::INFINITY, f64::min)
        };
        let _ = writeln!(
            text,
            "| {deployment} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {} | {} |",
            at_80.latency.p99_us as f64 / limit.latency.p99_us as f64,
            at_120.finished_percent,
            min(|results| results.region_headroom_percent),
            min(|results| results.share_headroom_percent),
            min(|results| results.link_headroom_percent),
            of_deployment.iter().map(|r| r.cap_violations).sum::<u64>(),
            of_deployment.iter().map(|r| r.second_runs).sum::<u64>(),
        );
    }
    text
}

/// The table of every scenario; it names no target, since some scenarios lose slots.
fn scenarios(experiments: &[Experiment], results: &[Results]) -> String {
    let find = |deployment, scenario, load, chooser| {
        let mut all = experiments.iter().zip(results);
        all.find(|(e, _)| {
            (e.deployment, e.scenario, e.load_percent, e.chooser)
                == (deployment, scenario, load, chooser)
        })
        .map(|(_, results)| results)
    };
    let mut text = format!("\n## Every scenario\n\n{SCENARIOS_HEAD}");
    for deployment in Deployment::iter() {
        for scenario in Scenario::iter() {
            let cell = |load, chooser| find(deployment, scenario, load, chooser);
            let adaptive = Chooser::Routers(Policy::Adaptive);
            let power_of_two = Chooser::Routers(Policy::PowerOfTwo);
            let (Some(at_80), Some(two_80), Some(limit_80)) = (
                cell(80, adaptive),
                cell(80, power_of_two),
                cell(80, Chooser::AllKnowing),
            ) else {
                continue;
            };
            let rate = |load, chooser| cell(load, chooser).map_or(0.0, |r| r.finished_percent);
            let refused = |results: &Results| {
                let outcomes = &results.outcomes;
                100.0 * outcomes.refused as f64 / outcomes.arrived.max(1) as f64
            };
            let limit_us = limit_80.latency.p99_us as f64;
            let _ = writeln!(
                text,
                "| {deployment} | {scenario} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} |",
                at_80.latency.p99_us as f64 / limit_us,
                two_80.latency.p99_us as f64 / limit_us,
                refused(at_80),
                refused(two_80),
                refused(limit_80),
                rate(120, adaptive),
                rate(120, power_of_two),
                rate(120, Chooser::AllKnowing),
            );
        }
    }
    text
}

/// Runs every deployment, scenario, load and chooser, and returns the results as a Markdown page.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut page = INTRODUCTION.to_owned();
    let choosers = Chooser::all();
    let mut experiments = Vec::new();
    for deployment in Deployment::iter() {
        for scenario in Scenario::iter() {
            for load in LOADS {
                experiments.extend(choosers.iter().map(|&chooser| {
                    Experiment::new(deployment, scenario, chooser)
                        .with_load_percent(load)
                        .with_seed(seed)
                }));
            }
        }
    }
    let results = run_all(&experiments);
    page.push_str(&summary(&experiments, &results, seed));
    page.push_str(&scenarios(&experiments, &results));
    let tables = experiments
        .chunks(choosers.len())
        .zip(results.chunks(choosers.len()));
    for (experiments, results) in tables {
        let first = &experiments[0];
        let _ = write!(
            page,
            "\n## {}, {}, {}%\n\n{}",
            first.deployment,
            first.scenario,
            first.load_percent,
            table(experiments, results)
        );
    }
    page
}
