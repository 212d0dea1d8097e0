//! The cases of the third review that are scripts: `review-3 CASE RECORD`. Exits with 0 if the rule
//! held, 1 if it was broken, and 2 if the case couldn't run.

mod deployment;
mod keys;
mod late_report;
mod memory;
mod pipelined;
mod stop;

use deployment::Record;
use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let ended = Record::new(Path::new(path)).and_then(|record| {
        let held = match case.as_str() {
            "stop" => stop::run(&record),
            "memory" => memory::run(&record),
            "late-report" => late_report::run(&record),
            "keys" => keys::run(&record),
            "pipelined" => pipelined::run(&record),
            _ => Err("no such case".to_owned()),
        };
        match &held {
            Ok(true) => record.line("the rule held"),
            Ok(false) => record.line("the rule was broken"),
            Err(error) => record.line(format!("the case couldn't run: {error}")),
        }
        held
    });
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
