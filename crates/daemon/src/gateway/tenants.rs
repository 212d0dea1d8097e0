//! Counts clients' requests by tenant, with a bounded number of label values.

use gate::Decision;
use plan::Tenant;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use std::{cmp::Reverse, collections::HashMap};

/// The most tenants with counters of their own. A plan may have thousands of tenants, and each counter
/// takes room here and in the store of whoever reads the metrics.
const NAMED_MAX: usize = 100;

/// The label value of the tenants without counters of their own.
const OTHER: &str = "other";

/// Labels of the counter of requests by tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    tenant: String,
    decision: &'static str,
}

/// The metric that [`TenantCounters`] counts in.
pub type TenantRequests = Family<TenantLabels, Counter>;

/// The counters of one label value.
#[derive(Clone, Debug)]
struct Decisions {
    forwarded: Counter,
    refused: Counter,
}

/// The counters of requests by tenant.
#[derive(Debug)]
pub struct TenantCounters {
    requests: TenantRequests,
    named: HashMap<String, Decisions>,
    /// Created by the first request that it counts.
    other: Option<Decisions>,
}

impl TenantCounters {
    /// No counters yet; those of tenants appear in this metric.
    pub fn new(requests: TenantRequests) -> Self {
        Self {
            requests,
            named: HashMap::new(),
            other: None,
        }
    }

    /// Gives counters to the largest tenants of a new plan: those without a limit first, then by rate.
    /// A tenant keeps its counters for as long as a plan has it, since counters must not decrease.
    pub fn set_tenants<'a>(&mut self, tenants: impl Iterator<Item = &'a Tenant>) {
        let mut tenants: Vec<&Tenant> = tenants.collect();
        self.named.retain(|name, _| {
            let is_kept = tenants.iter().any(|it| it.name == *name);
            if !is_kept {
                for labels in labels(name) {
                    self.requests.remove(&labels);
                }
            }
            is_kept
        });
        let size = |it: &Tenant| match it.is_limited() {
            true => it.rate_milli_per_s,
            false => u64::MAX,
        };
        tenants.sort_by_key(|it| (Reverse(size(it)), it.name.as_str()));
        for tenant in tenants {
            let name = &tenant.name;
            if self.named.len() >= NAMED_MAX {
                return;
            }
            if name != OTHER && !self.named.contains_key(name) {
                let decisions = decisions(&self.requests, name);
                self.named.insert(name.clone(), decisions);
            }
        }
    }

    /// Counts a request of a tenant.
    pub fn count(&mut self, tenant: &str, decision: &Decision) {
        let counters = match self.named.get(tenant) {
            Some(counters) => counters,
            None => self
                .other
                .get_or_insert_with(|| decisions(&self.requests, OTHER)),
        };
        match decision {
            // Counted once it is decided.
            Decision::Wait => return,
            Decision::Forward(_) => counters.forwarded.inc(),
            Decision::NoRoute | Decision::Unauthorized | Decision::Refuse { .. } => {
                counters.refused.inc()
            }
        };
    }
}

/// The labels of a tenant's counters: of forwarded and of refused requests.
fn labels(name: &str) -> [TenantLabels; 2] {
    ["forward", "refuse"].map(|decision| TenantLabels {
        tenant: name.to_owned(),
        decision,
    })
}

fn decisions(requests: &TenantRequests, name: &str) -> Decisions {
    // Each call in a statement of its own: its result holds a lock of the family until the statement
    // ends, and the next call waits for that lock.
    let [forwarded, refused] = labels(name);
    let forwarded = requests.get_or_create(&forwarded).clone();
    let refused = requests.get_or_create(&refused).clone();
    Decisions { forwarded, refused }
}
