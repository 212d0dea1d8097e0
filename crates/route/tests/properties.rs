//! Property test: random events go to the router and to a model, which checks every output against
//! the rules. The model sees nothing of the router's inner state apart from the snapshot's usable
//! and ejected upstreams and its request count.

mod common;

use common::{
    Harness, announcement, config, reaction_to, region, resource, service, service_spec, uncapped,
};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use route::{Cap, Ending, Input, Limits, Output, Policy, RequestId};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;
use types::{DrainSpec, DrainTarget, Outcome, Priority, Spec, TimeUs, UpstreamName, UpstreamState};

const SERVICES: [&str; 2] = ["browse", "pay"];
const DOMAINS: [&str; 3] = ["here-a", "here-b", "there-a"];
const UPSTREAMS: usize = 6;
const QUEUED_MAX: usize = 4;
const CAP: Cap = Cap {
    percent: 30,
    interval_ms: 1_000,
};

#[derive(Clone, Debug)]
enum Event {
    /// An upstream's index, its slots and its state.
    Announce(usize, u32, UpstreamState),
    /// The index of an upstream that is no longer announced.
    Expired(usize),
    /// The index of the only upstream that is drained from now on.
    Drain(usize),
    /// Ends the drain.
    Undrain,
    /// Whether the share is for region `here` (otherwise `there`), its slots, and how long it is
    /// valid in milliseconds.
    Share(bool, u32, u64),
    /// The index of the request's service, whether the request is idempotent, and its deadline in
    /// milliseconds from now.
    Arrive(usize, bool, u64),
    /// A number that selects the open request whose answer starts, see [`Model::pick`].
    Answering(usize),
    /// A number that selects an open request, see [`Model::pick`], and how its attempt ends.
    End(usize, Ending),
    /// The time that passes before a tick, in milliseconds.
    Elapse(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let state = prop_oneof![
        4 => Just(UpstreamState::Ready),
        1 => Just(UpstreamState::Starting),
        1 => Just(UpstreamState::Leaving),
    ];
    let ending = prop_oneof![
        4 => Just(Ending::Finished { status: 200 }),
        1 => Just(Ending::Finished { status: 500 }),
        1 => Just(Ending::NotSent),
        2 => Just(Ending::Refused),
        2 => Just(Ending::Broken),
        1 => Just(Ending::CutShort),
        1 => Just(Ending::Cancelled),
    ];
    prop_oneof![
        3 => (0..UPSTREAMS, 1_u32..4, state).prop_map(|(u, s, t)| Event::Announce(u, s, t)),
        1 => (0..UPSTREAMS).prop_map(Event::Expired),
        1 => (0..UPSTREAMS).prop_map(Event::Drain),
        1 => Just(Event::Undrain),
        1 => (any::<bool>(), 0_u32..6, 1_u64..400).prop_map(|(h, s, l)| Event::Share(h, s, l)),
        12 => (0_usize..2, any::<bool>(), 1_u64..2_000).prop_map(|(s, i, d)| Event::Arrive(s, i, d)),
        1 => (0_usize..64).prop_map(Event::Answering),
        10 => (0_usize..64, ending).prop_map(|(r, e)| Event::End(r, e)),
        4 => (1_u64..120).prop_map(Event::Elapse),
    ]
}

#[derive(Clone, Debug, Default)]
struct ModelUpstream {
    ready: bool,
    drained: bool,
    slots: u32,
    in_flight: u32,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    service: usize,
    idempotent: bool,
    deadline_us: TimeUs,
    upstream: Option<usize>,
    answering: bool,
    must_not_retry: bool,
    may_have_run: bool,
    moved: bool,
}

/// The router under test, and the state that the rules need, kept apart from the router's.
struct Model {
    harness: Harness,
    upstreams: Vec<ModelUpstream>,
    shares: BTreeMap<&'static str, (u32, TimeUs)>,
    open: BTreeMap<RequestId, OpenRequest>,
    started_us: TimeUs,
    /// By service: the sum, over its arrivals, of the percentage that the cap lets leave the home
    /// region.
    allowed_percent: Vec<u64>,
    /// By service: requests that left the home region.
    moved: Vec<u64>,
}

fn name(index: usize) -> String {
    format!("w{index}")
}

const fn service_of(index: usize) -> usize {
    index % 2
}

fn domain_of(index: usize) -> &'static str {
    DOMAINS[index / 2 % 3]
}

fn region_of(index: usize) -> &'static str {
    domain_of(index).split('-').next().unwrap()
}

impl Model {
    fn new(policy: Policy) -> Self {
        let limits = Limits {
            queue_requests: QUEUED_MAX,
            cap: CAP,
            ..uncapped()
        };
        let mut harness = Harness::new(config().with_limits(limits).with_policy(policy));
        for name in SERVICES {
            harness.declare(name, Spec::Service(service_spec(Priority::Critical)));
        }
        Self {
            upstreams: vec![ModelUpstream::default(); UPSTREAMS],
            shares: BTreeMap::new(),
            open: BTreeMap::new(),
            started_us: harness.now_us,
            allowed_percent: vec![0; 2],
            moved: vec![0; 2],
            harness,
        }
    }

    fn run(&mut self, event: &Event) {
        let outputs = match *event {
            Event::Announce(index, slots, state) => {
                self.upstreams[index].ready = state == UpstreamState::Ready;
                self.upstreams[index].slots = slots;
                let service = SERVICES[service_of(index)];
                let mut changed = announcement(service, domain_of(index), slots);
                changed.state = state;
                self.harness.announce(&name(index), &changed)
            }
            Event::Expired(index) => {
                self.upstreams[index].ready = false;
                let name = UpstreamName::new(&name(index)).unwrap();
                self.harness.step(Input::UpstreamExpired { name: &name })
            }
            Event::Drain(index) => {
                for (other, known) in self.upstreams.iter_mut().enumerate() {
                    known.drained = other == index;
                }
                let name = UpstreamName::new(&name(index)).unwrap();
                self.harness.drain(DrainTarget::Upstream(name))
            }
            Event::Undrain => {
                self.upstreams
                    .iter_mut()
                    .for_each(|known| known.drained = false);
                let target = DrainTarget::Region(region("none"));
                let resource = resource("drain", Spec::Drain(DrainSpec { target }));
                self.harness.step(Input::Withdrawn(&resource))
            }
            Event::Share(here, slots, lifetime_ms) => {
                let name = if here { "here" } else { "there" };
                let expires_us = self.harness.now_us.after_ms(lifetime_ms);
                self.shares.insert(name, (slots, expires_us));
                self.harness.share(name, slots, expires_us)
            }
            Event::Arrive(service, idempotent, deadline_ms) => {
                self.arrive(service, idempotent, deadline_ms)
            }
            Event::Answering(pick) => match self.pick(pick) {
                Some(request) => {
                    let open = self.open.get_mut(&request).unwrap();
                    open.answering = open.upstream.is_some();
                    self.harness.step(Input::Answering { request })
                }
                None => Vec::new(),
            },
            Event::End(pick, ending) => self.end(pick, ending),
            Event::Elapse(ms) => {
                self.harness.now_us = self.harness.now_us.after_ms(ms);
                self.harness.step(Input::Tick)
            }
        };
        self.check(&outputs);
    }

    /// The open request that a random number selects.
    fn pick(&self, pick: usize) -> Option<RequestId> {
        let count = self.open.len().max(1);
        self.open.keys().nth(pick % count).copied()
    }

    fn arrive(&mut self, index: usize, idempotent: bool, deadline_ms: u64) -> Vec<Output> {
        let now_us = self.harness.now_us;
        let deadline_us = now_us.after_ms(deadline_ms);
        let since_us = now_us.since_us(self.started_us);
        let intervals = since_us / (CAP.interval_ms * 1_000) + 1;
        self.allowed_percent[index] += (intervals * u64::from(CAP.percent)).min(100);
        // The sum grows with every arrival, so no identifier is used twice.
        let request = RequestId(1_000 + self.allowed_percent.iter().sum::<u64>());
        let open = OpenRequest {
            service: index,
            idempotent,
            deadline_us,
            upstream: None,
            answering: false,
            must_not_retry: false,
            may_have_run: false,
            moved: false,
        };
        assert!(self.open.insert(request, open).is_none());
        self.harness.step(Input::Arrive {
            request,
            service: &service(SERVICES[index]),
            deadline_us,
            idempotent,
        })
    }

    fn end(&mut self, pick: usize, ending: Ending) -> Vec<Output> {
        let Some(request) = self.pick(pick) else {
            return Vec::new();
        };
        let open = self.open.get_mut(&request).unwrap();
        let queued = open.upstream.is_none();
        if queued && ending != Ending::Cancelled {
            return Vec::new();
        }
        if let Some(index) = open.upstream.take() {
            self.upstreams[index].in_flight -= 1;
        }
        let broken = ending == Ending::Broken;
        open.must_not_retry |= open.answering || broken && !open.idempotent;
        open.may_have_run |= open.answering || broken;
        let ended = matches!(
            ending,
            Ending::Finished { .. } | Ending::CutShort | Ending::Cancelled
        );
        if ended {
            self.open.remove(&request);
        }
        let outputs = self.harness.end(request, ending);
        if ended {
            let reaction = reaction_to(request, &outputs);
            assert_eq!(
                reaction,
                common::Reaction::Nothing,
                "{request:?} had already ended"
            );
        }
        outputs
    }

    fn check(&mut self, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::Forward {
                    request,
                    upstream,
                    deadline_us,
                    ..
                } => self.check_forward(*request, upstream, *deadline_us),
                Output::Settle { request, settled } => {
                    let open = self.open.remove(request).expect("settled once, while open");
                    assert!(open.upstream.is_none(), "settled while in flight");
                    let unknown = settled.outcome == Outcome::Unknown;
                    assert_eq!(unknown, open.may_have_run, "{settled:?}");
                }
                Output::Cancel { .. } => {}
            }
        }
        for service in 0..SERVICES.len() {
            let waits = |open: &&OpenRequest| open.service == service && open.upstream.is_none();
            assert!(self.open.values().filter(waits).count() <= QUEUED_MAX);
            assert!(self.moved[service] * 100 <= self.allowed_percent[service] + 100);
        }
    }

    fn check_forward(&mut self, request: RequestId, upstream: &UpstreamName, until_us: TimeUs) {
        let index: usize = upstream.as_str()[1..].parse().unwrap();
        let now_us = self.harness.now_us;
        let open = self.open.get_mut(&request).expect("forwarded while open");
        assert_eq!(open.deadline_us, until_us);
        assert!(!until_us.reached(now_us), "forwarded after the deadline");
        assert!(open.upstream.is_none(), "two attempts at once");
        assert!(
            !open.must_not_retry,
            "forwarded although it must not be retried"
        );
        assert_eq!(open.service, service_of(index));
        open.upstream = Some(index);
        if region_of(index) == "there" && !open.moved {
            open.moved = true;
            self.moved[open.service] += 1;
        }
        let known = &mut self.upstreams[index];
        assert!(
            known.ready && !known.drained,
            "{upstream} is not ready or is drained"
        );
        known.in_flight += 1;
        assert!(
            known.in_flight <= known.slots,
            "{upstream} has more in flight than slots"
        );
        if let Some(&(slots, expires_us)) = self.shares.get(region_of(index)) {
            let here = (0..UPSTREAMS).filter(|&other| region_of(other) == region_of(index));
            let in_flight: u32 = here.map(|other| self.upstreams[other].in_flight).sum();
            assert!(in_flight <= slots, "more in flight than the share allows");
            assert!(!expires_us.reached(now_us), "after the share expired");
        }
    }

    /// No more than the allowed percentage of a service's usable upstreams is ejected, at any time.
    fn check_ejection_limit(&self) {
        let snapshot = self.harness.router.snapshot(self.harness.now_us);
        for service in 0..SERVICES.len() {
            let upstreams = snapshot.upstreams.iter().filter(|upstream| {
                let index: usize = upstream.name.as_str()[1..].parse().unwrap();
                upstream.usable && service_of(index) == service
            });
            let ejected = upstreams
                .clone()
                .filter(|upstream| upstream.ejected)
                .count();
            let allowed = upstreams.count() * Limits::default().eject_percent as usize / 100;
            assert!(ejected <= allowed, "{ejected} of {allowed}");
        }
    }

    /// Once all deadlines have passed, no request may be queued; ends the rest and checks that none
    /// is left.
    fn finish(&mut self) {
        self.run(&Event::Elapse(10_000));
        assert!(self.open.values().all(|open| open.upstream.is_some()));
        while !self.open.is_empty() {
            self.run(&Event::End(0, Ending::Finished { status: 200 }));
        }
        assert_eq!(
            self.harness.router.snapshot(self.harness.now_us).requests,
            0
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn every_rule_holds_under_random_events(
        events in proptest::collection::vec(event(), 1..400),
        policy in 0_usize..4,
    ) {
        let policy = Policy::iter().nth(policy).unwrap();
        let mut model = Model::new(policy);
        for event in &events {
            model.run(event);
            model.check_ejection_limit();
        }
        model.finish();
    }
}
