//! The last heartbeat of each instance, from which the leader tells which have expired.

use plan::{Instance, Registration, Steering};
use std::collections::HashMap;
use types::{TimeUs, UpstreamName};

/// The most instances that one check reports as expired.
const EXPIRED_PER_CHECK_MAX: usize = 64;

/// How often the leader checks for expired instances, in milliseconds.
const CHECK_PERIOD_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    born_ms: u64,
    sequence: u64,
    expiry_us: TimeUs,
}

/// The last heartbeat of each instance. Only the leader has them, and only in memory.
#[derive(Debug)]
pub(crate) struct Heartbeats {
    instance_timeout_us: u64,
    last_heartbeats: HashMap<UpstreamName, LastHeartbeat>,
    /// No instance expires before this time: each has `instance_timeout_us` from the start or the
    /// last [`Self::reset`] to send a heartbeat.
    grace_until_us: TimeUs,
    next_check_us: TimeUs,
    /// Heartbeats that were ignored because no plan names their service.
    unknown_service: u64,
}

impl Heartbeats {
    /// No heartbeats yet. An instance that sends none for `instance_timeout_us` expires.
    pub(crate) fn new(instance_timeout_us: u64, now_us: TimeUs) -> Self {
        Self {
            instance_timeout_us,
            last_heartbeats: HashMap::new(),
            grace_until_us: now_us.after_us(instance_timeout_us),
            next_check_us: now_us,
            unknown_service: 0,
        }
    }

    /// Counts a heartbeat that is ignored because no plan names its service.
    pub(crate) const fn count_unknown_service(&mut self) {
        self.unknown_service += 1;
    }

    /// The number of heartbeats ignored because no plan names their service.
    pub(crate) const fn unknown_service(&self) -> u64 {
        self.unknown_service
    }

    /// Forgets all heartbeats and starts a new grace period: another replica led, or this process
    /// was suspended, so that heartbeats may have been missed.
    pub(crate) fn reset(&mut self, now_us: TimeUs) {
        self.last_heartbeats.clear();
        self.grace_until_us = now_us.after_us(self.instance_timeout_us);
    }

    /// Records a heartbeat unless the recorded one is as late or later, by the instance's start
    /// time and then by sequence number. Returns whether it was recorded.
    pub(crate) fn record(&mut self, registration: &Registration, now_us: TimeUs) -> bool {
        let heartbeat = LastHeartbeat {
            born_ms: registration.born_ms,
            sequence: registration.sequence,
            expiry_us: now_us.after_us(self.instance_timeout_us),
        };
        if let Some(known) = self.last_heartbeats.get(&registration.id) {
            let is_later =
                (heartbeat.born_ms, heartbeat.sequence) > (known.born_ms, known.sequence);
            if !is_later {
                return false;
            }
        }
        self.last_heartbeats
            .insert(registration.id.clone(), heartbeat);
        true
    }

    /// The instances in service whose last heartbeat is too old, or that sent none since
    /// [`Self::reset`]. Empty between two checks.
    pub(crate) fn expired(&mut self, steering: &Steering, now_us: TimeUs) -> Vec<Instance> {
        if !self.next_check_us.reached(now_us) || !self.grace_until_us.reached(now_us) {
            return Vec::new();
        }
        self.next_check_us = now_us.after_ms(CHECK_PERIOD_MS);
        self.last_heartbeats
            .retain(|id, _| steering.instance(id.as_str()).is_some());
        let present = steering
            .instances()
            .filter(|instance| instance.is_present());
        let silent = present.filter(|instance| {
            let heartbeat = self.last_heartbeats.get(&instance.id);
            heartbeat.is_none_or(|heartbeat| heartbeat.expiry_us.reached(now_us))
        });
        silent.take(EXPIRED_PER_CHECK_MAX).cloned().collect()
    }
}
