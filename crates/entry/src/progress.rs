//! How far this entry has come with the declared drains and shifts.

use crate::{config::Config, shares::Shares};
use member::Members;
use route::{Router, Snapshot};
use types::{
    DomainName, DrainTarget, EntryName, Progress, RegionName, ResourceProgress, ServiceName, Spec,
    TimeUs,
};

/// What progress is told from.
#[derive(Debug)]
pub struct ProgressView<'a> {
    /// This entry.
    pub own_name: &'a EntryName,
    /// The region that it stands in.
    pub own_region: &'a RegionName,
    /// The failure domain that it stands in.
    pub own_domain: &'a DomainName,
    /// The configuration.
    pub config: &'a Config,
    /// The upstreams.
    pub members: &'a Members,
    /// The router.
    pub router: &'a Router,
    /// The requests under way.
    pub shares: &'a Shares,
}

impl ProgressView<'_> {
    /// The progress of every declared drain and of every shift that this entry carries out.
    pub fn report(&self, now_us: TimeUs) -> Vec<ResourceProgress> {
        let reported = self
            .config
            .resources()
            .filter(|resource| match &resource.spec {
                Spec::Drain(_) | Spec::Shift(_) => true,
                Spec::Region(_) | Spec::Link(_) | Spec::Service(_) | Spec::Entry(_) => false,
            });
        let mut reported = reported.peekable();
        if reported.peek().is_none() {
            return Vec::new();
        }
        let snapshot = self.router.snapshot(now_us);
        let progress = reported.filter_map(|resource| {
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

    fn drain(&self, target: &DrainTarget, snapshot: &Snapshot) -> Progress {
        let own = match target {
            DrainTarget::Upstream(_) => false,
            DrainTarget::Entry(entry) => entry == self.own_name,
            DrainTarget::FailureDomain(domain) => domain == self.own_domain,
            DrainTarget::Region(region) => region == self.own_region,
        };
        if own {
            return Progress::Drain {
                in_flight: self.shares.live_requests() as u64,
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
