//! Runs one experiment.

use crate::{
    allknowing::AllKnowing,
    arrivals::Arrivals,
    caps::CapCheck,
    deployment::{Deployment, Site},
    entries::{Entries, Rules},
    events::{Event, Events},
    link::Link,
    measure::{Measure, Results},
    names,
    scenario::{Chooser, Scenario},
    shares::RegionShares,
    worker::Worker,
    world::{Front, World},
};
use route::{Cap, Fallback, Limits, Policy};

const TICK_US: u64 = 10_000;
const SHARES_US: u64 = 50_000;
const ANNOUNCE_US: u64 = 600_000;
/// Time after the last arrival in which requests may still end.
const TAIL_US: u64 = 4_000_000;

/// One experiment.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The deployment.
    pub deployment: Deployment,
    /// What happens.
    pub scenario: Scenario,
    /// Who chooses.
    pub chooser: Chooser,
    /// Arrivals in percent of what all slots can finish.
    pub load_percent: u32,
    /// Seeds the arrivals and their work.
    pub seed: u64,
    /// Whether shares of regions and links bound the routers.
    pub shares: bool,
    /// What moves out of a region at most.
    pub cap: Cap,
    /// Virtual time before measuring begins.
    pub warm_us: u64,
    /// Virtual time until arrivals end; the incident comes in the middle of the measured time.
    pub end_us: u64,
}

impl Experiment {
    /// Twelve seconds, of which the last ten are measured.
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
            warm_us: 2_000_000,
            end_us: 12_000_000,
        }
    }

    /// At another load.
    #[must_use]
    pub const fn with_load_percent(mut self, load_percent: u32) -> Self {
        self.load_percent = load_percent;
        self
    }

    /// With another seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Without shares of regions and links.
    #[must_use]
    pub const fn without_shares(mut self) -> Self {
        self.shares = false;
        self
    }

    /// With another cap.
    #[must_use]
    pub const fn with_cap(mut self, cap: Cap) -> Self {
        self.cap = cap;
        self
    }

    /// With another length.
    #[must_use]
    pub const fn with_end_us(mut self, end_us: u64) -> Self {
        self.end_us = end_us;
        self
    }
}

/// Runs an experiment.
#[must_use]
pub fn run(experiment: &Experiment) -> Results {
    let mut world = build(experiment);
    world.prepare(experiment.scenario);
    start(&mut world, experiment);
    let stop_us = experiment.end_us + TAIL_US;
    while let Some((now_us, event)) = world.events.pop() {
        if now_us > stop_us {
            break;
        }
        handle(&mut world, experiment, now_us, event);
    }
    results(&world)
}

fn build(experiment: &Experiment) -> World {
    let site = experiment.deployment.site();
    let workers = workers(&site);
    let capacity_slots: Vec<u32> = (0..site.regions.len())
        .map(|region| {
            let here = workers.iter().filter(|worker| worker.region == region);
            here.map(|worker| worker.slots).sum()
        })
        .collect();
    let declared = names::declared(&site, &capacity_slots);
    let front = match experiment.chooser {
        Chooser::AllKnowing => {
            Front::AllKnowing(AllKnowing::new(site.services.len(), workers.len()))
        }
        Chooser::Routers(policy) => {
            let rules = rules(experiment, policy);
            Front::Routers(Entries::new(&site, workers.len(), &declared, &rules))
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
        held: vec![Vec::new(); workers.len()],
        entry_up: vec![true; site.entry_regions.len()],
        entry_listed: vec![true; site.entry_regions.len()],
        regions: capacity_slots
            .iter()
            .map(|&slots| RegionShares::new(slots, site.entry_regions.len()))
            .collect(),
        front,
        measure: Measure::new(),
        caps: CapCheck::new(
            experiment.cap,
            site.entry_regions.len(),
            site.services.len(),
        ),
        pending: arrivals.iter_mut().map(Arrivals::next_arrival).collect(),
        arrivals,
        warm_us: experiment.warm_us,
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
            let place = index + service;
            workers.push(Worker::new(service, place % 3, place / 3 % 2, shape.slots));
        }
    }
    workers
}

fn rules(experiment: &Experiment, policy: Policy) -> Rules {
    let fallback = match experiment.shares {
        true => Fallback::Zero,
        false => Fallback::Unlimited,
    };
    let limits = Limits {
        cap: experiment.cap,
        ..Limits::default()
    };
    Rules {
        policy,
        limits,
        fallback,
    }
}

fn start(world: &mut World, experiment: &Experiment) {
    if experiment.shares {
        world.events.push(0, Event::Shares);
    }
    for worker in 0..world.workers.len() {
        world
            .events
            .push(worker as u64 * 1_000, Event::Announce { worker });
    }
    for service in 0..world.pending.len() {
        let at_us = world.pending[service].at_us;
        world.events.push(at_us, Event::NextArrival { service });
    }
    world.events.push(TICK_US, Event::Tick);
    let incident_us = (experiment.warm_us + experiment.end_us) / 2;
    world.events.push(incident_us, Event::Incident);
}

fn handle(world: &mut World, experiment: &Experiment, now_us: u64, event: Event) {
    match event {
        Event::NextArrival { service } => world.next_arrival(service),
        Event::AtEntry { request } => world.at_entry(now_us, request),
        Event::AtWorker {
            request,
            attempt,
            worker,
        } => world.at_worker(now_us, request, attempt, worker),
        Event::RunDone {
            request,
            attempt,
            worker,
            life,
        } => world.run_done(now_us, request, attempt, worker, life),
        Event::AttemptEnded {
            request,
            attempt,
            ending,
        } => world.attempt_ended(now_us, request, attempt, ending),
        Event::Announce { worker } => {
            announce(world, now_us, worker);
            world
                .events
                .push(now_us + ANNOUNCE_US, Event::Announce { worker });
        }
        Event::Tick => {
            for entry in world.entries_up() {
                if let Front::Routers(entries) = &mut world.front {
                    let outputs = entries.tick(entry, now_us);
                    world.apply(now_us, &outputs);
                }
            }
            world.sample(now_us);
            for service in 0..world.site.services.len() {
                world.grant_all(now_us, service);
            }
            world.events.push(now_us + TICK_US, Event::Tick);
        }
        Event::Shares => {
            give_shares(world, now_us);
            world.events.push(now_us + SHARES_US, Event::Shares);
        }
        Event::Incident => world.incident(now_us, experiment.scenario, experiment.cap),
        Event::Recovery => {
            world.recovery();
            for worker in (0..world.workers.len()).step_by(3) {
                announce(world, now_us, worker);
            }
        }
        Event::AnnouncementsExpire => world.announcements_expire(now_us),
    }
}

fn announce(world: &mut World, now_us: u64, worker: usize) {
    if !world.workers[worker].up || !world.workers[worker].reachable {
        return;
    }
    for entry in world.entries_up() {
        if let Front::Routers(entries) = &mut world.front {
            let said = (worker, &world.workers[worker]);
            let outputs = entries.announce(entry, now_us, &world.site, said);
            world.apply(now_us, &outputs);
        }
    }
}

fn give_shares(world: &mut World, now_us: u64) {
    let entry_regions = world.site.entry_regions;
    for region in 0..world.regions.len() {
        let Front::Routers(entries) = &mut world.front else {
            return;
        };
        let wanted: Vec<u32> = (0..entry_regions.len())
            .map(|entry| entries.wanted_slots(entry, region))
            .collect();
        let near = entry_regions.map(|at| at == region);
        let grants = world.regions[region].grant(now_us, &world.entry_up, &wanted, &near);
        for (entry, slots) in grants {
            if let Front::Routers(entries) = &mut world.front {
                let outputs = entries.share(entry, now_us, region, slots);
                world.apply(now_us, &outputs);
            }
        }
        let users = entry_regions.iter().filter(|&&at| at == region).count() as u64;
        let kbps = world.site.link_kbps / users;
        for entry in world.entries_up() {
            if entry_regions[entry] != region {
                continue;
            }
            for from in (0..world.regions.len()).filter(|&from| from != region) {
                if let Front::Routers(entries) = &mut world.front {
                    let outputs = entries.link_share(entry, now_us, (from, region), kbps);
                    world.apply(now_us, &outputs);
                }
            }
        }
    }
}

fn results(world: &World) -> Results {
    let measure = &world.measure;
    let measured_s = (world.end_us - world.warm_us) as f64 / 1e6;
    let capacity: f64 = world.site.services.iter().map(|s| s.capacity_per_s()).sum();
    let links = world.links.iter().flatten();
    Results {
        latency: measure.latency(),
        outcomes: measure.outcomes,
        finished_percent: 100.0 * measure.finished_in_time as f64 / measured_s / capacity,
        region_headroom_percent: measure.region_headroom_percent,
        share_headroom_percent: measure.share_headroom_percent,
        link_headroom_percent: links
            .map(Link::least_headroom_percent)
            .fold(100.0, f64::min),
        drain_ms: measure.drain_us.map(|us| us / 1_000),
        attempts_per_request: measure.attempts as f64 / measure.forwarded.max(1) as f64,
        second_runs: measure.second_runs,
        running_percent: measure.running.get(),
        reserved_percent: measure.reserved.get(),
        refusals: measure.refusals.clone(),
        caps_passed: world.caps.passed,
    }
}
