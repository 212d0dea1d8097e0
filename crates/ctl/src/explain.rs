//! The story of one request, from the logs of several processes.

use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};
use thiserror::Error;

/// Digits of a fraction of a second that times are compared by.
const FRACTION_DIGITS: usize = 9;

/// The fields that tell one belief of a kind from another.
const SUBJECTS: [&str; 3] = ["upstream", "replica", "listen"];

/// The fields that every line has.
const COMMON_FIELDS: [&str; 4] = ["msg", "ts", "node", "level"];

/// A request that can't be explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no line of {lines} names the request {request:?} ({damaged} lines can't be read)")]
pub struct NoSuchRequest {
    /// The request.
    pub request: String,
    /// How many lines were read.
    pub lines: usize,
    /// How many of them hold no record.
    pub damaged: usize,
}

/// One record of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Record {
    /// When it was written, by the process's own clock.
    pub at: String,
    /// The process.
    pub node: String,
    /// What happened.
    pub message: String,
    /// What else it tells.
    pub fields: Map<String, Value>,
}

/// What became of a request, and what the processes that touched it believed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Story {
    /// The request.
    pub request: String,
    /// The latest beliefs of the processes that touched it, as of its first record.
    pub beliefs: Vec<Record>,
    /// Its records, in order of time.
    pub events: Vec<Record>,
    /// The lines that hold no record.
    pub damaged: usize,
}

/// Joins the records of one request.
///
/// # Errors
///
/// [`NoSuchRequest`] when no record names it.
pub fn explain<'a>(
    request: &str,
    lines: impl Iterator<Item = &'a str>,
) -> Result<Story, NoSuchRequest> {
    let (mut count, mut damaged) = (0, 0);
    let mut records = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        count += 1;
        match read(line) {
            Some(record) => records.push(record),
            None => damaged += 1,
        }
    }
    records.sort_by_key(|record| time_key(&record.at));
    let names =
        |record: &Record| record.fields.get("request").and_then(Value::as_str) == Some(request);
    let events: Vec<Record> = records.iter().filter(|it| names(it)).cloned().collect();
    let Some(first) = events.first() else {
        return Err(NoSuchRequest {
            request: request.to_owned(),
            lines: count,
            damaged,
        });
    };
    let nodes: BTreeSet<&str> = events.iter().map(|event| event.node.as_str()).collect();
    let before = time_key(&first.at);
    let mut beliefs: BTreeMap<(String, String, String), Record> = BTreeMap::new();
    let others = records
        .iter()
        .filter(|it| !it.fields.contains_key("request"));
    for record in others.filter(|it| nodes.contains(it.node.as_str())) {
        if time_key(&record.at) <= before {
            let subject = SUBJECTS.iter().find_map(|name| record.fields.get(*name));
            let subject = subject.map(Value::to_string).unwrap_or_default();
            let key = (record.node.clone(), record.message.clone(), subject);
            beliefs.insert(key, record.clone());
        }
    }
    let mut beliefs: Vec<Record> = beliefs.into_values().collect();
    beliefs.retain(|belief| concerns(belief, &events));
    beliefs.sort_by_key(|record| time_key(&record.at));
    Ok(Story {
        request: request.to_owned(),
        beliefs,
        events,
        damaged,
    })
}

/// Whether a belief bears on a request: it is about no upstream, or about one that was tried.
fn concerns(belief: &Record, events: &[Record]) -> bool {
    belief.fields.get("upstream").is_none_or(|upstream| {
        let tried = events.iter().map(|event| event.fields.get("upstream"));
        tried.into_iter().any(|it| it == Some(upstream))
    })
}

/// A record; text before its first brace, such as a time that a collector adds, is left out.
fn read(line: &str) -> Option<Record> {
    let start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(line[start..].trim()).ok()?;
    let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
    let (message, at, node) = (text("msg")?, text("ts")?, text("node")?);
    fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
    Some(Record {
        at,
        node,
        message,
        fields,
    })
}

/// A time whose text sorts as the time does: its fraction has a fixed number of digits.
fn time_key(at: &str) -> String {
    let at = at.trim_end_matches('Z');
    let (seconds, fraction) = at.split_once('.').unwrap_or((at, ""));
    format!("{seconds}.{fraction:0<FRACTION_DIGITS$}")
}

/// The story as text for people.
#[must_use]
pub fn tell(story: &Story) -> String {
    let mut text = format!("request {}\n", story.request);
    for (title, records) in [
        ("believed before", &story.beliefs),
        ("happened", &story.events),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{title}:");
        for record in records {
            let fields: Vec<String> = record
                .fields
                .iter()
                .filter(|(name, _)| *name != "request")
                .map(|(name, value)| format!("{name}={}", plain(value)))
                .collect();
            let Record {
                at, node, message, ..
            } = record;
            let _ = writeln!(text, "  {at} {node} {message} {}", fields.join(" "));
        }
    }
    if story.damaged > 0 {
        let _ = writeln!(text, "{} lines can't be read", story.damaged);
    }
    text
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
