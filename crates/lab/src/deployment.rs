//! The simulated deployments: their delays, links, entries and services at today's sizes.

use strum::{Display, EnumIter, EnumString};
use types::Priority;

/// The deployment that an experiment simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Short distances, narrow links.
    Wirecraft,
    /// Long distances, wide links.
    Joto,
}

/// A service, its workers and its requests.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Name of the service in declarations and announcements.
    pub name: &'static str,
    /// Number of workers in all regions together.
    pub workers: usize,
    /// Slots of each worker: the requests that it runs at once.
    pub slots: u32,
    /// Mean time for which a request occupies a slot of a warm worker.
    pub mean_us: f64,
    /// Whether a request may run twice.
    pub idempotent: bool,
    /// Priority of its requests under overload.
    pub priority: Priority,
    /// Time from a request's arrival at an entry to its deadline.
    pub deadline_ms: u64,
    /// Size of an answer on a link.
    pub answer_bytes: u64,
}

impl ServiceShape {
    /// Requests per second that all its workers together can finish while they are warm.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        self.workers as f64 * f64::from(self.slots) * 1e6 / self.mean_us
    }
}

/// Delays, links, entries and services of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Name of each region, by index.
    pub regions: [&'static str; 3],
    /// The region of each entry, by index.
    pub entry_regions: [usize; 7],
    /// One-way delay between regions.
    pub region_delay_us: u64,
    /// One-way delay between failure domains of a region.
    pub domain_delay_us: u64,
    /// One-way delay within a failure domain.
    pub local_delay_us: u64,
    /// One-way delay between callers and entries.
    pub caller_delay_us: u64,
    /// Rate of each link between two regions, in each direction.
    pub link_kbps: u64,
    /// Services, by index.
    pub services: [ServiceShape; 4],
}

const ENTRY_REGIONS: [usize; 7] = [0, 1, 2, 0, 1, 2, 0];
const DOMAIN_DELAY_US: u64 = 1_500;
const LOCAL_DELAY_US: u64 = 200;

const fn service(
    name: &'static str,
    workers: usize,
    slots: u32,
    mean_us: f64,
    priority: Priority,
    answer_bytes: u64,
) -> ServiceShape {
    let browse = matches!(priority, Priority::Browse);
    ServiceShape {
        name,
        workers,
        slots,
        mean_us,
        idempotent: browse,
        priority,
        deadline_ms: if browse { 1_000 } else { 2_000 },
        answer_bytes,
    }
}

const WIRECRAFT: Site = Site {
    regions: ["gauteng", "kwazulu-natal", "western-cape"],
    entry_regions: ENTRY_REGIONS,
    region_delay_us: 12_000,
    domain_delay_us: DOMAIN_DELAY_US,
    local_delay_us: LOCAL_DELAY_US,
    caller_delay_us: 8_000,
    link_kbps: 300_000,
    services: [
        service("browse", 16, 3, 40_000.0, Priority::Browse, 20_000),
        service("payouts", 12, 3, 80_000.0, Priority::Critical, 2_000),
        service("orders", 12, 3, 60_000.0, Priority::Critical, 2_000),
        service("stock", 12, 3, 30_000.0, Priority::Browse, 4_000),
    ],
};

const JOTO: Site = Site {
    regions: ["nairobi", "mombasa", "kisumu"],
    entry_regions: ENTRY_REGIONS,
    region_delay_us: 35_000,
    domain_delay_us: DOMAIN_DELAY_US,
    local_delay_us: LOCAL_DELAY_US,
    caller_delay_us: 3_000,
    link_kbps: 4_000_000,
    services: [
        service("eligibility", 18, 9, 50_000.0, Priority::Browse, 8_000),
        service("claims", 12, 8, 120_000.0, Priority::Critical, 4_000),
        service("disbursement", 12, 3, 100_000.0, Priority::Critical, 2_000),
        service("status", 12, 3, 40_000.0, Priority::Browse, 8_000),
    ],
};

impl Deployment {
    /// Delays, links, entries and services of this deployment.
    #[must_use]
    pub const fn site(self) -> Site {
        match self {
            Self::Wirecraft => WIRECRAFT,
            Self::Joto => JOTO,
        }
    }
}
