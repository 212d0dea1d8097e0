//! The command `explain`: finds the log records of one request among the logs of several processes,
//! with the state that these processes had last logged before.

use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};
use thiserror::Error;

/// The digits to which the fraction of a second is padded when times are compared.
const FRACTION_DIGITS: usize = 9;

/// The fields that say what a state record is about. Of the records of one process with the same
/// message and the same value of such a field, only the latest is kept.
const SUBJECT_FIELDS: [&str; 3] = ["upstream", "replica", "listen"];

/// The fields that every log line has; they are not kept in [`Record::fields`].
const COMMON_FIELDS: [&str; 4] = ["msg", "ts", "node", "level"];

/// No line of the logs is about the request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "no line of {lines} names the request {request:?} ({unreadable_lines} lines can't be read)"
)]
pub struct RequestNotFound {
    /// The id of the request.
    pub request: String,
    /// The number of lines that are not blank.
    pub lines: usize,
    /// The number of these lines that hold no log record.
    pub unreadable_lines: usize,
}

/// One log record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Record {
    /// When it was written, by the process's own clock, as an RFC 3339 time in UTC.
    pub at: String,
    /// The name of the node whose process wrote it.
    pub node: String,
    /// The text of the log line, from its key `msg`.
    pub message: String,
    /// All fields but the common ones.
    pub fields: Map<String, Value>,
}

/// What happened to a request, and the state of the processes that logged something about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Explanation {
    /// The id of the request.
    pub request: String,
    /// The latest relevant state records of these processes, up to the request's first record.
    #[serde(rename = "beliefs")]
    pub prior_states: Vec<Record>,
    /// The records about the request, in order of time.
    pub events: Vec<Record>,
    /// The number of lines that hold no log record.
    #[serde(rename = "damaged")]
    pub unreadable_lines: usize,
}

/// Collects the records of one request from the lines of all logs.
///
/// Records are ordered by the clocks of the processes that wrote them. Records without a request
/// are state records.
///
/// # Errors
///
/// [`RequestNotFound`] when no record names the request.
pub fn explain<'a>(
    request: &str,
    lines: impl Iterator<Item = &'a str>,
) -> Result<Explanation, RequestNotFound> {
    let (mut line_count, mut unreadable_lines) = (0, 0);
    let mut records = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        line_count += 1;
        match parse_record(line) {
            Some(record) => records.push(record),
            None => unreadable_lines += 1,
        }
    }
    records.sort_by_key(|record| time_key(&record.at));
    let is_of_request =
        |record: &Record| record.fields.get("request").and_then(Value::as_str) == Some(request);
    let events: Vec<Record> = records
        .iter()
        .filter(|it| is_of_request(it))
        .cloned()
        .collect();
    let Some(first) = events.first() else {
        return Err(RequestNotFound {
            request: request.to_owned(),
            lines: line_count,
            unreadable_lines,
        });
    };
    let nodes: BTreeSet<&str> = events.iter().map(|event| event.node.as_str()).collect();
    let first_time = time_key(&first.at);
    let mut prior_states: BTreeMap<(String, String, String), Record> = BTreeMap::new();
    let state_records = records
        .iter()
        .filter(|it| !it.fields.contains_key("request"));
    for record in state_records.filter(|it| nodes.contains(it.node.as_str())) {
        if time_key(&record.at) <= first_time {
            let subject = SUBJECT_FIELDS
                .iter()
                .find_map(|name| record.fields.get(*name));
            let subject = subject.map(Value::to_string).unwrap_or_default();
            let key = (record.node.clone(), record.message.clone(), subject);
            prior_states.insert(key, record.clone());
        }
    }
    let mut prior_states: Vec<Record> = prior_states.into_values().collect();
    prior_states.retain(|record| is_relevant(record, &events));
    prior_states.sort_by_key(|record| time_key(&record.at));
    Ok(Explanation {
        request: request.to_owned(),
        prior_states,
        events,
        unreadable_lines,
    })
}

/// Whether a state record concerns the request: it is about no upstream, or about one that an
/// event of the request names.
fn is_relevant(record: &Record, events: &[Record]) -> bool {
    record.fields.get("upstream").is_none_or(|upstream| {
        let named = events.iter().map(|event| event.fields.get("upstream"));
        named.into_iter().any(|it| it == Some(upstream))
    })
}

/// Parses a line; text before its first brace, such as a time that a log collector adds, is
/// skipped.
fn parse_record(line: &str) -> Option<Record> {
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

/// The time as text that sorts in order of time: its fraction has a fixed number of digits.
fn time_key(at: &str) -> String {
    let at = at.trim_end_matches('Z');
    let (seconds, fraction) = at.split_once('.').unwrap_or((at, ""));
    format!("{seconds}.{fraction:0<FRACTION_DIGITS$}")
}

/// The explanation as text for the terminal.
#[must_use]
pub fn to_text(explanation: &Explanation) -> String {
    let mut text = format!("request {}\n", explanation.request);
    for (title, records) in [
        ("believed before", &explanation.prior_states),
        ("happened", &explanation.events),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{title}:");
        for record in records {
            let fields: Vec<String> = record
                .fields
                .iter()
                .filter(|(name, _)| *name != "request")
                .map(|(name, value)| format!("{name}={}", display_value(value)))
                .collect();
            let Record {
                at, node, message, ..
            } = record;
            let _ = writeln!(text, "  {at} {node} {message} {}", fields.join(" "));
        }
    }
    if explanation.unreadable_lines > 0 {
        let _ = writeln!(text, "{} lines can't be read", explanation.unreadable_lines);
    }
    text
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
