//! The process's log: one line for each decision and each change of what the process believes.

use settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Fuse, Level, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{AsyncCore, AsyncError};
use std::{
    collections::BTreeMap,
    io,
    sync::{Mutex, PoisonError},
};

/// Lines that wait for the writer; further ones are dropped and counted.
const QUEUE_LINES: usize = 512;

/// A logger to standard output, in the declared format, from the declared level up.
pub fn logger(settings: &LogSettings, node: &str) -> Logger {
    let level = level(settings.level);
    let drain = match settings.format {
        LogFormat::Text => text(level),
        LogFormat::Json => json(level),
    };
    Logger::root(drain, o!("node" => node.to_owned()))
}

fn text(level: Level) -> Fuse<Bounded> {
    let decorator = slog_term::PlainDecorator::new(io::stdout());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build();
    background(drain.filter_level(level).ignore_res())
}

fn json(level: Level) -> Fuse<Bounded> {
    let drain = slog_json::Json::default(io::stdout());
    background(Mutex::new(drain).filter_level(level).ignore_res())
}

/// Hands lines to a thread that writes them. A line that can't be written, since its reader is gone,
/// has nowhere else to go.
fn background<D>(drain: D) -> Fuse<Bounded>
where
    D: Drain<Err = Never, Ok = ()> + Send + 'static,
{
    let queue = AsyncCore::custom(drain).chan_size(QUEUE_LINES);
    let bounded = Bounded {
        queue: queue.blocking(false).build(),
        dropped: Mutex::default(),
    };
    bounded.fuse()
}

/// Hands lines to the writer's queue and never waits for room in it.
struct Bounded {
    queue: AsyncCore,
    /// Dropped lines by their message, until they are told.
    dropped: Mutex<BTreeMap<String, u64>>,
}

impl Bounded {
    /// Writes how many lines were dropped, once there is room.
    fn tell_dropped(&self, values: &OwnedKVList) {
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        if dropped.is_empty() {
            return;
        }
        let lines: u64 = dropped.values().sum();
        let kinds = dropped
            .iter()
            .map(|(kind, lines)| format!("{kind}: {lines}"));
        let kinds = kinds.collect::<Vec<_>>().join(", ");
        let told = self.queue.log(
            &record!(
                Level::Warning,
                "",
                &format_args!("log lines dropped"),
                b!("lines" => lines, "kinds" => kinds)
            ),
            values,
        );
        if told.is_ok() {
            dropped.clear();
        }
    }
}

impl Drain for Bounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.queue.log(record, values) {
            Ok(()) => self.tell_dropped(values),
            Err(AsyncError::Full) => {
                let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
                *dropped.entry(record.msg().to_string()).or_default() += 1;
            }
            // The writer has ended with the process's end; nobody is left to be told.
            Err(AsyncError::Fatal(_)) => {}
        }
        Ok(())
    }
}

const fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}
