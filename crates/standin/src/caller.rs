//! Stand-in callers: tasks that look up entries, send requests through them by weight and record
//! the result of every attempt.

mod lookup;
mod sender;

pub use crate::caller::lookup::pick;

use crate::{
    clock::Clock,
    record::{Request, RequestNumber},
};
use sender::Sender;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};
use types::{LookupEntry, Outcome, ServiceName};

/// The requests that the callers of one service send.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service that they call.
    pub service: ServiceName,
    /// Whether a request may run twice: it is sent with GET then, otherwise with POST and an
    /// idempotency key.
    pub idempotent: bool,
    /// How many callers run. Each has at most one request in flight.
    pub callers: u32,
    /// The least time between the starts of two requests of a caller.
    pub interval: Duration,
    /// The deadline of an attempt, stated to the entry.
    pub deadline: Duration,
    /// The size of a complete answer's body.
    pub answer_bytes: usize,
    /// How many times a caller tries to send a request that does not run. A try without a known
    /// entry counts too.
    pub attempts_max: u32,
    /// Sends every request through this entry, without look-ups.
    pub fixed_entry: Option<LookupEntry>,
}

/// Counts of what the callers have done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Callers that have started their first request.
    pub callers_started: u64,
    /// Requests that ended, with any outcome.
    pub ended: u64,
    /// Ended requests whose outcome is finished.
    pub finished: u64,
}

/// The callers did not reach the awaited progress before a timeout.
#[derive(Debug, Error)]
#[error("{finished} requests finished in time, expected {wanted}")]
pub struct NoProgress {
    /// How many requests finished.
    pub finished: u64,
    /// The awaited number.
    pub wanted: u64,
}

/// Handle to running callers. Dropping it aborts their tasks.
#[derive(Debug)]
pub struct Callers {
    stop: watch::Sender<bool>,
    progress: watch::Receiver<Progress>,
    senders: JoinSet<()>,
    collector: JoinSet<Vec<Request>>,
}

impl Callers {
    /// Starts the callers of each load. They send look-ups to `entries`, the next one after an
    /// error.
    #[must_use]
    pub fn start(loads: &[Load], entries: &[SocketAddr], clock: Clock) -> Self {
        let (stop, stopping) = watch::channel(false);
        let (records, recorded) = mpsc::unbounded_channel();
        let (publish, progress) = watch::channel(Progress::default());
        let mut senders = JoinSet::new();
        let prefix: u16 = rand::random();
        let mut caller = 0;
        for load in loads {
            for _ in 0..load.callers {
                let sender = Sender::new(load, entries, clock, first_number(prefix, caller));
                senders.spawn(run_caller(
                    sender,
                    load.interval,
                    stopping.clone(),
                    records.clone(),
                ));
                caller += 1;
            }
        }
        let mut collector = JoinSet::new();
        collector.spawn(collect(recorded, publish));
        Self {
            stop,
            progress,
            senders,
            collector,
        }
    }

    /// The current counts.
    #[must_use]
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Waits until `additional` more requests have finished than now.
    ///
    /// # Errors
    ///
    /// [`NoProgress`] after `wait_timeout`.
    pub async fn wait_for_finished(
        &self,
        additional: u64,
        wait_timeout: Duration,
    ) -> Result<(), NoProgress> {
        let mut progress = self.progress.clone();
        let wanted = progress.borrow().finished + additional;
        let reached = progress.wait_for(|progress| progress.finished >= wanted);
        if matches!(timeout(wait_timeout, reached).await, Ok(Ok(_))) {
            return Ok(());
        }
        Err(NoProgress {
            finished: self.progress().finished,
            wanted,
        })
    }

    /// Waits until every caller has started its first request.
    ///
    /// # Errors
    ///
    /// [`NoProgress`] after `wait_timeout`.
    pub async fn wait_for_all_started(&self, wait_timeout: Duration) -> Result<(), NoProgress> {
        let mut progress = self.progress.clone();
        let wanted = self.senders.len() as u64;
        let reached = progress.wait_for(|progress| progress.callers_started >= wanted);
        if matches!(timeout(wait_timeout, reached).await, Ok(Ok(_))) {
            return Ok(());
        }
        Err(NoProgress {
            finished: 0,
            wanted,
        })
    }

    /// Stops the callers after their current request and returns all records.
    pub async fn stop(mut self) -> Vec<Request> {
        self.stop.send_replace(true);
        while self.senders.join_next().await.is_some() {}
        match self.collector.join_next().await {
            Some(Ok(requests)) => requests,
            Some(Err(_)) | None => Vec::new(),
        }
    }
}

/// The first request number of a caller: 16 bits of prefix, which is random for each
/// [`Callers::start`], 16 bits of caller and 32 bits that count the caller's requests. So callers
/// that are started together share no number, and no idempotency key.
fn first_number(prefix: u16, caller: u16) -> RequestNumber {
    RequestNumber(u64::from(prefix) << 48 | u64::from(caller) << 32)
}

/// A message from a caller to the collector.
#[derive(Debug)]
enum Record {
    /// The caller starts its first request.
    Started,
    /// A request has ended, with any outcome.
    Ended(Request),
}

async fn run_caller(
    mut sender: Sender,
    interval: Duration,
    mut stopping: watch::Receiver<bool>,
    records: mpsc::UnboundedSender<Record>,
) {
    let _ = records.send(Record::Started);
    loop {
        let next = Instant::now() + interval;
        let request = sender.send_next().await;
        if records.send(Record::Ended(request)).is_err() {
            return;
        }
        tokio::select! {
            _ = stopping.wait_for(|stop| *stop) => return,
            () = sleep_until(next) => {}
        }
    }
}

async fn collect(
    mut recorded: mpsc::UnboundedReceiver<Record>,
    progress: watch::Sender<Progress>,
) -> Vec<Request> {
    let mut requests = Vec::new();
    while let Some(record) = recorded.recv().await {
        match record {
            Record::Started => progress.send_modify(|progress| progress.callers_started += 1),
            Record::Ended(request) => {
                let finished = request.outcome() == Outcome::Finished;
                progress.send_modify(|progress| {
                    progress.ended += 1;
                    progress.finished += u64::from(finished);
                });
                requests.push(request);
            }
        }
    }
    requests
}
