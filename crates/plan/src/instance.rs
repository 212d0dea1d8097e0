//! Upstreams as they register themselves.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};
use types::{DomainName, ServiceName, UpstreamName};

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes no new work.
    Draining,
    /// It was not heard for too long; a later heartbeat brings it back.
    Expired,
    /// It has left for good, or another instance has its address.
    Gone,
}

/// What an instance says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Registration {
    /// The instance.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// For how much longer it is cold.
    pub cold_ms: u64,
    /// When it started, by its own clock; 0 where it doesn't say.
    pub born_ms: u64,
    /// Counts its heartbeats.
    pub sequence: u64,
}

/// A registered instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Instance {
    /// The instance.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: InstanceState,
    /// Until when it is cold, by the log's clock.
    pub cold_until_ms: u64,
    /// When it started, by its own clock.
    pub born_ms: u64,
    /// The latest heartbeat that changed anything.
    pub sequence: u64,
    /// The index of the log entry that changed it last.
    pub revision: u64,
}

/// How a registration stands to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is older than what is known, or its instance has left.
    Stale,
    /// It says what is known.
    Unchanged,
    /// It says something new.
    Changed,
}

/// An end of coldness that moves by less than this is the same coldness, reported late.
const COLD_JITTER_MS: u64 = 1_500;

impl Instance {
    /// The instance that a registration makes.
    #[must_use]
    pub fn new(registration: Registration, at_ms: u64, revision: u64) -> Self {
        Self {
            id: registration.id,
            service: registration.service,
            address: registration.address,
            failure_domain: registration.failure_domain,
            slots: registration.slots,
            state: match registration.draining {
                true => InstanceState::Draining,
                false => InstanceState::Ready,
            },
            cold_until_ms: match registration.cold_ms {
                0 => 0,
                cold_ms => at_ms.saturating_add(cold_ms),
            },
            born_ms: registration.born_ms,
            sequence: registration.sequence,
            revision,
        }
    }

    /// Whether it may still take or finish work.
    #[must_use]
    pub const fn is_here(&self) -> bool {
        matches!(self.state, InstanceState::Ready | InstanceState::Draining)
    }

    /// How a registration under this instance's name stands to it at a time of the log's clock.
    #[must_use]
    pub fn judge(&self, registration: &Registration, at_ms: u64) -> Verdict {
        if registration.born_ms != self.born_ms {
            return match registration.born_ms > self.born_ms {
                true => Verdict::Changed,
                false => Verdict::Stale,
            };
        }
        if self.state == InstanceState::Gone || registration.sequence <= self.sequence {
            return Verdict::Stale;
        }
        let draining = self.state == InstanceState::Draining;
        let same = registration.service == self.service
            && registration.address == self.address
            && registration.failure_domain == self.failure_domain
            && registration.slots == self.slots
            && registration.draining == draining
            && self.state != InstanceState::Expired
            && !self.is_cold_anew(registration.cold_ms, at_ms);
        match same {
            true => Verdict::Unchanged,
            false => Verdict::Changed,
        }
    }

    const fn is_cold_anew(&self, cold_ms: u64, at_ms: u64) -> bool {
        cold_ms > 0 && at_ms.saturating_add(cold_ms) > self.cold_until_ms + COLD_JITTER_MS
    }
}
