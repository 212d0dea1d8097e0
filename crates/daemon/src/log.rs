//! The process's log: lines only for changes of state.

use settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Fuse, Level, Logger, o};
use std::io;

/// A logger to standard error, in the declared format, from the declared level up.
pub fn logger(settings: &LogSettings, node: &str) -> Logger {
    let level = level(settings.level);
    let drain = match settings.format {
        LogFormat::Text => text(level),
        LogFormat::Json => json(level),
    };
    Logger::root(drain, o!("node" => node.to_owned()))
}

fn text(level: Level) -> Fuse<slog_async::Async> {
    let decorator = slog_term::PlainDecorator::new(io::stdout());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build();
    background(drain.filter_level(level).fuse())
}

fn json(level: Level) -> Fuse<slog_async::Async> {
    let drain = slog_json::Json::default(io::stdout());
    background(std::sync::Mutex::new(drain).filter_level(level).fuse())
}

fn background<D>(drain: D) -> Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).build().fuse()
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
