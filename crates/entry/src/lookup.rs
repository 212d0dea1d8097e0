//! Which entries callers should use.

use crate::{config::Config, peers::Peers};
use types::{EntryName, EntrySpec, LookupAnswer, LookupEntry, RegionName, ServiceName, TimeUs};

/// The weight of an entry in the asking client's region.
const NEAR_WEIGHT: u32 = 100;

/// The weight of an entry elsewhere.
const FAR_WEIGHT: u32 = 10;

/// What a look-up is answered from.
#[derive(Debug)]
pub struct LookupView<'a> {
    /// The entry that answers.
    pub own_name: &'a EntryName,
    /// Whether it takes new callers.
    pub own_open: bool,
    /// The region that is near the client.
    pub near: &'a RegionName,
    /// The configuration.
    pub config: &'a Config,
    /// The other entries.
    pub peers: &'a Peers,
    /// How long the answer may be used.
    pub lifetime_ms: u64,
}

impl LookupView<'_> {
    /// The answer for a declared service.
    pub fn answer(&self, now_us: TimeUs, service: &ServiceName) -> Option<LookupAnswer> {
        self.config.service(service)?;
        let mut entries = self.entries(|name, spec| {
            self.takes_callers(name, now_us) && !self.config.drains_entry(name, spec)
        });
        if entries.is_empty() {
            entries = self.entries(|name, _| self.takes_callers(name, now_us));
        }
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.weight));
        Some(LookupAnswer {
            service: service.clone(),
            lifetime_ms: self.lifetime_ms,
            entries,
        })
    }

    fn takes_callers(&self, name: &EntryName, now_us: TimeUs) -> bool {
        if name == self.own_name {
            return self.own_open;
        }
        self.peers.is_healthy(name, now_us)
    }

    fn entries(&self, wanted: impl Fn(&EntryName, &EntrySpec) -> bool) -> Vec<LookupEntry> {
        let declared = self
            .config
            .entries()
            .filter(|(name, spec)| wanted(name, spec));
        declared
            .map(|(name, spec)| LookupEntry {
                name,
                address: spec.address,
                weight: if spec.region == *self.near {
                    NEAR_WEIGHT
                } else {
                    FAR_WEIGHT
                },
            })
            .collect()
    }
}
