//! Simulates entries in three regions in virtual time. Measures the latency that claims add to a
//! request, by placement of the holders, and how long a restarted entry takes to recover its
//! records.

use claim::{
    ClaimKey, Claimant, ClaimantInput, ClaimantOutput, Decision, EntryLocation, EntrySet, HOLDERS,
    Holder, HolderInput, Layout, Limits, Message, Peer, Receiver, Timing,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};
use types::{DomainName, EntryName, RegionName, ServiceName, TimeUs};

const ENTRIES: usize = 7;
const REGIONS: usize = 3;
const KEYS: usize = 300;
/// One-way delay between two failure domains of a region.
const DOMAIN_DELAY_US: u64 = 1_500;
/// One-way delay within a failure domain.
const NEIGHBOUR_DELAY_US: u64 = 200;
/// One-way delays between two regions; each is measured in turn.
const REGION_DELAYS_US: [u64; 2] = [12_000, 35_000];
const LOST_REGION: usize = 2;

/// How the holders of a key are chosen.
#[derive(Clone, Copy, Debug)]
enum Placement {
    /// Five entries, of distinct regions first.
    FiveInRegions,
    /// Three entries of distinct regions.
    DistinctRegions,
    /// Three entries of any regions.
    AnyEntries,
    /// Three entries of one region, by the number of the key.
    RegionOfKey,
}

const fn region(entry: usize) -> usize {
    entry % REGIONS
}

const fn domain(entry: usize) -> usize {
    entry % (2 * REGIONS)
}

const fn delay_us(from: usize, to: usize, region_delay_us: u64) -> u64 {
    if from == to {
        0
    } else if domain(from) == domain(to) {
        NEIGHBOUR_DELAY_US
    } else if region(from) == region(to) {
        DOMAIN_DELAY_US
    } else {
        region_delay_us
    }
}

fn entry_name(entry: usize) -> EntryName {
    EntryName::new(&format!("entry-{entry}")).expect("a name")
}

fn index_of(name: &EntryName) -> usize {
    let (_, index) = name.as_str().split_once('-').expect("a numbered entry");
    index.parse().expect("a number")
}

fn key(number: usize) -> ClaimKey {
    let service = ServiceName::new("payout").expect("a name");
    ClaimKey::new(&service, &format!("key-{number}")).expect("a key")
}

impl Placement {
    fn layout(self, number: usize) -> Layout {
        let location = |entry: usize| {
            let label = match self {
                Self::FiveInRegions | Self::DistinctRegions | Self::RegionOfKey => region(entry),
                Self::AnyEntries => entry,
            };
            EntryLocation {
                entry: entry_name(entry),
                region: RegionName::new(&format!("region-{label}")).expect("a name"),
                failure_domain: DomainName::new(&format!("domain-{}", domain(entry)))
                    .expect("a name"),
            }
        };
        let is_candidate = |entry: &usize| match self {
            Self::FiveInRegions | Self::DistinctRegions | Self::AnyEntries => true,
            Self::RegionOfKey => region(*entry) == number % REGIONS,
        };
        let holders = match self {
            Self::FiveInRegions => 5,
            Self::DistinctRegions | Self::AnyEntries | Self::RegionOfKey => HOLDERS,
        };
        let set = EntrySet::new((0..ENTRIES).filter(is_candidate).map(location));
        Layout {
            epoch: 1,
            sets: vec![set.with_holders(holders)],
        }
    }
}

/// The entries, and a network that delays their messages.
struct Cluster {
    region_delay_us: u64,
    lost_region: Option<usize>,
    now_us: u64,
    claimants: Vec<Claimant>,
    holders: Vec<Holder>,
    /// Delivery time in microseconds and number of each message in `messages`.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Sender, receiver and message, by number.
    messages: BTreeMap<u64, (usize, usize, Message)>,
    sent: u64,
    /// The latest decision and its time in microseconds.
    decided: Option<(u64, Decision)>,
}

fn peer(entry: usize, incarnation: u64) -> Peer {
    let entry = entry_name(entry);
    Peer { entry, incarnation }
}

impl Cluster {
    fn new(region_delay_us: u64, lost: Option<usize>, layout: &Layout) -> Self {
        let (timing, limits) = (Timing::default(), Limits::default());
        let start = TimeUs(0);
        let mut cluster = Self {
            region_delay_us,
            lost_region: lost,
            now_us: 0,
            claimants: (0..ENTRIES)
                .map(|entry| Claimant::new(&peer(entry, 1), timing, limits))
                .collect(),
            holders: (0..ENTRIES)
                .map(|entry| Holder::new(&peer(entry, 1), start, timing, limits))
                .collect(),
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            decided: None,
        };
        for entry in 0..ENTRIES {
            cluster.step_holder(entry, HolderInput::Layout(Layout::default()));
            cluster.configure(entry, layout);
        }
        cluster
    }

    fn configure(&mut self, entry: usize, layout: &Layout) {
        let until_us = TimeUs(u64::MAX);
        self.step_holder(entry, HolderInput::Lease { until_us });
        self.step_holder(entry, HolderInput::Layout(layout.clone()));
        self.step_claimant(entry, ClaimantInput::Layout(layout.clone()));
    }

    fn step_holder(&mut self, entry: usize, input: HolderInput) {
        let mut outputs = Vec::new();
        self.holders[entry].step(TimeUs(self.now_us), input, &mut outputs);
        for outgoing in outputs {
            self.send(entry, index_of(&outgoing.to), outgoing.message);
        }
    }

    fn step_claimant(&mut self, entry: usize, input: ClaimantInput) {
        let mut outputs = Vec::new();
        self.claimants[entry].step(TimeUs(self.now_us), input, &mut outputs);
        self.perform_outputs(entry, outputs);
    }

    fn perform_outputs(&mut self, entry: usize, outputs: Vec<ClaimantOutput>) {
        for output in outputs {
            match output {
                ClaimantOutput::Send { to, message } => self.send(entry, index_of(&to), message),
                ClaimantOutput::Decided { decision, .. } => {
                    self.decided = Some((self.now_us, decision));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if [from, to].map(region).map(Some).contains(&self.lost_region) {
            return;
        }
        self.sent += 1;
        let at_us = self.now_us + delay_us(from, to, self.region_delay_us);
        self.queue.push(Reverse((at_us, self.sent)));
        self.messages.insert(self.sent, (from, to, message));
    }

    /// Delivers the next message; false when none is queued.
    fn deliver(&mut self, incarnations: &[u64]) -> bool {
        let Some(Reverse((at_us, number))) = self.queue.pop() else {
            return false;
        };
        self.now_us = at_us;
        let (from, to, message) = self.messages.remove(&number).expect("a queued message");
        let from = peer(from, incarnations[from]);
        match message.receiver() {
            Receiver::Claimant => self.step_claimant(to, ClaimantInput::Message { from, message }),
            Receiver::Holder => self.step_holder(to, HolderInput::Message { from, message }),
        }
        true
    }

    /// The time from a request until its decision to run; none when it may not run.
    fn latency_us(&mut self, entry: usize, key: &ClaimKey) -> Option<u64> {
        let started_us = self.now_us;
        self.decided = None;
        let mut outputs = Vec::new();
        let deadline_us = TimeUs(u64::MAX);
        let now_us = TimeUs(started_us);
        self.claimants[entry].request(now_us, key, deadline_us, &mut outputs);
        self.perform_outputs(entry, outputs);
        while self.decided.is_none() && self.deliver(&[1; ENTRIES]) {}
        match self.decided.take()? {
            (at_us, Decision::Run { .. }) => Some(at_us - started_us),
            _ => None,
        }
    }
}

fn percentile_ms(sorted_us: &[u64], percent: usize) -> f64 {
    let index = (sorted_us.len() * percent / 100).min(sorted_us.len() - 1);
    sorted_us[index] as f64 / 1_000.0
}

fn measure(placement: Placement, region_delay_us: u64, lost: Option<usize>) {
    let mut latencies_us = Vec::new();
    let mut requests = 0;
    for entry in (0..ENTRIES).filter(|entry| Some(region(*entry)) != lost) {
        for number in 0..KEYS {
            let layout = placement.layout(number);
            let mut cluster = Cluster::new(region_delay_us, lost, &layout);
            latencies_us.extend(cluster.latency_us(entry, &key(number)));
            requests += 1;
        }
    }
    latencies_us.sort_unstable();
    let mean_ms = latencies_us.iter().sum::<u64>() as f64 / latencies_us.len() as f64 / 1_000.0;
    println!(
        "{:<16} {:>5} ms {:>5} {:>9} {mean_ms:>8.1} {:>8.1} {:>8.1} {:>11.1}",
        format!("{placement:?}"),
        region_delay_us / 1_000,
        if lost.is_some() { "yes" } else { "no" },
        requests,
        percentile_ms(&latencies_us, 50),
        percentile_ms(&latencies_us, 99),
        100.0 * (requests - latencies_us.len()) as f64 / requests as f64,
    );
}

/// For comparison, the mean message delay of a claim that is committed to the control log instead,
/// without disk syncs: to the leader, to the nearest follower and back, and the answer. The
/// replicas are at entries 0 to 2.
fn control_log_mean_ms(region_delay_us: u64) -> f64 {
    let path_us = |entry: usize, leader: usize| {
        let followers = (0..REGIONS).filter(|replica| *replica != leader);
        let ack_us = followers.map(|follower| 2 * delay_us(leader, follower, region_delay_us));
        2 * delay_us(entry, leader, region_delay_us) + ack_us.min().unwrap_or_default()
    };
    let pairs = (0..ENTRIES).flat_map(|entry| (0..REGIONS).map(move |leader| (entry, leader)));
    let paths_us: Vec<u64> = pairs
        .map(|(entry, leader)| path_us(entry, leader))
        .collect();
    paths_us.iter().sum::<u64>() as f64 / paths_us.len() as f64 / 1_000.0
}

fn measure_recovery(region_delay_us: u64, keys: usize) {
    let layout = Placement::DistinctRegions.layout(0);
    let mut cluster = Cluster::new(region_delay_us, None, &layout);
    for number in 0..keys {
        cluster.latency_us(number % ENTRIES, &key(number));
        while cluster.deliver(&[1; ENTRIES]) {}
    }
    let restarted = peer(0, 2);
    let start_us = TimeUs(cluster.now_us);
    let holder = Holder::new(&restarted, start_us, Timing::default(), Limits::default());
    cluster.holders[0] = holder;
    cluster.sent = 0;
    cluster.configure(0, &layout);
    let incarnations: Vec<u64> = (0..ENTRIES)
        .map(|entry| 1 + u64::from(entry == 0))
        .collect();
    while !cluster.holders[0].status().missing.is_empty() && cluster.deliver(&incarnations) {}
    println!(
        "recovery of {} of {keys} keys at {} ms: {:.1} ms, {} messages",
        cluster.holders[0].status().keys,
        region_delay_us / 1_000,
        (cluster.now_us - start_us.0) as f64 / 1_000.0,
        cluster.sent,
    );
}

fn main() {
    println!("holders           region  lost  requests  mean ms   p50 ms   p99 ms  no claim %");
    for region_delay_us in REGION_DELAYS_US {
        for lost in [None, Some(LOST_REGION)] {
            for placement in [
                Placement::FiveInRegions,
                Placement::DistinctRegions,
                Placement::AnyEntries,
                Placement::RegionOfKey,
            ] {
                measure(placement, region_delay_us, lost);
            }
        }
        let mean_ms = control_log_mean_ms(region_delay_us);
        println!("control log, by its message path without syncs: mean {mean_ms:.1} ms");
    }
    for region_delay_us in REGION_DELAYS_US {
        measure_recovery(region_delay_us, 5_000);
    }
}
