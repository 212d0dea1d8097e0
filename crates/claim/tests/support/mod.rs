//! Entries with claimants and holders, and a network whose messages the test delivers, drops or
//! delays.
#![allow(dead_code)]

use claim::{
    ClaimKey, Claimant, ClaimantInput, ClaimantOutput, Decision, Ending, EntryLocation, EntrySet,
    EntrySetHistory, HOLDERS, HeldClaim, Holder, HolderInput, Limits, Message, Outgoing, Peer,
    Receiver, Timing, Unavailable,
};
use std::collections::{BTreeMap, BTreeSet};
use types::{DomainName, EntryName, RegionName, ServiceName, TimeUs};

pub const TIMING: Timing = Timing {
    horizon_us: 100_000_000,
    decide_us: 5_000_000,
    lease_us: 3_000_000,
};
/// The clocks of entries N and N + 1 differ by this much.
const CLOCK_OFFSET_US: u64 = 7_000_000_000;

pub fn entry(index: usize) -> EntryName {
    EntryName::new(&format!("entry-{index}")).expect("a name")
}

pub fn index_of(entry: &EntryName) -> usize {
    let (_, index) = entry.as_str().split_once('-').expect("a numbered entry");
    index.parse().expect("a number")
}

pub fn key(index: usize) -> ClaimKey {
    let service = ServiceName::new("payout").expect("a name");
    ClaimKey::new(&service, &format!("key-{index}")).expect("a key")
}

/// Entries in three regions of two failure domains each.
pub fn set(entries: impl IntoIterator<Item = usize>) -> EntrySet {
    let location = |index: usize| EntryLocation {
        entry: entry(index),
        region: RegionName::new(&format!("region-{}", index % 3)).expect("a name"),
        failure_domain: DomainName::new(&format!("domain-{}", index % 6)).expect("a name"),
    };
    EntrySet::new(entries.into_iter().map(location))
}

/// A message that was sent and not yet delivered.
pub struct Envelope {
    pub from: Peer,
    pub to: EntryName,
    pub message: Message,
}

/// One incarnation of an entry.
pub struct Node {
    pub peer: Peer,
    pub claimant: Claimant,
    pub holder: Holder,
}

/// An attempt that was allowed to run a request, at `at_us` by the clock of the simulation.
#[derive(Debug)]
pub struct Run {
    pub at_us: u64,
    pub peer: Peer,
    pub serial: u64,
    pub proved_not_run: bool,
}

/// The entries, the network between them and the decisions so far.
pub struct World {
    pub now_us: u64,
    pub limits: Limits,
    /// Number of holders of each key.
    pub holders: usize,
    pub nodes: Vec<Node>,
    pub network: Vec<Envelope>,
    pub runs: BTreeMap<ClaimKey, Vec<Run>>,
    pub decisions: BTreeMap<(Peer, u64), Decision>,
    keys: BTreeMap<(Peer, u64), ClaimKey>,
    declared: EntrySet,
    entry_set_history: EntrySetHistory,
}

impl World {
    /// Starts entries before any entry is declared.
    pub fn new(entries: usize, limits: Limits) -> Self {
        let mut world = Self {
            now_us: 1_000_000,
            limits,
            holders: HOLDERS,
            nodes: Vec::new(),
            network: Vec::new(),
            runs: BTreeMap::new(),
            decisions: BTreeMap::new(),
            keys: BTreeMap::new(),
            declared: EntrySet::default(),
            entry_set_history: EntrySetHistory::default(),
        };
        for index in 0..entries {
            let node = world.start(index, 1);
            world.nodes.push(node);
            world.update_configuration(index);
        }
        world
    }

    /// Starts entries that are all declared and know that configuration.
    pub fn declared(entries: usize) -> Self {
        let mut world = Self::new(entries, Limits::default());
        world.declare(set(0..entries));
        (0..entries).for_each(|index| world.update_configuration(index));
        world
    }

    fn start(&self, index: usize, incarnation: u64) -> Node {
        let peer = Peer {
            entry: entry(index),
            incarnation,
        };
        Node {
            claimant: Claimant::new(&peer, TIMING, self.limits),
            holder: Holder::new(&peer, self.clock(index), TIMING, self.limits),
            peer,
        }
    }

    /// The current time by the entry's own clock.
    pub fn clock(&self, index: usize) -> TimeUs {
        TimeUs(self.now_us + index as u64 * CLOCK_OFFSET_US)
    }

    /// Replaces the set of declared entries.
    pub fn declare(&mut self, set: EntrySet) {
        self.declared = set;
        self.commit();
    }

    fn commit(&mut self) {
        let clock_ms = self.now_us / 1_000;
        self.entry_set_history
            .apply(clock_ms, &self.declared, TIMING.window_us());
    }

    /// Gives the entry the latest configuration and renews its lease.
    pub fn update_configuration(&mut self, index: usize) {
        let layout = self.entry_set_history.layout();
        let until_us = self.clock(index).after_us(TIMING.lease_us);
        self.holder_step(index, HolderInput::Layout(layout.clone()));
        self.holder_step(index, HolderInput::Lease { until_us });
        self.claimant_step(index, ClaimantInput::Layout(layout));
    }

    pub fn update_configurations(&mut self) {
        (0..self.nodes.len()).for_each(|index| self.update_configuration(index));
    }

    /// Restarts the entry as a new incarnation, without records and without a configuration.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].peer.incarnation + 1;
        self.nodes[index] = self.start(index, incarnation);
    }

    pub fn advance(&mut self, us: u64) {
        self.now_us += us;
        self.commit();
        for index in 0..self.nodes.len() {
            self.holder_step(index, HolderInput::Tick);
            self.claimant_step(index, ClaimantInput::Tick);
        }
    }

    pub fn request(&mut self, index: usize, key: &ClaimKey) -> (Peer, u64) {
        let now_us = self.clock(index);
        let mut outputs = Vec::new();
        let node = &mut self.nodes[index];
        let deadline_us = now_us.after_us(TIMING.decide_us * 2);
        let serial = node
            .claimant
            .request(now_us, key, deadline_us, &mut outputs);
        let attempt = (node.peer.clone(), serial);
        self.keys.insert(attempt.clone(), key.clone());
        self.perform_outputs(index, outputs);
        attempt
    }

    /// Reports to the claimant how an attempt ended; ignored when its entry restarted meanwhile.
    pub fn end(&mut self, attempt: &(Peer, u64), ending: Ending) {
        let index = index_of(&attempt.0.entry);
        if self.nodes[index].peer != attempt.0 {
            return;
        }
        let not_run = matches!(ending, Ending::DidNotRun);
        for run in self.runs.values_mut().flatten() {
            if (&run.peer, run.serial) == (&attempt.0, attempt.1) {
                run.proved_not_run |= not_run;
            }
        }
        let serial = attempt.1;
        self.claimant_step(index, ClaimantInput::Ended { serial, ending });
    }

    fn claimant_step(&mut self, index: usize, input: ClaimantInput) {
        let now_us = self.clock(index);
        let mut outputs = Vec::new();
        self.nodes[index].claimant.step(now_us, input, &mut outputs);
        self.perform_outputs(index, outputs);
    }

    fn holder_step(&mut self, index: usize, input: HolderInput) {
        let now_us = self.clock(index);
        let mut outputs = Vec::new();
        self.nodes[index].holder.step(now_us, input, &mut outputs);
        for Outgoing { to, message } in outputs {
            self.send(index, to, message);
        }
    }

    fn send(&mut self, index: usize, to: EntryName, message: Message) {
        let from = self.nodes[index].peer.clone();
        self.network.push(Envelope { from, to, message });
    }

    fn perform_outputs(&mut self, index: usize, outputs: Vec<ClaimantOutput>) {
        for output in outputs {
            match output {
                ClaimantOutput::Send { to, message } => self.send(index, to, message),
                ClaimantOutput::Decided { serial, decision } => {
                    self.record_decision(index, serial, decision);
                }
            }
        }
    }

    fn record_decision(&mut self, index: usize, serial: u64, decision: Decision) {
        let peer = self.nodes[index].peer.clone();
        let attempt = (peer.clone(), serial);
        if let (Decision::Run { .. }, Some(key)) = (&decision, self.keys.get(&attempt)) {
            let run = Run {
                at_us: self.now_us,
                peer,
                serial,
                proved_not_run: false,
            };
            self.runs.entry(key.clone()).or_default().push(run);
        }
        let earlier = self.decisions.insert(attempt, decision);
        assert!(earlier.is_none(), "an attempt is decided twice");
    }

    pub fn decision(&self, attempt: &(Peer, u64)) -> Option<&Decision> {
        self.decisions.get(attempt)
    }

    /// Whether the attempt was allowed to run.
    pub fn ran(&self, attempt: &(Peer, u64)) -> bool {
        matches!(self.decision(attempt), Some(Decision::Run { .. }))
    }

    /// Delivers a message to the current incarnation of its receiver.
    pub fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let index = index_of(&to);
        match message.receiver() {
            Receiver::Claimant => {
                self.claimant_step(index, ClaimantInput::Message { from, message });
            }
            Receiver::Holder => self.holder_step(index, HolderInput::Message { from, message }),
        }
    }

    /// Delivers all messages, also those sent meanwhile, and drops those from or to an entry in
    /// `isolated` unless it sends to itself.
    pub fn deliver_all(&mut self, isolated: &[usize]) {
        let isolated: BTreeSet<EntryName> = isolated.iter().map(|index| entry(*index)).collect();
        for _ in 0..10_000 {
            if self.network.is_empty() {
                return;
            }
            let envelope = self.network.remove(0);
            let is_isolated =
                isolated.contains(&envelope.to) || isolated.contains(&envelope.from.entry);
            if !is_isolated || envelope.to == envelope.from.entry {
                self.deliver(envelope);
            }
        }
        panic!("messages are still sent after 10000 deliveries");
    }

    /// Removes the undelivered messages from one entry to another from the network and returns
    /// them.
    pub fn intercept(&mut self, from: usize, to: usize) -> Vec<Envelope> {
        let (from, to) = (entry(from), entry(to));
        let all = std::mem::take(&mut self.network);
        let (taken, kept) = all
            .into_iter()
            .partition(|envelope| envelope.from.entry == from && envelope.to == to);
        self.network = kept;
        taken
    }

    /// Describes two runs of a key within the horizon, unless the first was proved not to have run.
    pub fn violation(&self) -> Option<String> {
        self.runs.iter().find_map(|(key, runs)| {
            let later = runs.last()?;
            let earlier = &runs[..runs.len() - 1];
            let is_within_horizon =
                |run: &&Run| !run.proved_not_run && later.at_us - run.at_us < TIMING.horizon_us;
            let first = earlier.iter().find(is_within_horizon)?;
            Some(format!("{key:?} ran twice: {first:?}, {later:?}"))
        })
    }

    /// Panics when a key ran twice within the horizon.
    pub fn assert_at_most_once(&self) {
        assert_eq!(self.violation(), None);
    }
}

pub const ENTRIES: usize = 5;

/// The key's holders among all entries, and an entry that is not one of them.
pub fn holders_and_outsider(key: &ClaimKey) -> ([usize; 3], usize) {
    let set = set(0..ENTRIES);
    let holders: Vec<usize> = set.holders(key).into_iter().map(index_of).collect();
    let outsider = (0..ENTRIES).find(|index| !holders.contains(index));
    let holders = holders.try_into().expect("three holders");
    (
        holders,
        outsider.expect("an entry that is not a holder of the key"),
    )
}

pub fn finished() -> Ending {
    Ending::Finished {
        status: 201,
        answer: Some(b"paid".to_vec()),
    }
}

pub fn claimed_by(decision: Option<&Decision>) -> &HeldClaim {
    match decision {
        Some(Decision::AlreadyClaimed { claim }) => claim,
        other => panic!("expected AlreadyClaimed, got {other:?}"),
    }
}

/// Requests a key at an entry and delivers all messages.
pub fn request_and_deliver(world: &mut World, index: usize, key: &ClaimKey) -> (Peer, u64) {
    let attempt = world.request(index, key);
    world.deliver_all(&[]);
    attempt
}

pub fn no_majority(world: &World, attempt: &(Peer, u64)) -> bool {
    let reason = Unavailable::NoMajority;
    world.decision(attempt) == Some(&Decision::Unavailable { reason })
}
