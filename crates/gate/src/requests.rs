//! What becomes of requests: admission, repeats, ends.

use crate::{
    api::{Arrival, Belief, Busy, Decision, Ending, Failure, Load, Next, Refusal, Target},
    gate::Gate,
    service::{Choice, Wish},
    split::Split,
    times::RunTimes,
};
use plan::{Repeat, Route};
use types::{DomainName, RegionName, ServiceName, TimeUs, UpstreamName};

/// A client that is refused may come back after this time at the earliest, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// A client that is refused by a gateway that has just started may come back after this time, in
/// milliseconds; by then a plan has mostly come.
const RETRY_AFTER_START_MS: u64 = 300;

/// A client that is refused may come back after this time at the latest, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 1_000;

/// A request in flight.
#[derive(Debug)]
pub(crate) struct Flight {
    route: String,
    service: ServiceName,
    object: Option<u64>,
    homes: Vec<RegionName>,
    attempts_max: u32,
    idempotent: bool,
    deadline_us: TimeUs,
    target_us: u64,
    tried: Vec<UpstreamName>,
    sent_us: TimeUs,
    is_familiar: bool,
    /// Whether the upstream had a free slot when the attempt was sent.
    runs_at_once: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

impl Flight {
    fn new(
        arrival: &Arrival<'_>,
        route: &Route,
        part: usize,
        wait_ms: u64,
        now_us: TimeUs,
    ) -> Self {
        Self {
            route: route.name.clone(),
            service: route.parts[part].service.clone(),
            object: arrival.object.filter(|_| route.sticky),
            homes: route.home_regions.clone(),
            attempts_max: route.attempts_max,
            idempotent: route.repeat == Repeat::Idempotent,
            deadline_us: now_us.after_ms(wait_ms),
            target_us: route.target_ms.min(wait_ms) * 1_000,
            tried: Vec::new(),
            sent_us: now_us,
            is_familiar: false,
            runs_at_once: false,
            may_have_run: false,
        }
    }

    fn wish<'a>(&'a self, domain: &'a DomainName, times: RunTimes, now_us: TimeUs) -> Wish<'a> {
        Wish {
            object: self.object,
            homes: &self.homes,
            tried: &self.tried,
            domain,
            times,
            left_us: self.deadline_us.since_us(now_us) as f64,
            target_us: self.target_us as f64,
        }
    }
}

impl Gate {
    /// Decides on a request that came.
    pub fn arrive(&mut self, arrival: &Arrival<'_>, now_us: TimeUs) -> Decision {
        let Some(table) = &self.table else {
            return refuse(Refusal::NoPlan, RETRY_AFTER_START_MS);
        };
        let Some(route) = table.find(arrival.host, arrival.path) else {
            return Decision::NoRoute;
        };
        let takes_until_us = self.takes_until_us;
        if takes_until_us.is_some_and(|until_us| until_us.reached(now_us)) {
            return refuse(Refusal::Stopping, RETRY_AFTER_MIN_MS);
        }
        let wait_ms = arrival.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        if wait_ms == 0 {
            return refuse(Refusal::Deadline, RETRY_AFTER_MIN_MS);
        }
        let split = self.splits.get_mut(&route.name);
        let Some(part) = split.and_then(Split::next) else {
            return refuse(Refusal::NoUpstream, RETRY_AFTER_MAX_MS);
        };
        let flight = Flight::new(arrival, route, part, wait_ms, now_us);
        self.admit(arrival.request, flight, now_us)
    }

    /// Ends a request whose client has left; whether it was in flight.
    pub fn left(&mut self, request: u64, now_us: TimeUs) -> bool {
        let Some(flight) = self.flights.remove(&request) else {
            return false;
        };
        self.note_end(&flight, Ending::Left, None, now_us);
        true
    }

    /// Takes the end of an attempt and decides what follows.
    pub fn ended(
        &mut self,
        request: u64,
        ending: Ending,
        load: Option<Load>,
        now_us: TimeUs,
    ) -> Next {
        let Some(mut flight) = self.flights.remove(&request) else {
            return Next::GiveUp(Failure::Unknown);
        };
        self.note_end(&flight, ending, load, now_us);
        flight.may_have_run |= !ending.has_not_run();
        match ending {
            Ending::Answered => return Next::Deliver,
            Ending::Left => return Next::GiveUp(Failure::Unknown),
            Ending::TimedOut => return Next::GiveUp(Failure::TimedOut),
            Ending::Failed if !flight.idempotent => return Next::Deliver,
            Ending::Broken if !flight.idempotent => return Next::GiveUp(Failure::Unknown),
            Ending::Failed
            | Ending::Broken
            | Ending::Full
            | Ending::Misdirected
            | Ending::NotSent => {}
        }
        if let Some(choice) = self.choose_again(&flight, now_us) {
            return Next::Retry(self.send(request, flight, choice, now_us));
        }
        match ending {
            Ending::Failed => Next::Deliver,
            _ if !flight.may_have_run => Next::GiveUp(Failure::NotRun {
                retry_after_ms: RETRY_AFTER_MIN_MS,
            }),
            _ => Next::GiveUp(Failure::Unknown),
        }
    }

    fn admit(&mut self, request: u64, flight: Flight, now_us: TimeUs) -> Decision {
        let times = self.times_of(&flight.route);
        let Some(service) = self.services.get_mut(&flight.service) else {
            return refuse(Refusal::NoUpstream, RETRY_AFTER_MAX_MS);
        };
        self.slack.note();
        service.note_first(&self.config.bounds, self.gateways);
        let wish = flight.wish(&self.config.failure_domain, times, now_us);
        let Some(choice) = service.choose(wish, self.gateways, now_us) else {
            return refuse(Refusal::NoUpstream, RETRY_AFTER_MAX_MS);
        };
        // A longer wait makes it late whatever its run takes, and a slot is worth more to another.
        let wait_max_us = flight.target_us as f64;
        if choice.wait_us > wait_max_us {
            let over_ms = ((choice.wait_us - wait_max_us) / 1e3) as u64;
            let retry_after_ms = over_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
            let best = service.upstreams[choice.index].instance.id.clone();
            return Decision::Refuse {
                refusal: Refusal::Overloaded,
                retry_after_ms,
                best: Some(Busy {
                    upstream: best,
                    wait_ms: (choice.wait_us / 1e3) as u64,
                    wait_max_ms: (wait_max_us / 1e3) as u64,
                }),
            };
        }
        Decision::Forward(self.send(request, flight, choice, now_us))
    }

    /// How long a route's requests run.
    fn times_of(&self, route: &str) -> RunTimes {
        let times = self.times.get(route).copied();
        times.unwrap_or_else(|| RunTimes::new(1))
    }

    /// The upstream of another attempt, when the bounds leave one.
    fn choose_again(&mut self, flight: &Flight, now_us: TimeUs) -> Option<Choice> {
        let attempts = u32::try_from(flight.tried.len()).unwrap_or(u32::MAX);
        if attempts >= flight.attempts_max || flight.deadline_us.reached(now_us) {
            return None;
        }
        let times = self.times_of(&flight.route);
        let service = self.services.get_mut(&flight.service)?;
        let wish = flight.wish(&self.config.failure_domain, times, now_us);
        let choice = service.choose(wish, self.gateways, now_us)?;
        let left_us = flight.deadline_us.since_us(now_us) as f64;
        let fits = choice.wait_us + choice.run_us < left_us;
        let may_repeat = fits && service.take_repeat(&self.config.bounds, self.gateways, now_us);
        may_repeat.then_some(choice)
    }

    fn send(&mut self, request: u64, mut flight: Flight, choice: Choice, now_us: TimeUs) -> Target {
        let service = self.service(&flight.service.clone(), now_us);
        flight.runs_at_once = service.has_free_slot(choice.index, now_us);
        service.send(choice.index, flight.object, now_us);
        let instance = &service.upstreams[choice.index].instance;
        flight.tried.push(instance.id.clone());
        flight.sent_us = now_us;
        flight.is_familiar = choice.is_familiar;
        let target = Target {
            request,
            route: flight.route.clone(),
            service: flight.service.clone(),
            upstream: instance.id.clone(),
            address: instance.address,
            deadline_us: flight.deadline_us,
            attempt: u32::try_from(flight.tried.len()).unwrap_or(u32::MAX),
            idempotent: flight.idempotent,
            expected_wait_ms: (choice.wait_us / 1e3) as u64,
            expected_run_ms: (choice.run_us / 1e3) as u64,
        };
        self.flights.insert(request, flight);
        target
    }

    /// Learns from the end of an attempt.
    fn note_end(&mut self, flight: &Flight, ending: Ending, load: Option<Load>, now_us: TimeUs) {
        let Some(service) = self.services.get_mut(&flight.service) else {
            return;
        };
        let Some(id) = flight.tried.last() else {
            return;
        };
        let Some(index) = service.position(id) else {
            return;
        };
        let upstream = &mut service.upstreams[index];
        upstream.own = upstream.own.saturating_sub(1);
        if upstream.note_ending(ending, now_us) {
            let upstream = id.clone();
            self.beliefs.push(Belief::Paused { upstream, ending });
        }
        if let Some(load) = load {
            service.note_load(index, load, now_us);
        }
        if ending == Ending::Answered && flight.runs_at_once {
            let taken_us = now_us.since_us(flight.sent_us) as f64;
            let Some(times) = self.times.get_mut(&flight.route) else {
                return;
            };
            let usual_us = times.run_us(flight.is_familiar);
            times.note(taken_us, flight.is_familiar);
            service.note_time(index, taken_us, usual_us, now_us);
        }
    }
}

const fn refuse(refusal: Refusal, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        refusal,
        retry_after_ms,
        best: None,
    }
}
