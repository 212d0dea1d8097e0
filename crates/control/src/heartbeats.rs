//! The last heartbeat of each instance, from which the leader tells which have expired.

use crate::doubts::Doubts;
use plan::{BORN_AHEAD_MAX_MS, Instance, Registration, RegistrationStatus, Steering};
use std::collections::HashMap;
use types::{TimeUs, UpstreamName};

/// The most instances that one check reports as expired.
const EXPIRED_PER_CHECK_MAX: usize = 64;

/// How often the leader checks for expired instances, in milliseconds.
const CHECK_PERIOD_MS: u64 = 500;

/// What to do with a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The record of the instance must change.
    Propose,
    /// Nothing: the heartbeat changes nothing, is late, or is doubtful until more of its run follow.
    Ignore,
}

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
    doubts: Doubts,
    /// The VM's clock in Unix milliseconds, 0 until it is known.
    unix_ms: u64,
    /// The origin of the process's clock in Unix milliseconds, by the earliest time that the VM's clock
    /// has shown. A clock that is set ahead for a while doesn't change it.
    origin_unix_ms: Option<u64>,
    /// Heartbeats that were ignored because no plan names their service.
    unknown_service: u64,
    /// Heartbeats that were ignored because they are late or doubtful.
    doubtful: u64,
    /// Notices to leave of instances that were not recorded.
    unrecorded_leaves: u64,
}

impl Heartbeats {
    /// No heartbeats yet. An instance that sends none for `instance_timeout_us` expires.
    pub(crate) fn new(instance_timeout_us: u64, now_us: TimeUs) -> Self {
        Self {
            instance_timeout_us,
            last_heartbeats: HashMap::new(),
            grace_until_us: now_us.after_us(instance_timeout_us),
            next_check_us: now_us,
            doubts: Doubts::default(),
            unix_ms: 0,
            origin_unix_ms: None,
            unknown_service: 0,
            doubtful: 0,
            unrecorded_leaves: 0,
        }
    }

    /// Sets the VM's clock; `now_us` is the time of the process's clock, which counts suspended time.
    pub(crate) fn set_unix_ms(&mut self, unix_ms: u64, now_us: TimeUs) {
        self.unix_ms = unix_ms;
        let origin_unix_ms = unix_ms.saturating_sub(now_us.0 / 1_000);
        let earliest_ms = self.origin_unix_ms.unwrap_or(origin_unix_ms);
        self.origin_unix_ms = Some(earliest_ms.min(origin_unix_ms));
    }

    /// The time in Unix milliseconds by the earliest that the VM's clock has shown; `None` until it is
    /// known.
    pub(crate) fn earliest_unix_ms(&self, now_us: TimeUs) -> Option<u64> {
        Some(self.origin_unix_ms?.saturating_add(now_us.0 / 1_000))
    }

    /// Whether a run may have started then; any may while the VM's clock is not known.
    pub(crate) const fn is_plausible_start(&self, born_ms: u64) -> bool {
        self.unix_ms == 0 || born_ms <= self.unix_ms.saturating_add(BORN_AHEAD_MAX_MS)
    }

    /// Counts a heartbeat that is ignored because no plan names its service.
    pub(crate) const fn count_unknown_service(&mut self) {
        self.unknown_service += 1;
    }

    /// The number of heartbeats ignored because no plan names their service.
    pub(crate) const fn unknown_service(&self) -> u64 {
        self.unknown_service
    }

    /// The number of heartbeats ignored because they are late or doubtful.
    pub(crate) const fn doubtful(&self) -> u64 {
        self.doubtful
    }

    /// Counts a notice to leave of an instance that is not recorded.
    pub(crate) const fn count_unrecorded_leave(&mut self) {
        self.unrecorded_leaves += 1;
    }

    /// The number of notices to leave of instances that were not recorded.
    pub(crate) const fn unrecorded_leaves(&self) -> u64 {
        self.unrecorded_leaves
    }

    /// Forgets all heartbeats and starts a new grace period: another replica led, or this process
    /// was suspended, so that heartbeats may have been missed.
    pub(crate) fn reset(&mut self, now_us: TimeUs) {
        self.last_heartbeats.clear();
        self.doubts.clear();
        self.grace_until_us = now_us.after_us(self.instance_timeout_us);
    }

    /// Handles a heartbeat that compares with the recorded instances as `status`. `is_recorded_run`
    /// says whether the run that it comes from is the recorded one.
    ///
    /// A heartbeat that is older than another of its name proves nothing alone: it may be late. One
    /// with an implausible start is no better. But once several of the same run have come, seconds
    /// apart, the run is alive. It then counts, if nothing else is heard under its name or at its
    /// address: whoever claims a later start and falls silent can't shut it out.
    pub(crate) fn handle(
        &mut self,
        registration: &Registration,
        status: RegistrationStatus,
        is_recorded_run: bool,
        now_us: TimeUs,
    ) -> Verdict {
        let known = self.last_heartbeats.get(&registration.id);
        let is_later = known.is_none_or(|known| {
            (registration.born_ms, registration.sequence) > (known.born_ms, known.sequence)
        });
        let is_silent = known.is_none_or(|known| known.expiry_us.reached(now_us));
        let counts_alone = match status {
            RegistrationStatus::Unchanged => is_later,
            RegistrationStatus::Changed => {
                is_later && (is_recorded_run || self.is_plausible_start(registration.born_ms))
            }
            _ => false,
        };
        let counts_once_proven = match status {
            RegistrationStatus::Changed => is_later || is_silent,
            RegistrationStatus::Returning => is_silent,
            _ => false,
        };
        let is_accepted =
            counts_alone || (self.doubts.is_alive(registration, now_us) && counts_once_proven);
        if !is_accepted {
            self.doubtful += 1;
            return Verdict::Ignore;
        }
        self.record(registration, now_us);
        match status {
            RegistrationStatus::Unchanged => Verdict::Ignore,
            _ => Verdict::Propose,
        }
    }

    fn record(&mut self, registration: &Registration, now_us: TimeUs) {
        let heartbeat = LastHeartbeat {
            born_ms: registration.born_ms,
            sequence: registration.sequence,
            expiry_us: now_us.after_us(self.instance_timeout_us),
        };
        self.doubts.remove(&registration.id);
        self.last_heartbeats
            .insert(registration.id.clone(), heartbeat);
    }

    /// The instances in service whose last heartbeat is too old, or that sent none since
    /// [`Self::reset`]. Empty between two checks.
    pub(crate) fn expired(&mut self, steering: &Steering, now_us: TimeUs) -> Vec<Instance> {
        if !self.next_check_us.reached(now_us) || !self.grace_until_us.reached(now_us) {
            return Vec::new();
        }
        self.next_check_us = now_us.after_ms(CHECK_PERIOD_MS);
        self.doubts.expire(now_us);
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
