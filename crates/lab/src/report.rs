//! Tables of results.

use crate::{
    deployment::Deployment,
    measure::Results,
    run::{Experiment, run},
    scenario::{Chooser, Scenario},
};
use std::{fmt::Write, sync::Mutex, thread};
use strum::IntoEnumIterator;

/// Loads of the report, in percent.
const LOADS: [u32; 4] = [50, 80, 95, 120];
/// Experiments that run at once.
const THREADS: usize = 4;

const HEAD: &str = "\
| chooser | p50 ms | p99 ms | p99.9 ms | p99 / limit | finished % | refused % | unknown % | failed % | rate % | region room % | link room % | drain ms | attempts |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// One table: every chooser in one scenario at one load.
#[must_use]
pub fn table(experiments: &[Experiment], results: &[Results]) -> String {
    let limit = experiments
        .iter()
        .zip(results)
        .find(|(experiment, _)| experiment.chooser == Chooser::AllKnowing)
        .map(|(_, results)| results.latency.p99_us);
    let mut text = HEAD.to_owned();
    for (experiment, results) in experiments.iter().zip(results) {
        row(&mut text, experiment.chooser, results, limit);
    }
    text
}

fn row(text: &mut String, chooser: Chooser, results: &Results, limit_us: Option<u64>) {
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
        "| {chooser} | {:.1} | {:.1} | {:.1} | {ratio} | {:.2} | {:.2} | {:.3} | {:.2} | {:.1} | {:.0} | {:.0} | {drain} | {:.2} |",
        ms(results.latency.p50_us),
        ms(results.latency.p99_us),
        ms(results.latency.p999_us),
        percent(outcomes.finished),
        percent(outcomes.refused),
        percent(outcomes.unknown),
        percent(outcomes.failed),
        results.finished_percent,
        results.region_headroom_percent,
        results.link_headroom_percent,
        results.attempts_per_request,
    );
}

/// Refusals by name, one line for each experiment.
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

/// Runs experiments, some at once; results come in the order of the experiments.
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

/// Every table, as a page.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut page = String::new();
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
