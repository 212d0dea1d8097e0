//! Stand-ins for the platform, its clients, its workers and another writer, for the scripts of
//! this folder. Only the standard library is used, so that `rustc` alone builds it.

mod cases;
mod deployment;
mod http;
mod record;
mod worker;

use std::{path::PathBuf, process::ExitCode};

/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    let result = match case.as_str() {
        "dead-voters" => cases::dead_voters::run(&record, has_trouble),
        "large-bodies" => cases::large_bodies::run(&record, has_trouble),
        "other-writer" => cases::other_writer::run(&record, has_trouble),
        "log-growth" => cases::log_growth::run(&record, has_trouble),
        "misleading-load" => cases::misleading_load::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}").into()),
    };
    let (line, code) = match &result {
        Ok(None) => ("held".to_owned(), 0),
        Ok(Some(broken)) => (format!("BROKEN: {broken}"), 1),
        Err(error) => (format!("not run: {error}"), NOT_RUN),
    };
    record.note(&line);
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("the record can't be written: {error}");
        return ExitCode::from(NOT_RUN);
    }
    println!("{line}");
    ExitCode::from(code)
}
