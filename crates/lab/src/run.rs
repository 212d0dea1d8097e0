//! Runs one experiment: builds its state, schedules the first events and handles events in order.

use crate::{
    allknowing::AllKnowing,
    arrivals::Arrivals,
    caps::CapCheck,
    deployment::{Deployment, Site},
    entries::{Entries, RouterSettings},
    events::{Event, Events},
    link::Link,
    measure::{Measure, Results},
    names,
    scenario::{Chooser, Scenario},
    shares::RegionShares,
    worker::Worker,
    world::{Selector, World},
};
use route::{Cap, Fallback, Limits, Policy};

/// Time between two ticks of the routers.
const TICK_INTERVAL_US: u64 = 10_000;
/// Time between two grants of shares.
const GRANT_INTERVAL_US: u64 = 50_000;
/// Time between two announcements of a worker.
const ANNOUNCE_INTERVAL_US: u64 = 600_000;
/// Time after the last arrival in which requests may still end.
const TAIL_US: u64 = 4_000_000;

/// The parameters of one experiment.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The simulated deployment.
    pub deployment: Deployment,
    /// The faults or operator's actions in it.
    pub scenario: Scenario,
    /// The chooser of upstreams.
    pub chooser: Chooser,
    /// Rate of arrivals, in percent of what all slots can finish.
    pub load_percent: u32,
    /// Seed of the arrivals and their work.
    pub seed: u64,
    /// Whether shares of regions and links bound the routers.
    pub shares: bool,
    /// Limit of the traffic that a router moves out of a region.
    pub cap: Cap,
    /// Virtual time at which the measured time begins.
    pub warm_up_us: u64,
    /// Virtual time at which arrivals and the measured time end; the incident comes in the middle
    /// of the measured time.
    pub end_us: u64,
}

impl Experiment {
    /// An experiment of twelve seconds, of which the last ten are measured, at 80% load and seed 1.
    #[must_use]
    pub fn new(deployment: Deployment, scenario: Scenario, chooser: Chooser) -> Self {
        Self {
            deployment,
            scenario,
            chooser,
            load_percent: 80,
            seed: 1,
            shares: true,
            cap: Limits::default().cap,
            warm_up_us: 2_000_000,
            end_us: 12_000_000,
        }
    }

    /// Sets the rate of arrivals, in percent of what all slots can finish.
    #[must_use]
    pub const fn with_load_percent(mut self, load_percent: u32) -> Self {
        self.load_percent = load_percent;
        self
    }

    /// Sets the seed of the arrivals and their work.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Lets the routers use regions and links without shares.
    #[must_use]
    pub const fn without_shares(mut self) -> Self {
        self.shares = false;
        self
    }

    /// Sets the cap on the traffic that leaves a region.
    #[must_use]
    pub const fn with_cap(mut self, cap: Cap) -> Self {
        self.cap = cap;
        self
    }

    /// Sets the virtual time at which arrivals end.
    #[must_use]
    pub const fn with_end_us(mut self, end_us: u64) -> Self {
        self.end_us = end_us;
        self
    }
}

/// Runs an experiment; the same parameters give the same results.
#[must_use]
pub fn run(experiment: &Experiment) -> Results {
    let mut world = build_world(experiment);
    world.set_initial_faults(experiment.scenario);
    schedule_initial_events(&mut world, experiment);
    let stop_us = experiment.end_us + TAIL_US;
    while let Some((now_us, event)) = world.events.pop() {
        if now_us > stop_us {
            break;
        }
        handle_event(&mut world, experiment, now_us, event);
    }
    results(&world)
}

fn build_world(experiment: &Experiment) -> World {
    let site = experiment.deployment.site();
    let workers = workers(&site);
    let capacity_slots: Vec<u32> = (0..site.regions.len())
        .map(|region| {
            let here = workers.iter().filter(|worker| worker.region == region);
            here.map(|worker| worker.slots).sum()
        })
        .collect();
    let declared = names::declared(&site, &capacity_slots);
    let selector = match experiment.chooser {
        Chooser::AllKnowing => {
            Selector::AllKnowing(AllKnowing::new(site.services.len(), workers.len()))
        }
        Chooser::Routers(policy) => {
            let settings = router_settings(experiment, policy);
            Selector::Routers(Entries::new(&site, workers.len(), &declared, &settings))
        }
    };
    let mut arrivals: Vec<Arrivals> = site
        .services
        .iter()
        .enumerate()
        .map(|(index, shape)| {
            let rate = shape.capacity_per_s() * f64::from(experiment.load_percent) / 100.0;
            Arrivals::new(experiment.seed * 1_000 + index as u64, rate, shape.mean_us)
        })
        .collect();
    let link = Link::new(site.link_kbps, site.region_delay_us);
    World {
        events: Events::default(),
        links: vec![vec![link; site.regions.len()]; site.regions.len()],
        requests: Vec::new(),
        running_attempts: vec![Vec::new(); workers.len()],
        entry_up: vec![true; site.entry_regions.len()],
        entry_listed: vec![true; site.entry_regions.len()],
        regions: capacity_slots
            .iter()
            .map(|&slots| RegionShares::new(slots, site.entry_regions.len()))
            .collect(),
        selector,
        measure: Measure::new(),
        caps: CapCheck::new(
            experiment.cap,
            site.entry_regions.len(),
            site.services.len(),
        ),
        next_arrivals: arrivals.iter_mut().map(Arrivals::next_arrival).collect(),
        arrivals,
        warm_up_us: experiment.warm_up_us,
        end_us: experiment.end_us,
        draining: None,
        workers,
        site,
    }
}

fn workers(site: &Site) -> Vec<Worker> {
    let mut workers = Vec::new();
    for (service, shape) in site.services.iter().enumerate() {
        for index in 0..shape.workers {
            let position = index + service;
            workers.push(Worker::new(
                service,
                position % 3,
                position / 3 % 2,
                shape.slots,
            ));
        }
    }
    workers
}

fn router_settings(experiment: &Experiment, policy: Policy) -> RouterSettings {
    let fallback = match experiment.shares {
        true => Fallback::Zero,
        false => Fallback::Unlimited,
    };
    let limits = Limits {
        cap: experiment.cap,
        ..Limits::default()
    };
    RouterSettings {
        policy,
        limits,
        fallback,
    }
}

fn schedule_initial_events(world: &mut World, experiment: &Experiment) {
    if experiment.shares {
        world.events.push(0, Event::GrantShares);
    }
    for worker in 0..world.workers.len() {
        world
            .events
            .push(worker as u64 * 1_000, Event::Announce { worker });
    }
    for service in 0..world.next_arrivals.len() {
        let at_us = world.next_arrivals[service].at_us;
        world.events.push(at_us, Event::NextArrival { service });
    }
    world.events.push(TICK_INTERVAL_US, Event::Tick);
    let incident_us = (experiment.warm_up_us + experiment.end_us) / 2;
    world.events.push(incident_us, Event::Incident);
}

fn handle_event(world: &mut World, experiment: &Experiment, now_us: u64, event: Event) {
    match event {
        Event::NextArrival { service } => world.handle_next_arrival(service),
        Event::RequestAtEntry { request } => world.handle_request_at_entry(now_us, request),
        Event::AttemptAtWorker {
            request,
            attempt,
            worker,
        } => world.handle_attempt_at_worker(now_us, request, attempt, worker),
        Event::RunDone {
            request,
            attempt,
            worker,
            incarnation,
        } => world.handle_run_done(now_us, request, attempt, worker, incarnation),
        Event::AttemptEnded {
            request,
            attempt,
            ending,
        } => world.handle_attempt_ended(now_us, request, attempt, ending),
        Event::Announce { worker } => {
            announce(world, now_us, worker);
            world
                .events
                .push(now_us + ANNOUNCE_INTERVAL_US, Event::Announce { worker });
        }
        Event::Tick => {
            for entry in world.entries_up() {
                if let Selector::Routers(entries) = &mut world.selector {
                    let outputs = entries.tick(entry, now_us);
                    world.apply(now_us, &outputs);
                }
            }
            world.sample(now_us);
            for service in 0..world.site.services.len() {
                world.place_waiting(now_us, service);
            }
            world.events.push(now_us + TICK_INTERVAL_US, Event::Tick);
        }
        Event::GrantShares => {
            grant_shares(world, now_us);
            world
                .events
                .push(now_us + GRANT_INTERVAL_US, Event::GrantShares);
        }
        Event::Incident => world.begin_incident(now_us, experiment.scenario, experiment.cap),
        Event::Recovery => {
            world.restart_workers();
            for worker in (0..world.workers.len()).step_by(3) {
                announce(world, now_us, worker);
            }
        }
        Event::AnnouncementsExpire => world.expire_announcements(now_us),
    }
}

fn announce(world: &mut World, now_us: u64, worker: usize) {
    if !world.workers[worker].up || !world.workers[worker].reachable {
        return;
    }
    for entry in world.entries_up() {
        if let Selector::Routers(entries) = &mut world.selector {
            let announcing = (worker, &world.workers[worker]);
            let outputs = entries.announce(entry, now_us, &world.site, announcing);
            world.apply(now_us, &outputs);
        }
    }
}

fn grant_shares(world: &mut World, now_us: u64) {
    let entry_regions = world.site.entry_regions;
    for region in 0..world.regions.len() {
        let Selector::Routers(entries) = &mut world.selector else {
            return;
        };
        let wanted: Vec<u32> = (0..entry_regions.len())
            .map(|entry| entries.wanted_slots(entry, region))
            .collect();
        let local = entry_regions.map(|at| at == region);
        let grants = world.regions[region].grant(now_us, &world.entry_up, &wanted, &local);
        for (entry, slots) in grants {
            if let Selector::Routers(entries) = &mut world.selector {
                let outputs = entries.share(entry, now_us, region, slots);
                world.apply(now_us, &outputs);
            }
        }
        let local_entries = entry_regions.iter().filter(|&&at| at == region).count() as u64;
        let kbps = world.site.link_kbps / local_entries;
        for entry in world.entries_up() {
            if entry_regions[entry] != region {
                continue;
            }
            for from in (0..world.regions.len()).filter(|&from| from != region) {
                if let Selector::Routers(entries) = &mut world.selector {
                    let outputs = entries.link_share(entry, now_us, (from, region), kbps);
                    world.apply(now_us, &outputs);
                }
            }
        }
    }
}

fn results(world: &World) -> Results {
    let measure = &world.measure;
    let measured_s = (world.end_us - world.warm_up_us) as f64 / 1e6;
    let capacity: f64 = world.site.services.iter().map(|s| s.capacity_per_s()).sum();
    let links = world.links.iter().flatten();
    Results {
        latency: measure.latency(),
        outcomes: measure.outcomes,
        finished_percent: 100.0 * measure.finished_in_window as f64 / measured_s / capacity,
        region_headroom_percent: measure.region_headroom_percent,
        share_headroom_percent: measure.share_headroom_percent,
        link_headroom_percent: links.map(Link::min_headroom_percent).fold(100.0, f64::min),
        drain_ms: measure.drain_us.map(|us| us / 1_000),
        attempts_per_request: measure.attempts as f64 / measure.forwarded.max(1) as f64,
        second_runs: measure.second_runs,
        running_percent: measure.running.value(),
        reserved_percent: measure.reserved.value(),
        refusals: measure.refusals.clone(),
        cap_violations: world.caps.violations,
    }
}
