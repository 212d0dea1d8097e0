//! The command `watch`: prints changes, or waits until all resources are in force.

use crate::{call::ControlClient, error::CtlError, table::Table};
use bytes::Bytes;
use hyper::Method;
use state::{
    Change, EntryProgress, ResourceItem, ResourceList, ResourceState, ResourceStatus, WatchAnswer,
};
use std::{collections::BTreeMap, io::Write, time::Duration};
use tokio::time::{Instant, sleep};
use types::Key;

/// How often `watch --until-in-force` lists the resources again.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// How long a replica may hold a watch request while nothing changes, in milliseconds.
const WATCH_WAIT_MS: u64 = 20_000;

/// How long after the `wait_ms` of a watch request its answer may arrive.
const WATCH_MARGIN: Duration = Duration::from_secs(5);

/// The number of resources in force, out of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForceCount {
    /// The number of resources in force.
    pub in_force: usize,
    /// The number of all resources.
    pub total: usize,
}

/// Counts the resources that are in force.
#[must_use]
pub fn count_in_force(list: &ResourceList) -> InForceCount {
    let in_force = |item: &&ResourceItem| item.status.state == ResourceState::InForce;
    InForceCount {
        in_force: list.items.iter().filter(in_force).count(),
        total: list.items.len(),
    }
}

/// The most entries that a line names in each list of entries; the others are only counted.
const NAMES_MAX: usize = 3;

/// One line on what keeps a resource from being in force, and on the progress of a drain or shift.
pub(crate) fn status_line(status: &ResourceStatus) -> String {
    let waiting = status.waiting.iter().map(|waiting| {
        let seconds = waiting.since_ms as f64 / 1_000.0;
        format!("{} for {seconds:.1} s", waiting.entry)
    });
    let rejected = status
        .rejected
        .iter()
        .map(|rejected| format!("{}: {}", rejected.entry, rejected.reason));
    let fenced = status.fenced.iter().map(|entry| format!("{entry} fenced"));
    let progress = status.progress.iter().map(progress_text);
    let parts = [
        join_first(waiting, status.waiting_count),
        join_first(rejected, status.rejected.len() as u32),
        join_first(fenced, status.fenced_count),
        join_first(progress, status.progress.len() as u32),
    ];
    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    parts.join(", ")
}

fn progress_text(entry_progress: &EntryProgress) -> String {
    let entry = &entry_progress.entry;
    match &entry_progress.progress {
        types::Progress::Drain { in_flight } => format!("{entry}: {in_flight} in flight"),
        types::Progress::Shift {
            step_percent,
            target_percent,
            state,
            reason,
        } => {
            format!("{entry}: {step_percent} of {target_percent}%, {state} ({reason})")
        }
    }
}

/// Joins the first [`NAMES_MAX`] of `count` texts, and says how many more there are.
fn join_first(texts: impl Iterator<Item = String>, count: u32) -> String {
    let named: Vec<String> = texts.take(NAMES_MAX).collect();
    let more = count.saturating_sub(named.len() as u32);
    match more {
        0 => named.join(", "),
        more => format!("{} and {more} more", named.join(", ")),
    }
}

/// Prints each change of a resource's version or state until all resources are in force.
pub(crate) async fn wait_until_in_force(
    control: &mut ControlClient,
    deadline: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let mut printed: BTreeMap<Key, (u64, ResourceState)> = BTreeMap::new();
    loop {
        let list: ResourceList = control
            .call(Method::GET, "/v1/resources", Bytes::new())
            .await?;
        for item in &list.items {
            let current = (item.resource.version, item.status.state);
            if printed.insert(item.resource.key(), current) != Some(current) {
                print_item(item, json, out)?;
            }
        }
        let InForceCount { in_force, total } = count_in_force(&list);
        if in_force == total {
            if !json {
                writeln!(out, "all {total} resources are in force")?;
            }
            return Ok(());
        }
        if Instant::now() + POLL_PERIOD >= deadline {
            print_not_in_force(&list, json, out)?;
            return Err(CtlError::NotInForce { in_force, total });
        }
        sleep(POLL_PERIOD).await;
    }
}

fn print_item(item: &ResourceItem, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    if json {
        writeln!(out, "{}", serde_json::to_string(item)?)?;
        return Ok(());
    }
    let key = item.resource.key();
    let state = item.status.state;
    let detail = status_line(&item.status);
    let line = format!("{key} version {} {state} {detail}", item.resource.version);
    writeln!(out, "{}", line.trim_end())?;
    Ok(())
}

fn print_not_in_force(
    list: &ResourceList,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    if json {
        return Ok(());
    }
    let mut table = Table::new(&["RESOURCE", "STATE", "WAITS FOR"]);
    for item in &list.items {
        if item.status.state != ResourceState::InForce {
            table.push([
                item.resource.key().to_string(),
                item.status.state.to_string(),
                status_line(&item.status),
            ]);
        }
    }
    write!(out, "{table}")?;
    Ok(())
}

/// Prints each change of a declaration as it comes, until the deadline.
pub(crate) async fn print_changes(
    control: &mut ControlClient,
    deadline: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let list: ResourceList = control
        .call(Method::GET, "/v1/resources", Bytes::new())
        .await?;
    let mut from = list.revision;
    while let Some(left) = deadline.checked_duration_since(Instant::now()) {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let wait_ms = WATCH_WAIT_MS.min(left_ms);
        let path = format!("/v1/watch?from={from}&wait_ms={wait_ms}");
        let answer_timeout = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let answer: WatchAnswer = control
            .call_with_timeout(Method::GET, &path, Bytes::new(), answer_timeout)
            .await?;
        for change in &answer.events {
            print_change(change, json, out)?;
        }
        from = answer.revision;
    }
    Ok(())
}

fn print_change(change: &Change, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    if json {
        writeln!(out, "{}", serde_json::to_string(change)?)?;
        return Ok(());
    }
    let Change { revision, key, .. } = change;
    match &change.resource {
        Some(resource) => writeln!(out, "{revision} {key} version {}", resource.version)?,
        None => writeln!(out, "{revision} {key} withdrawn")?,
    }
    Ok(())
}
