//! Instances of upstreams: their heartbeats, and what is recorded of them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};
use types::{DomainName, ServiceName, UpstreamName};

/// The state of a registered instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// Its heartbeats stopped; a later heartbeat brings it back.
    Expired,
    /// It has left, or another instance has its address. Only a later run brings back one that left.
    Gone,
}

/// A heartbeat, by which an instance registers and reports its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Registration {
    /// The name of the instance; a later run may have the same name.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: DomainName,
    /// How many requests it runs at the same time; further ones queue.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// How many milliseconds it stays cold, so that it should get few requests; 0 when it is not.
    /// It is cold while its caches are empty, after its start or whenever it says so.
    pub cold_ms: u64,
    /// When this run of the instance started, in Unix milliseconds by its own clock; 0 when it
    /// doesn't say. Of two runs, the one that started later counts.
    pub born_ms: u64,
    /// The number of the heartbeat within the run; grows with each one.
    pub sequence: u64,
}

/// What is recorded of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Instance {
    /// The name of the instance; a later run may have the same name.
    pub id: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: DomainName,
    /// How many requests it runs at the same time; further ones queue.
    pub slots: u32,
    /// Whether it accepts requests, drains, has expired or is gone.
    pub state: InstanceState,
    /// Until when it is cold, in milliseconds of the log's clock; 0 when it was not cold. A
    /// heartbeat with a `cold_ms` of 0 ends a recorded cold period only if it changes something
    /// else.
    pub cold_until_ms: u64,
    /// When its latest run started, as in [`Registration::born_ms`].
    pub born_ms: u64,
    /// The [`Registration::sequence`] of the latest heartbeat that changed anything.
    pub sequence: u64,
    /// The log index of the latest change.
    pub revision: u64,
    /// Whether it is gone because a later run of another instance had its address. It may return once
    /// that one is gone or has expired.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_displaced: bool,
}

/// Lets the serialized form of most instances be that of builds without `is_displaced`.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// How a registration compares with what is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// It is older than what is recorded, its run of the instance has ended, or an instance that
    /// started later has its address.
    Stale,
    /// No plan names its service, and nothing is recorded of it: it comes from another writer, or
    /// from an instance whose service is yet to be declared.
    UnknownService,
    /// It equals what is recorded.
    Unchanged,
    /// It is new or differs, so the record must change.
    Changed,
    /// It is older than what is recorded, but the recorded run has expired or the instance that had
    /// its address is no longer present. A single one may be late; if more follow, the run that
    /// they come from is alive, and its record must change.
    Returning,
}

/// The end of the cold period may be this much later, in milliseconds, without counting as a
/// change: a heartbeat that arrives late shifts it.
const COLD_JITTER_MS: u64 = 1_500;

impl Instance {
    /// Creates the record from a registration that was proposed at `at_ms`, in milliseconds of the
    /// log's clock, and is applied at log index `revision`.
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
            is_displaced: false,
        }
    }

    /// Whether it is ready or draining, so that it may have requests.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        matches!(self.state, InstanceState::Ready | InstanceState::Draining)
    }

    /// Compares a registration under this name with the record. `at_ms` is the time in milliseconds
    /// of the log's clock.
    #[must_use]
    pub fn compare(&self, registration: &Registration, at_ms: u64) -> RegistrationStatus {
        let run = (registration.born_ms, registration.sequence);
        let is_later_run = registration.born_ms > self.born_ms;
        match self.state {
            _ if is_later_run => return RegistrationStatus::Changed,
            InstanceState::Gone if self.is_displaced => return RegistrationStatus::Returning,
            InstanceState::Gone => return RegistrationStatus::Stale,
            InstanceState::Expired if run <= (self.born_ms, self.sequence) => {
                return RegistrationStatus::Returning;
            }
            _ if run <= (self.born_ms, self.sequence) => return RegistrationStatus::Stale,
            InstanceState::Ready | InstanceState::Draining | InstanceState::Expired => {}
        }
        let draining = self.state == InstanceState::Draining;
        let same = registration.service == self.service
            && registration.address == self.address
            && registration.failure_domain == self.failure_domain
            && registration.slots == self.slots
            && registration.draining == draining
            && self.state != InstanceState::Expired
            && !self.extends_cold_period(registration.cold_ms, at_ms);
        match same {
            true => RegistrationStatus::Unchanged,
            false => RegistrationStatus::Changed,
        }
    }

    /// Whether a cold period that ends `cold_ms` after `at_ms` ends later than recorded, by more
    /// than `COLD_JITTER_MS`.
    const fn extends_cold_period(&self, cold_ms: u64, at_ms: u64) -> bool {
        cold_ms > 0
            && at_ms.saturating_add(cold_ms) > self.cold_until_ms.saturating_add(COLD_JITTER_MS)
    }
}
