//! A test harness: a router with declared services, and a clock that the test moves.

#![allow(dead_code)]

use route::{Cap, Ending, Input, Limits, Output, RequestId, Router, RouterConfig, Settled};
use types::{
    Announcement, DomainName, DrainSpec, DrainTarget, EntryName, LinkSpec, Priority, RegionName,
    Resource, ResourceName, ServiceName, ServiceSpec, Spec, TimeUs, UpstreamName, UpstreamState,
};

/// A router, its clock, and helpers that build inputs and read outputs.
pub struct Harness {
    pub router: Router,
    pub now_us: TimeUs,
    next_request: u64,
    forwarded: Vec<RequestId>,
}

/// What the router did with a request in one step.
#[derive(Debug, PartialEq, Eq)]
pub enum Reaction {
    Forwarded(String),
    Settled(Settled),
    Nothing,
}

/// A configuration of `entry-1` in failure domain `here-a`, without a limit on moved traffic.
pub fn config() -> RouterConfig {
    let entry = EntryName::new("entry-1").unwrap();
    let domain = DomainName::new("here-a").unwrap();
    RouterConfig::new(entry, region("here"), domain).with_limits(uncapped())
}

/// Default limits, but a cap of 100%, so that all traffic may leave the home region at once.
pub fn uncapped() -> Limits {
    Limits {
        cap: Cap {
            percent: 100,
            interval_ms: 1_000,
        },
        ..Limits::default()
    }
}

pub fn region(name: &str) -> RegionName {
    RegionName::new(name).unwrap()
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

pub fn resource(name: &str, spec: Spec) -> Resource {
    Resource {
        name: ResourceName::new(name).unwrap(),
        spec,
        version: 1,
        revision: 1,
    }
}

pub fn service_spec(priority: Priority) -> ServiceSpec {
    ServiceSpec {
        regions: vec![region("here"), region("there")],
        idempotent: true,
        priority,
        deadline_ms: 1_000,
        answer_bytes: 10_000,
    }
}

pub fn announcement(service_name: &str, domain: &str, slots: u32) -> Announcement {
    Announcement {
        service: service(service_name),
        address: "127.0.2.1:9000".parse().unwrap(),
        region: region(domain.split('-').next().unwrap()),
        failure_domain: DomainName::new(domain).unwrap(),
        slots,
        connections: 350,
        load: 0,
        state: UpstreamState::Ready,
        epoch_ms: 1,
        sequence: 1,
    }
}

impl Harness {
    /// Declares services `browse` and `pay` in regions `here` and `there`, with a link of 10 ms one
    /// way.
    pub fn new(config: RouterConfig) -> Self {
        let mut harness = Self {
            router: Router::new(config),
            now_us: TimeUs(1_000_000),
            next_request: 0,
            forwarded: Vec::new(),
        };
        harness.declare("browse", Spec::Service(service_spec(Priority::Browse)));
        harness.declare("pay", Spec::Service(service_spec(Priority::Critical)));
        let link = LinkSpec {
            a: region("here"),
            b: region("there"),
            limit_kbps: 300_000,
            delay_us: 10_000,
        };
        harness.declare("here-there", Spec::Link(link));
        harness
    }

    pub fn step(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.router.step(self.now_us, input, &mut outputs);
        self.forwarded
            .extend(outputs.iter().filter_map(|output| match output {
                Output::Forward { request, .. } => Some(*request),
                _ => None,
            }));
        outputs
    }

    /// Requests forwarded since the last call.
    pub fn take_forwarded(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.forwarded)
    }

    pub fn declare(&mut self, name: &str, spec: Spec) -> Vec<Output> {
        self.step(Input::Declared(&resource(name, spec)))
    }

    pub fn drain(&mut self, target: DrainTarget) -> Vec<Output> {
        self.declare("drain", Spec::Drain(DrainSpec { target }))
    }

    pub fn withdraw_drain(&mut self) -> Vec<Output> {
        let target = DrainTarget::Region(region("here"));
        let resource = resource("drain", Spec::Drain(DrainSpec { target }));
        self.step(Input::Withdrawn(&resource))
    }

    pub fn announce(&mut self, name: &str, announcement: &Announcement) -> Vec<Output> {
        let name = UpstreamName::new(name).unwrap();
        self.step(Input::Upstream {
            name: &name,
            announcement,
        })
    }

    pub fn upstream(&mut self, name: &str, service: &str, domain: &str, slots: u32) {
        self.announce(name, &announcement(service, domain, slots));
    }

    pub fn share(&mut self, name: &str, slots: u32, expires_us: TimeUs) -> Vec<Output> {
        self.step(Input::Share {
            region: &region(name),
            slots,
            expires_us,
        })
    }

    pub fn arrive(&mut self, service_name: &str, idempotent: bool) -> (RequestId, Reaction) {
        let deadline_us = self.now_us.after_ms(1_000);
        self.arrive_until(service_name, idempotent, deadline_us)
    }

    pub fn arrive_until(
        &mut self,
        service_name: &str,
        idempotent: bool,
        deadline_us: TimeUs,
    ) -> (RequestId, Reaction) {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let outputs = self.step(Input::Arrive {
            request,
            service: &service(service_name),
            deadline_us,
            idempotent,
        });
        (request, reaction_to(request, &outputs))
    }

    pub fn end(&mut self, request: RequestId, ending: Ending) -> Vec<Output> {
        self.step(Input::Ended { request, ending })
    }

    pub fn finish(&mut self, request: RequestId) -> Vec<Output> {
        self.end(request, Ending::Finished { status: 200 })
    }
}

/// The router's reaction to a request in these outputs.
pub fn reaction_to(request: RequestId, outputs: &[Output]) -> Reaction {
    for output in outputs {
        match output {
            Output::Forward {
                request: id,
                upstream,
                ..
            } if *id == request => return Reaction::Forwarded(upstream.to_string()),
            Output::Settle {
                request: id,
                settled,
            } if *id == request => return Reaction::Settled(*settled),
            _ => {}
        }
    }
    Reaction::Nothing
}
