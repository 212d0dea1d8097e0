//! The Wirecraft deployment: where its VMs and upstreams stand, and what its services do.

use crate::{caller::Load, deployment::Network, upstream::UpstreamSpec};
use std::time::Duration;
use types::{DomainName, InvalidName, RegionName, ServiceName, UpstreamName};

/// The regions; each has the failure domains `a` and `b`.
const REGIONS: [&str; 3] = ["gauteng", "kwazulu-natal", "western-cape"];
/// The failure domains of a region.
const DOMAINS: [&str; 2] = ["a", "b"];
/// Slots of each upstream.
const SLOTS: u32 = 3;
/// Connections of each upstream.
const CONNECTIONS: u32 = 350;

/// One service with its upstreams and callers.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The service.
    pub service: &'static str,
    /// How many upstreams run it.
    pub upstreams: u8,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// The size of an answer.
    pub answer_bytes: usize,
    /// How long a run takes.
    pub service_time: Duration,
    /// How many callers send at once.
    pub callers: u32,
    /// How long a caller waits.
    pub deadline: Duration,
}

/// The services of Wirecraft at the sizes of the brief.
pub const WIRECRAFT: [Workload; 4] = [
    Workload {
        service: "browse",
        upstreams: 16,
        idempotent: true,
        answer_bytes: 16_384,
        service_time: Duration::from_millis(8),
        callers: 12,
        deadline: Duration::from_secs(2),
    },
    Workload {
        service: "stock",
        upstreams: 12,
        idempotent: true,
        answer_bytes: 2_048,
        service_time: Duration::from_millis(5),
        callers: 6,
        deadline: Duration::from_secs(2),
    },
    Workload {
        service: "order",
        upstreams: 12,
        idempotent: false,
        answer_bytes: 1_024,
        service_time: Duration::from_millis(15),
        callers: 6,
        deadline: Duration::from_secs(5),
    },
    Workload {
        service: "payout",
        upstreams: 12,
        idempotent: false,
        answer_bytes: 1_024,
        service_time: Duration::from_millis(15),
        callers: 6,
        deadline: Duration::from_secs(5),
    },
];

/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// How often a caller sends a request that did not run.
const ATTEMPTS_MAX: u32 = 5;

impl Workload {
    /// What its callers send.
    ///
    /// # Errors
    ///
    /// [`InvalidName`] when the service's name breaks the rules.
    pub fn load(&self) -> Result<Load, InvalidName> {
        Ok(Load {
            service: ServiceName::new(self.service)?,
            idempotent: self.idempotent,
            callers: self.callers,
            pause: CALLER_PAUSE,
            deadline: self.deadline,
            answer_bytes: self.answer_bytes,
            attempts_max: ATTEMPTS_MAX,
            fixed_entry: None,
        })
    }

    /// Its upstreams, whose addresses begin after `first_host`.
    ///
    /// # Errors
    ///
    /// [`InvalidName`] when a name breaks the rules.
    pub fn upstreams(
        &self,
        network: Network,
        first_host: u8,
    ) -> Result<Vec<UpstreamSpec>, InvalidName> {
        (0..self.upstreams)
            .map(|index| {
                let (region, domain) = location_of_upstream(index);
                Ok(UpstreamSpec {
                    name: UpstreamName::new(&format!("{}-{}", self.service, index + 1))?,
                    service: ServiceName::new(self.service)?,
                    address: network.upstream(first_host + index),
                    region: RegionName::new(region)?,
                    failure_domain: DomainName::new(&domain)?,
                    slots: SLOTS,
                    connections: CONNECTIONS,
                    service_time: self.service_time,
                    answer_bytes: self.answer_bytes,
                })
            })
            .collect()
    }
}

/// The upstreams of several services on one network.
///
/// # Errors
///
/// [`InvalidName`] when a name breaks the rules.
pub fn all_upstreams(
    workloads: &[Workload],
    network: Network,
) -> Result<Vec<UpstreamSpec>, InvalidName> {
    let mut specs = Vec::new();
    let mut next_host = 1;
    for workload in workloads {
        specs.extend(workload.upstreams(network, next_host)?);
        next_host += workload.upstreams;
    }
    Ok(specs)
}

/// The loads of several services.
///
/// # Errors
///
/// [`InvalidName`] when a name breaks the rules.
pub fn all_loads(workloads: &[Workload]) -> Result<Vec<Load>, InvalidName> {
    workloads.iter().map(Workload::load).collect()
}

/// Every failure domain.
pub(super) fn domains() -> Vec<String> {
    REGIONS
        .iter()
        .flat_map(|region| DOMAINS.map(|domain| format!("{region}-{domain}")))
        .collect()
}

/// The region and failure domain of a VM: two VMs a region, and the seventh in the first.
pub(super) fn location_of_vm(vm: u8) -> (&'static str, String) {
    let index = usize::from(vm.saturating_sub(1));
    let region = REGIONS[index / DOMAINS.len() % REGIONS.len()];
    (
        region,
        format!("{region}-{}", DOMAINS[index % DOMAINS.len()]),
    )
}

/// The region and failure domain of an upstream: the regions take turns.
fn location_of_upstream(index: u8) -> (&'static str, String) {
    let index = usize::from(index);
    let region = REGIONS[index % REGIONS.len()];
    let domain = DOMAINS[index / REGIONS.len() % DOMAINS.len()];
    (region, format!("{region}-{domain}"))
}
