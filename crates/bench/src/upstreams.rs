//! An entry's table of members and a router, with a chosen number of announced upstreams.

use crate::at_ms;
use member::Members;
use route::{Cap, Input, Limits, Output, RequestId, Router, RouterConfig};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use types::{Announcement, Resource, TimeUs, UpstreamName, UpstreamState};

const VALID: &str = "valid by construction";

/// The address of the first upstream, 10.100.100.100.
const FIRST_ADDRESS: u32 = 0x0a64_6464;

/// The service of every upstream.
pub const SERVICE: &str = "browse";

/// The name of the upstream with this number.
#[must_use]
pub fn upstream_name(number: usize) -> UpstreamName {
    format!("browse-{number:05}").parse().expect(VALID)
}

/// The announcement of the upstream with this number: ready, with 4 of its 9 slots in use.
#[must_use]
pub fn announcement(number: usize, sequence: u64) -> Announcement {
    Announcement {
        service: SERVICE.parse().expect(VALID),
        address: SocketAddr::from((Ipv4Addr::from_bits(FIRST_ADDRESS + number as u32), 9_000)),
        region: "region-0".parse().expect(VALID),
        failure_domain: format!("region-0-{}", number % 3).parse().expect(VALID),
        slots: 9,
        connections: 400,
        load: 4,
        state: UpstreamState::Ready,
        epoch_ms: 1_760_000_000_000,
        sequence,
    }
}

/// The table of an entry to which this number of upstreams announced themselves.
#[must_use]
pub fn members(upstreams: usize) -> Members {
    let mut members = Members::new();
    let mut events = Vec::new();
    for number in 0..upstreams {
        let announcement = announcement(number, 1);
        members.announce(at_ms(0), &upstream_name(number), &announcement, &mut events);
    }
    members
}

/// A router that has announcements of a chosen number of upstreams of one service.
#[derive(Debug)]
pub struct RouterWithUpstreams {
    router: Router,
    outputs: Vec<Output>,
    next_request: u64,
}

impl RouterWithUpstreams {
    /// A router with this number of upstreams and no request in flight.
    #[must_use]
    pub fn new(upstreams: usize) -> Self {
        let config = RouterConfig::new(
            "entry-1".parse().expect(VALID),
            "region-0".parse().expect(VALID),
            "region-0-0".parse().expect(VALID),
        );
        let cap = Cap {
            percent: 100,
            interval_ms: 1_000,
        };
        let limits = Limits {
            cap,
            ..Limits::default()
        };
        let mut router = Self {
            router: Router::new(config.with_limits(limits)),
            outputs: Vec::new(),
            next_request: 0,
        };
        router.step(Input::Declared(&service()));
        for number in 0..upstreams {
            router.step(Input::Upstream {
                name: &upstream_name(number),
                announcement: &announcement(number, 1),
            });
        }
        router
    }

    /// Passes one request through the router: it arrives, is forwarded and finishes. Returns
    /// whether it was forwarded.
    pub fn run_request(&mut self) -> bool {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.step(Input::Arrive {
            request,
            service: &SERVICE.parse().expect(VALID),
            deadline_us: self.now_us().after_ms(1_000),
            idempotent: true,
        });
        let forwarded = matches!(self.outputs.first(), Some(Output::Forward { .. }));
        let ending = route::Ending::Finished { status: 200 };
        self.step(Input::Ended { request, ending });
        forwarded
    }

    fn now_us(&self) -> TimeUs {
        at_ms(1_000).after_us(10 * self.next_request)
    }

    fn step(&mut self, input: Input<'_>) {
        self.outputs.clear();
        self.router.step(self.now_us(), input, &mut self.outputs);
    }
}

fn service() -> Resource {
    let spec = json!({"regions": ["region-0"], "idempotent": true, "priority": "browse",
        "deadline_ms": 2_000, "answer_bytes": 10_000});
    let all = json!({"name": SERVICE, "kind": "service", "spec": spec, "version": 1,
        "revision": 1});
    serde_json::from_value(all).expect(VALID)
}
