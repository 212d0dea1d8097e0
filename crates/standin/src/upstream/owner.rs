//! The task that owns an upstream's state: its recorded runs, its load and its announced state.

use crate::{
    clock::Clock,
    record::{AttemptId, Run, RunState},
    upstream::{UpstreamSpec, body::RunGuard},
};
use tokio::sync::{mpsc, oneshot, watch};
use types::{TimeUs, UpstreamName, UpstreamState};

/// The state and load that are announced to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Status {
    pub state: UpstreamState,
    pub load: u32,
}

impl Status {
    pub(super) const fn new() -> Self {
        Self {
            state: UpstreamState::Ready,
            load: 0,
        }
    }
}

/// The index of a run in the upstream's records.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunIndex(usize);

#[derive(Debug)]
pub(super) enum Message {
    /// Asks to run a request. The reply is `None` when no slot is free.
    Begin {
        attempt: AttemptId,
        reply: oneshot::Sender<Option<RunGuard>>,
    },
    /// A run has ended. The run's [`RunGuard`] sends it.
    End { run: RunIndex, state: RunState },
    /// Changes the announced state to leaving and replies with the time.
    Leave { reply: oneshot::Sender<TimeUs> },
    /// Replies with the records of all runs so far.
    Report { reply: oneshot::Sender<Vec<Run>> },
}

#[derive(Debug)]
pub(super) struct Owner {
    name: UpstreamName,
    slots: u32,
    clock: Clock,
    status: watch::Sender<Status>,
    load: u32,
    runs: Vec<Run>,
    inbox: mpsc::UnboundedSender<Message>,
}

impl Owner {
    pub(super) fn new(
        spec: &UpstreamSpec,
        clock: Clock,
        status: watch::Sender<Status>,
        inbox: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self {
            name: spec.name.clone(),
            slots: spec.slots,
            clock,
            status,
            load: 0,
            runs: Vec::new(),
            inbox,
        }
    }

    pub(super) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::Begin { attempt, reply } => self.begin(attempt, reply),
                Message::End { run, state } => self.end(run, state),
                Message::Leave { reply } => self.leave(reply),
                Message::Report { reply } => {
                    let _ = reply.send(self.runs.clone());
                }
            }
        }
    }

    fn begin(&mut self, attempt: AttemptId, reply: oneshot::Sender<Option<RunGuard>>) {
        if self.load >= self.slots {
            let _ = reply.send(None);
            return;
        }
        let run = RunIndex(self.runs.len());
        self.runs.push(Run {
            upstream: self.name.clone(),
            attempt,
            started_us: self.clock.now_us(),
            state: RunState::Running,
        });
        self.set_load(self.load + 1);
        let _ = reply.send(Some(RunGuard::new(run, self.inbox.clone())));
    }

    fn end(&mut self, run: RunIndex, state: RunState) {
        if let Some(record) = self.runs.get_mut(run.0) {
            record.state = state;
        }
        self.set_load(self.load.saturating_sub(1));
    }

    fn leave(&mut self, reply: oneshot::Sender<TimeUs>) {
        self.status
            .send_modify(|status| status.state = UpstreamState::Leaving);
        let _ = reply.send(self.clock.now_us());
    }

    fn set_load(&mut self, load: u32) {
        self.load = load;
        self.status.send_modify(|status| status.load = load);
    }
}
