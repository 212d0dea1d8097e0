//! This entry's progress reports on the declared drains and shifts.

use crate::{config::Config, shares::Shares};
use member::Members;
use route::{Router, Snapshot};
use types::{
    DomainName, DrainTarget, EntryName, Progress, RegionName, ResourceProgress, ServiceName, Spec,
    TimeUs,
};

/// The state from which progress is reported.
#[derive(Debug)]
pub struct ProgressView<'a> {
    /// The name of this entry.
    pub own_name: &'a EntryName,
    /// The region in which it runs.
    pub own_region: &'a RegionName,
    /// The failure domain in which it runs.
    pub own_domain: &'a DomainName,
    /// The configuration, with the drains and shifts.
    pub config: &'a Config,
    /// The upstreams' announcements, with their regions and failure domains.
    pub members: &'a Members,
    /// The router, with the requests in flight at each upstream.
    pub router: &'a Router,
    /// The requests that this entry has taken and not settled.
    pub shares: &'a Shares,
}

impl ProgressView<'_> {
    /// The progress of every declared drain and of every shift from this entry's region.
    pub fn report(&self, now_us: TimeUs) -> Vec<ResourceProgress> {
        let relevant = self
            .config
            .resources()
            .filter(|resource| match &resource.spec {
                Spec::Drain(_) | Spec::Shift(_) => true,
                Spec::Region(_) | Spec::Link(_) | Spec::Service(_) | Spec::Entry(_) => false,
            });
        let mut relevant = relevant.peekable();
        if relevant.peek().is_none() {
            return Vec::new();
        }
        let snapshot = self.router.snapshot(now_us);
        let progress = relevant.filter_map(|resource| {
            let progress = match &resource.spec {
                Spec::Drain(drain) => Some(self.drain(&drain.target, &snapshot)),
                Spec::Shift(shift) if shift.from == *self.own_region => {
                    shift_progress(&shift.service, &snapshot)
                }
                _ => None,
            };
            Some(ResourceProgress {
                key: resource.key(),
                progress: progress?,
            })
        });
        progress.collect()
    }

    /// Counts the requests in flight at the drained upstreams, or at this entry if it is drained.
    fn drain(&self, target: &DrainTarget, snapshot: &Snapshot) -> Progress {
        let covers_self = match target {
            DrainTarget::Upstream(_) => false,
            DrainTarget::Entry(entry) => entry == self.own_name,
            DrainTarget::FailureDomain(domain) => domain == self.own_domain,
            DrainTarget::Region(region) => region == self.own_region,
        };
        if covers_self {
            return Progress::Drain {
                in_flight: self.shares.request_count() as u64,
            };
        }
        let upstreams = snapshot.upstreams.iter().filter(|upstream| match target {
            DrainTarget::Upstream(name) => *name == upstream.name,
            DrainTarget::Entry(_) => false,
            DrainTarget::FailureDomain(domain) => {
                let announced = self.members.get(&upstream.name);
                announced.is_some_and(|announced| announced.failure_domain == *domain)
            }
            DrainTarget::Region(region) => {
                let announced = self.members.get(&upstream.name);
                announced.is_some_and(|announced| announced.region == *region)
            }
        });
        let in_flight = upstreams
            .map(|upstream| u64::from(upstream.in_flight))
            .sum();
        Progress::Drain { in_flight }
    }
}

fn shift_progress(service: &ServiceName, snapshot: &Snapshot) -> Option<Progress> {
    let service = snapshot
        .services
        .iter()
        .find(|known| known.name == *service)?;
    let shift = service.shift?;
    Some(Progress::Shift {
        step_percent: shift.step_percent,
        target_percent: shift.target_percent,
        state: shift.state,
        reason: shift.reason,
    })
}
