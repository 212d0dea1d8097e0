//! The Wirecraft example: the locations of its VMs and upstreams, and the load of its services.

use crate::{caller::Load, deployment::Network, upstream::UpstreamSpec};
use std::time::Duration;
use types::{DomainName, InvalidName, RegionName, ServiceName, UpstreamName};

/// The names of the regions.
const REGIONS: [&str; 3] = ["gauteng", "kwazulu-natal", "western-cape"];
/// The suffixes of the failure domains: each region has `REGION-a` and `REGION-b`.
const DOMAINS: [&str; 2] = ["a", "b"];
/// How many requests an upstream runs at once.
const SLOTS: u32 = 3;
/// How many connections an upstream announces that it accepts.
const CONNECTIONS: u32 = 350;

/// The upstreams and callers of one service.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The name of the service.
    pub service: &'static str,
    /// How many upstreams run it.
    pub upstreams: u8,
    /// Whether a request may run twice.
    pub idempotent: bool,
    /// The size of an answer's body.
    pub answer_bytes: usize,
    /// How long an upstream takes for a request.
    pub service_time: Duration,
    /// How many callers run, each with at most one request in flight.
    pub callers: u32,
    /// The deadline of a request.
    pub deadline: Duration,
}

/// The services of Wirecraft at full size, as in the declarations of `examples/wirecraft`.
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

/// The least time between the starts of two requests of a caller.
const CALLER_INTERVAL: Duration = Duration::from_millis(20);
/// How many times a caller tries to send a request that does not run.
const ATTEMPTS_MAX: u32 = 5;

impl Workload {
    /// The load of the service's callers.
    ///
    /// # Errors
    ///
    /// [`InvalidName`] when the service's name is invalid.
    pub fn load(&self) -> Result<Load, InvalidName> {
        Ok(Load {
            service: ServiceName::new(self.service)?,
            idempotent: self.idempotent,
            callers: self.callers,
            interval: CALLER_INTERVAL,
            deadline: self.deadline,
            answer_bytes: self.answer_bytes,
            attempts_max: ATTEMPTS_MAX,
            fixed_entry: None,
        })
    }

    /// The service's upstreams. Their addresses have the last octets from `first_host` on.
    ///
    /// # Errors
    ///
    /// [`InvalidName`] when a name is invalid.
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

/// The upstreams of all workloads, with consecutive addresses.
///
/// # Errors
///
/// [`InvalidName`] when a name is invalid.
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

/// The loads of all workloads.
///
/// # Errors
///
/// [`InvalidName`] when a name is invalid.
pub fn all_loads(workloads: &[Workload]) -> Result<Vec<Load>, InvalidName> {
    workloads.iter().map(Workload::load).collect()
}

/// The names of all failure domains, by region.
pub(super) fn domains() -> Vec<String> {
    REGIONS
        .iter()
        .flat_map(|region| DOMAINS.map(|domain| format!("{region}-{domain}")))
        .collect()
}

/// The region and failure domain of a VM: VMs 1 to 6 fill the regions, one in each failure domain,
/// and VM 7 is in the first domain again.
pub(super) fn location_of_vm(vm: u8) -> (&'static str, String) {
    let index = usize::from(vm.saturating_sub(1));
    let region = REGIONS[index / DOMAINS.len() % REGIONS.len()];
    (
        region,
        format!("{region}-{}", DOMAINS[index % DOMAINS.len()]),
    )
}

/// The region and failure domain of an upstream of a service, by its index: in turn over the
/// regions, and after each round over their failure domains.
fn location_of_upstream(index: u8) -> (&'static str, String) {
    let index = usize::from(index);
    let region = REGIONS[index % REGIONS.len()];
    let domain = DOMAINS[index / REGIONS.len() % DOMAINS.len()];
    (region, format!("{region}-{domain}"))
}
