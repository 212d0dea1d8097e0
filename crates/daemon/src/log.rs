//! The process's log, written to standard output by a thread of its own. A slow reader of the log
//! never blocks the process: lines that don't fit into the queue are dropped and counted.

use settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Fuse, Level, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};
use std::{
    collections::BTreeMap,
    io,
    sync::{Mutex, PoisonError, mpsc},
    thread,
    time::Duration,
};

/// Capacity of the queue to the writer, in lines; further lines are dropped and counted.
const QUEUE_LINES: usize = 512;

/// A logger to standard output in the format of the settings, which drops lines below their level.
/// Every line carries the node's name. The writer is to be finished at the end of the process.
pub fn logger(settings: &LogSettings, node: &str) -> (Logger, LogWriter) {
    let level = level(settings.level);
    let (drain, writer) = match settings.format {
        LogFormat::Text => text(level),
        LogFormat::Json => json(level),
    };
    let log = Logger::root(drain, o!("node" => node.to_owned()));
    (log, writer)
}

/// The thread that writes the lines.
pub struct LogWriter(AsyncGuard);

impl LogWriter {
    /// Waits until the queued lines are written, at most for `timeout`: when nobody reads the log, the
    /// writer waits for ever.
    pub fn finish(self, timeout: Duration) {
        let (finished, is_finished) = mpsc::channel();
        let join = move || {
            drop(self.0);
            // The receiver is gone once the time is over.
            let _ = finished.send(());
        };
        let joining = thread::Builder::new()
            .name("log-end".to_owned())
            .spawn(join);
        if joining.is_ok() {
            // A timeout leaves lines unwritten, which nobody read.
            let _ = is_finished.recv_timeout(timeout);
        }
    }
}

fn text(level: Level) -> (Fuse<BoundedQueue>, LogWriter) {
    let decorator = slog_term::PlainDecorator::new(io::stdout());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build();
    spawn_writer(drain.filter_level(level).ignore_res())
}

fn json(level: Level) -> (Fuse<BoundedQueue>, LogWriter) {
    let drain = slog_json::Json::default(io::stdout());
    spawn_writer(Mutex::new(drain).filter_level(level).ignore_res())
}

/// Starts the thread that writes the lines. Errors of writing are ignored: when the reader of
/// standard output is gone, there is no other place to report them.
fn spawn_writer<D>(drain: D) -> (Fuse<BoundedQueue>, LogWriter)
where
    D: Drain<Err = Never, Ok = ()> + Send + 'static,
{
    let queue = AsyncCore::custom(drain).chan_size(QUEUE_LINES);
    let (queue, guard) = queue.blocking(false).build_with_guard();
    let bounded = BoundedQueue {
        queue,
        dropped: Mutex::default(),
    };
    (bounded.fuse(), LogWriter(guard))
}

/// Sends lines to the writer's queue without waiting, and counts those that the full queue drops.
struct BoundedQueue {
    queue: AsyncCore,
    /// Number of dropped lines by message, since the last line that reported them.
    dropped: Mutex<BTreeMap<String, u64>>,
}

impl BoundedQueue {
    /// Queues a line with the numbers of dropped lines, and resets them if the queue accepts it.
    fn report_dropped(&self, values: &OwnedKVList) {
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        if dropped.is_empty() {
            return;
        }
        let lines: u64 = dropped.values().sum();
        let kinds = dropped
            .iter()
            .map(|(kind, lines)| format!("{kind}: {lines}"));
        let kinds = kinds.collect::<Vec<_>>().join(", ");
        let queued = self.queue.log(
            &record!(
                Level::Warning,
                "",
                &format_args!("log lines dropped"),
                b!("lines" => lines, "kinds" => kinds)
            ),
            values,
        );
        if queued.is_ok() {
            dropped.clear();
        }
    }
}

impl Drain for BoundedQueue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.queue.log(record, values) {
            Ok(()) => self.report_dropped(values),
            Err(AsyncError::Full) => {
                let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
                *dropped.entry(record.msg().to_string()).or_default() += 1;
            }
            // The writer's thread has ended, so the line can't be written.
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
