//! The cases of the review that are scripts. `review/N/run.sh` runs one: `cases N FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod clients;
mod crowd;
mod deployment;
mod foreign_answers;
mod http;
mod incomplete_report;
mod run_and_refused;
mod worker;

use std::{env, io, path::Path, process::ExitCode};

/// What a case has found.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
}

impl Verdict {
    const fn of(is_held: bool) -> Self {
        match is_held {
            true => Self::Held,
            false => Self::Broken,
        }
    }
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (case, folder) = (arguments.next(), arguments.next());
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let folder = folder.unwrap_or_default();
    let verdict = match case.as_deref() {
        Some("run-and-refused") => run_and_refused::run(Path::new(&folder), has_trouble),
        Some("crowd") => crowd::run(Path::new(&folder), has_trouble),
        Some("foreign-answers") => foreign_answers::run(Path::new(&folder), has_trouble),
        Some("incomplete-report") => incomplete_report::run(Path::new(&folder), has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match verdict {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case can't run: {error}");
            ExitCode::from(2)
        }
    }
}
