//! Another writer leaves liveness reports of a service that no manifest names.

use super::{TwoKinds, starved};
use crate::{
    deployment::Result,
    record::Record,
    worker::{Worker, report, unix_ms},
};
use std::time::Duration;

/// The time before the reports, and from them until requests are counted.
const SETTLE: Duration = Duration::from_secs(5);

/// How long requests are counted.
const COUNTED: Duration = Duration::from_secs(20);

pub fn run(record: &Record, has_trouble: bool) -> Result<Option<String>> {
    let kinds = TwoKinds::start(record)?;
    let before = kinds.send(record, SETTLE);
    if before.iter().any(|it| it.share() < 0.9) {
        return Err("the kinds were not served before the reports".into());
    }
    if has_trouble {
        for (n, worker) in kinds.workers.iter().enumerate() {
            let id = format!("agent-{n}");
            let body = report("node-agent", worker.address, 1, unix_ms());
            let call = format!("instances.heartbeat&of={id}");
            let answered = kinds.deployment.control().call(&call, None, &body);
            record.note(&format!(
                "another writer reports {id}: {body}; answered {answered:?}"
            ));
        }
    }
    kinds.send(record, SETTLE);
    let reports = || kinds.workers.iter().map(Worker::reports).sum::<u64>();
    let reports_before = reports();
    let after = kinds.send(record, COUNTED);
    let sent = reports() - reports_before;
    record.note(&format!(
        "the workers of the later route sent {sent} reports meanwhile"
    ));
    kinds.end();
    Ok(starved(after))
}
