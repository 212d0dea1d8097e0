//! What was sent, answered and run, in the order in which it was seen.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// A shared list of lines, each with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:9.3} s  {line}", self.now_s());
        self.lines().push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines().join("\n") + "\n")
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
