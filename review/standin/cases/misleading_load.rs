//! For two seconds, one of six workers states a load that is not its own.

use super::{TwoKinds, starved};
use crate::{deployment::Result, record::Record};
use std::time::Duration;

/// The time before the disruption, and from its end until requests are counted.
const SETTLE: Duration = Duration::from_secs(5);

/// How long the worker misleads.
const MISLEADING: Duration = Duration::from_secs(2);

/// How long requests are counted.
const COUNTED: Duration = Duration::from_secs(20);

pub fn run(record: &Record, has_trouble: bool) -> Result<Option<String>> {
    let kinds = TwoKinds::start(record)?;
    let before = kinds.send(record, SETTLE);
    if before.iter().any(|it| it.share() < 0.9) {
        return Err("the kinds were not served before the disruption".into());
    }
    let busiest = kinds.workers.iter().max_by_key(|worker| worker.run_count());
    let worker = busiest.ok_or("there are no workers")?;
    if has_trouble {
        record.note(&format!("{} begins to mislead about its load", worker.id));
        worker.mislead(true);
    }
    kinds.send(record, MISLEADING);
    worker.mislead(false);
    record.note(&format!("{} states its own load again", worker.id));
    kinds.send(record, SETTLE);
    let after = kinds.send(record, COUNTED);
    kinds.end();
    Ok(starved(after))
}
