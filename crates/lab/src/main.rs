//! Command line of the lab: prints a table of one scenario, or writes the report of all of them.

use anyhow::{Context, Result, bail};
use lab::{Chooser, Deployment, Experiment, Scenario, refusals, report, run_all, table};
use lexopt::prelude::{Long, Value, ValueExt};
use route::{Cap, Limits};
use std::fs;

const USAGE: &str = "usage: lab [report [--output FILE]] [--deployment wirecraft|joto] [--load PERCENT] \
    [--scenario NAME] [--policy NAME|all] [--seed N] [--refusals] [--no-shares] [--cap PERCENT]";

struct Options {
    report: bool,
    output: Option<String>,
    deployment: Deployment,
    load_percent: u32,
    scenario: Scenario,
    policy: String,
    seed: u64,
    refusals: bool,
    shares: bool,
    cap: Cap,
}

fn main() -> Result<()> {
    let options = parse_options()?;
    if options.report {
        let page = report(options.seed);
        match options.output {
            Some(path) => fs::write(&path, page).with_context(|| format!("can't write {path}"))?,
            None => print!("{page}"),
        }
        return Ok(());
    }
    let choosers = match options.policy.as_str() {
        "all" => Chooser::all(),
        "all-knowing" => vec![Chooser::AllKnowing],
        name => vec![Chooser::Routers(name.parse()?), Chooser::AllKnowing],
    };
    let experiments: Vec<Experiment> = choosers
        .into_iter()
        .map(|chooser| {
            let experiment = Experiment::new(options.deployment, options.scenario, chooser)
                .with_load_percent(options.load_percent)
                .with_seed(options.seed)
                .with_cap(options.cap);
            match options.shares {
                true => experiment,
                false => experiment.without_shares(),
            }
        })
        .collect();
    let results = run_all(&experiments);
    print!("{}", table(&experiments, &results));
    if options.refusals {
        print!("\n{}", refusals(&experiments, &results));
    }
    Ok(())
}

fn parse_options() -> Result<Options> {
    let mut options = Options {
        report: false,
        output: None,
        deployment: Deployment::Wirecraft,
        load_percent: 80,
        scenario: Scenario::Calm,
        policy: "all".to_owned(),
        seed: 1,
        refusals: false,
        shares: true,
        cap: Limits::default().cap,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) if word == "report" => options.report = true,
            Long("output") => options.output = Some(parser.value()?.string()?),
            Long("deployment") => options.deployment = parser.value()?.parse()?,
            Long("load") => options.load_percent = parser.value()?.parse()?,
            Long("scenario") => options.scenario = parser.value()?.parse()?,
            Long("policy") => options.policy = parser.value()?.string()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("refusals") => options.refusals = true,
            Long("no-shares") => options.shares = false,
            Long("cap") => options.cap.percent = parser.value()?.parse()?,
            Long("help") => {
                println!("{USAGE}");
                std::process::exit(0);
            }
            _ => bail!("{}\n{USAGE}", arg.unexpected()),
        }
    }
    Ok(options)
}
