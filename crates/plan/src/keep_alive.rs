//! Until when a client's connection is kept open, while plans change the limit on idleness.
//!
//! A client goes by the plan that it knows, which may be older or newer than the one in force here. So
//! the largest limit of all plans since the connection was opened binds it.

use types::TimeUs;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// A request is served, or its answer is still being written.
    Serving,
    /// A part of the next head has come.
    Receiving,
    /// Nothing of a further request has come since then.
    Idle {
        /// The opening of the connection or the end of the last answer.
        since_us: TimeUs,
    },
}

/// Until when one connection is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlive {
    idle_timeout_ms: u64,
    is_retiring: bool,
}

impl KeepAlive {
    /// A connection that was opened under this limit on idleness.
    #[must_use]
    pub const fn new(idle_timeout_ms: u64) -> Self {
        Self {
            idle_timeout_ms,
            is_retiring: false,
        }
    }

    /// Takes over the limit of a later plan if it is larger.
    pub fn extend(&mut self, idle_timeout_ms: u64) {
        self.idle_timeout_ms = self.idle_timeout_ms.max(idle_timeout_ms);
    }

    /// Ends the connection as soon as it is idle.
    pub const fn retire(&mut self) {
        self.is_retiring = true;
    }

    /// Whether the next answer is the last one of the connection.
    #[must_use]
    pub const fn is_retiring(&self) -> bool {
        self.is_retiring
    }

    /// When the connection is closed if it stays in this phase; `None` where that is not for idleness.
    #[must_use]
    pub const fn closes_at(&self, phase: ConnectionPhase) -> Option<TimeUs> {
        match phase {
            ConnectionPhase::Serving | ConnectionPhase::Receiving => None,
            ConnectionPhase::Idle { since_us } if self.is_retiring => Some(since_us),
            ConnectionPhase::Idle { since_us } => Some(since_us.after_ms(self.idle_timeout_ms)),
        }
    }
}
