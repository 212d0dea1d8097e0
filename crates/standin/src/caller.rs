//! Stand-in callers: they look up entries, send requests by weight and record what they are told.

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

/// What the callers of a service send.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service.
    pub service: ServiceName,
    /// Whether running a request twice does no harm; others carry an idempotency key.
    pub idempotent: bool,
    /// How many callers send at once.
    pub callers: u32,
    /// The pause of a caller between two requests.
    pub pause: Duration,
    /// How long a caller waits.
    pub deadline: Duration,
    /// The size of a whole answer.
    pub answer_bytes: usize,
    /// How often a request may be sent when it did not run.
    pub attempts_max: u32,
    /// The one entry to send through, instead of those that look-ups name.
    pub fixed_entry: Option<LookupEntry>,
}

/// How far the callers are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Callers that began their first request.
    pub callers_started: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Those of them that finished.
    pub finished: u64,
}

/// The callers made too little progress in time.
#[derive(Debug, Error)]
#[error("{finished} requests finished, {wanted} were waited for")]
pub struct NoProgress {
    /// How many finished.
    pub finished: u64,
    /// How many were waited for.
    pub wanted: u64,
}

/// Running callers; dropping them ends their tasks.
#[derive(Debug)]
pub struct Callers {
    stop: watch::Sender<bool>,
    progress: watch::Receiver<Progress>,
    senders: JoinSet<()>,
    collector: JoinSet<Vec<Request>>,
}

impl Callers {
    /// Starts the callers of each load; they ask any of `entries` for look-ups.
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
                    load.pause,
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

    /// How far they are now.
    #[must_use]
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Waits until this many more requests have finished.
    ///
    /// # Errors
    ///
    /// [`NoProgress`] when they have not within `wait_timeout`.
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

    /// Waits until every caller has begun its first request.
    ///
    /// # Errors
    ///
    /// [`NoProgress`] when one has not within `wait_timeout`.
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

    /// Lets each caller end its request and returns every record.
    pub async fn stop(mut self) -> Vec<Request> {
        self.stop.send_replace(true);
        while self.senders.join_next().await.is_some() {}
        match self.collector.join_next().await {
            Some(Ok(requests)) => requests,
            Some(Err(_)) | None => Vec::new(),
        }
    }
}

/// The first number of a caller; numbers of callers and of series don't overlap.
fn first_number(prefix: u16, caller: u16) -> RequestNumber {
    RequestNumber(u64::from(prefix) << 48 | u64::from(caller) << 32)
}

/// What a caller tells the collector.
#[derive(Debug)]
enum Record {
    /// It begins its first request.
    Started,
    /// A request has ended.
    Ended(Request),
}

async fn run_caller(
    mut sender: Sender,
    pause: Duration,
    mut stopping: watch::Receiver<bool>,
    records: mpsc::UnboundedSender<Record>,
) {
    let _ = records.send(Record::Started);
    loop {
        let next = Instant::now() + pause;
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
