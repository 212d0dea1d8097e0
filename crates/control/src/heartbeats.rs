//! When the leader last heard each instance.

use plan::{Instance, Registration, Steering};
use std::collections::HashMap;
use types::{TimeUs, UpstreamName};

/// The most instances that one check lets expire.
const EXPIRED_MAX: usize = 64;

/// How often the leader looks for silent instances, in milliseconds.
const CHECK_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Heard {
    born_ms: u64,
    sequence: u64,
    silent_us: TimeUs,
}

/// The heartbeats of the instances, kept by the leader in memory.
#[derive(Debug)]
pub(crate) struct Heartbeats {
    silence_us: u64,
    heard: HashMap<UpstreamName, Heard>,
    /// Silence counts from here at the earliest.
    listening_until_us: TimeUs,
    check_us: TimeUs,
}

impl Heartbeats {
    /// An instance that is silent for `silence_us` expires.
    pub(crate) fn new(silence_us: u64, now_us: TimeUs) -> Self {
        Self {
            silence_us,
            heard: HashMap::new(),
            listening_until_us: now_us.after_us(silence_us),
            check_us: now_us,
        }
    }

    /// Forgets what was heard: another replica led, or this process was frozen.
    pub(crate) fn listen_anew(&mut self, now_us: TimeUs) {
        self.heard.clear();
        self.listening_until_us = now_us.after_us(self.silence_us);
    }

    /// Notes a heartbeat; false when a later one of the same run came before.
    pub(crate) fn note(&mut self, registration: &Registration, now_us: TimeUs) -> bool {
        let heard = Heard {
            born_ms: registration.born_ms,
            sequence: registration.sequence,
            silent_us: now_us.after_us(self.silence_us),
        };
        if let Some(known) = self.heard.get(&registration.id) {
            let is_later = (heard.born_ms, heard.sequence) > (known.born_ms, known.sequence);
            if !is_later {
                return false;
            }
        }
        self.heard.insert(registration.id.clone(), heard);
        true
    }

    /// The instances that were silent for too long.
    pub(crate) fn expired(&mut self, steering: &Steering, now_us: TimeUs) -> Vec<Instance> {
        if !self.check_us.reached(now_us) || !self.listening_until_us.reached(now_us) {
            return Vec::new();
        }
        self.check_us = now_us.after_ms(CHECK_MS);
        self.heard
            .retain(|id, _| steering.instance(id.as_str()).is_some());
        let here = steering.instances().filter(|instance| instance.is_here());
        let silent = here.filter(|instance| {
            let heard = self.heard.get(&instance.id);
            heard.is_none_or(|heard| heard.silent_us.reached(now_us))
        });
        silent.take(EXPIRED_MAX).cloned().collect()
    }
}
