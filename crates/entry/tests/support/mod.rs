//! A few entry cores in memory, with fakes of the control replicas, upstreams and callers.

#![allow(dead_code)]

use claim::{ClaimKey, EntrySet, Layout, Place};
use entry::{Arrival, ConfigChange, EntryConfig, EntryCore, Input, Output, ReplicaAnswer};
use route::{Ending, Fallback, RequestId, RouterConfig, Settled};
use std::collections::BTreeMap;
use types::{
    Announcement, DrainSpec, DrainTarget, EntryName, EntrySpec, Priority, RegionSpec, ReplicaName,
    Resource, ResourceProgress, ServiceName, ServiceSpec, Spec, TimeUs, UpstreamState,
};

pub const REPLICAS: [&str; 3] = ["control-1", "control-2", "control-3"];
pub const DEADLINE_MS: u64 = 2_000;
const TICK_MS: u64 = 50;

/// The index at which everything is declared.
pub const DECLARED: u64 = 10;

pub fn entry_name(index: usize) -> EntryName {
    format!("entry-{index}").parse().expect("valid name")
}

pub fn service() -> ServiceName {
    "payout".parse().expect("valid name")
}

pub fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&service(), text).expect("valid key")
}

/// What a control replica tells entries.
#[derive(Clone, Debug)]
pub struct Replica {
    pub reachable: bool,
    pub last_index: u64,
    pub applied_index: u64,
    pub votes: bool,
    pub membership_index: u64,
    pub voters: u32,
    /// Answers with a list of everything, which is empty, rather than with what changed.
    pub lists_nothing: bool,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Answer { status: u16, body: Vec<u8> },
    Settled(Settled),
}

#[derive(Debug)]
pub struct Entry {
    pub core: EntryCore,
    pub up: bool,
    incarnation: u64,
}

/// A request that reached an upstream and runs there.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub entry: usize,
    pub request: RequestId,
}

pub struct World {
    pub now_ms: u64,
    pub entries: Vec<Entry>,
    pub replicas: BTreeMap<ReplicaName, Replica>,
    pub told: BTreeMap<(usize, RequestId), Told>,
    pub runs: Vec<Run>,
    /// What the last poll reported of drains and shifts.
    pub reported: Vec<ResourceProgress>,
    next_request: u64,
    resources: Vec<Resource>,
}

impl World {
    /// So many entries that run the declared configuration, with one upstream.
    pub fn new(entries: usize) -> Self {
        let replica = Replica {
            reachable: true,
            last_index: 1,
            applied_index: 1,
            votes: true,
            membership_index: 0,
            voters: 3,
            lists_nothing: false,
        };
        let replicas = REPLICAS.map(|name| (name.parse().expect("valid name"), replica.clone()));
        let mut world = Self {
            now_ms: 1_000,
            entries: Vec::new(),
            replicas: BTreeMap::from(replicas),
            told: BTreeMap::new(),
            runs: Vec::new(),
            reported: Vec::new(),
            next_request: 1,
            resources: resources(entries),
        };
        for index in 0..entries {
            let core = world.core(index, 1);
            world.entries.push(Entry {
                core,
                up: true,
                incarnation: 1,
            });
        }
        world.pass_ms(300);
        world.set_index(DECLARED);
        world.pass_ms(1_000);
        world
    }

    pub fn now_us(&self) -> TimeUs {
        TimeUs::default().after_ms(self.now_ms)
    }

    /// Lets every replica hold and apply everything up to an index.
    pub fn set_index(&mut self, index: u64) {
        for replica in self.replicas.values_mut() {
            replica.last_index = index;
            replica.applied_index = index;
        }
    }

    pub fn replica(&mut self, name: &str) -> &mut Replica {
        self.replicas.get_mut(name).expect("a replica of this name")
    }

    /// Lets time pass for the entries that are up.
    pub fn pass_ms(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            for index in 0..self.entries.len() {
                self.announce(index);
                self.step(index, Input::Tick);
            }
        }
    }

    /// Declares the drain of an upstream at an index that every replica then has.
    pub fn drain_upstream(&mut self, name: &str, index: u64) {
        let target = DrainTarget::Upstream(name.parse().expect("valid name"));
        let mut drain = declared("drain", Spec::Drain(DrainSpec { target }));
        drain.revision = index;
        self.resources.push(drain);
        self.set_index(index);
    }

    /// Sends a request; what the caller is told follows under the name.
    pub fn send(&mut self, entry: usize, key: Option<&ClaimKey>) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let service = service();
        let arrival = Arrival {
            request,
            service: &service,
            patience_ms: None,
            key,
        };
        self.step(entry, Input::Arrive(arrival));
        request
    }

    /// Ends a run that an upstream has.
    pub fn end(&mut self, run: Run, ending: Ending, answer: Option<&[u8]>) {
        let input = Input::Ended {
            request: run.request,
            ending,
            answer: answer.map(<[u8]>::to_vec),
        };
        self.step(run.entry, input);
        if let Ending::Finished { status } = ending {
            let body = answer.unwrap_or_default().to_vec();
            self.told
                .insert((run.entry, run.request), Told::Answer { status, body });
        }
    }

    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].up = false;
    }

    /// Starts an entry again, without memory.
    pub fn restart(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 1;
        let core = self.core(entry, incarnation);
        self.entries[entry] = Entry {
            core,
            up: true,
            incarnation,
        };
    }

    pub fn step(&mut self, index: usize, input: Input<'_>) {
        if !self.entries[index].up {
            return;
        }
        let mut outputs = Vec::new();
        let now_us = self.now_us();
        self.entries[index].core.step(now_us, input, &mut outputs);
        for output in outputs {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        match output {
            Output::Poll {
                replica,
                serial,
                applied_index,
                layout_epoch,
                progress,
                ..
            } => {
                self.reported = progress;
                self.answer_poll(index, &replica, serial, applied_index, layout_epoch);
            }
            Output::Sync {
                peer,
                serial,
                since_version,
            } => {
                let from = position(&peer);
                if !self.entries[from].up {
                    return;
                }
                let answer = self.entries[from]
                    .core
                    .sync_answer(self.now_us(), since_version);
                let input = Input::SyncAnswer {
                    peer: &peer,
                    serial,
                    answer,
                    stopping: false,
                };
                self.step(index, input);
            }
            Output::Claim { to, message } => {
                let from = claim::Peer {
                    entry: entry_name(index),
                    incarnation: self.entries[index].incarnation,
                };
                self.step(position(&to), Input::Claim { from, message });
            }
            Output::Replay {
                request,
                status,
                answer,
            } => {
                self.told.insert(
                    (index, request),
                    Told::Answer {
                        status,
                        body: answer,
                    },
                );
            }
            Output::Route(route::Output::Forward { request, .. }) => {
                self.runs.push(Run {
                    entry: index,
                    request,
                });
            }
            Output::Route(route::Output::Settle { request, settled }) => {
                self.told.insert((index, request), Told::Settled(settled));
            }
            Output::Route(route::Output::Cancel { .. })
            | Output::Peers(_)
            | Output::LeaseChanged { .. }
            | Output::ConfigChanged { .. }
            | Output::Stopped => {}
        }
    }

    fn answer_poll(
        &mut self,
        index: usize,
        name: &ReplicaName,
        serial: u64,
        known_index: u64,
        layout_epoch: Option<u64>,
    ) {
        let replica = &self.replicas[name];
        if !replica.reachable {
            return;
        }
        let declared = replica.applied_index >= DECLARED && known_index < replica.applied_index;
        let epoch = u64::from(replica.applied_index >= DECLARED);
        let answer = ReplicaAnswer {
            last_index: replica.last_index,
            applied_index: replica.applied_index,
            membership_index: replica.membership_index,
            voters: replica.voters,
            votes: replica.votes,
            complete: replica.lists_nothing,
            changes: if declared { self.changes() } else { Vec::new() },
            layout: (layout_epoch != Some(epoch)).then(|| self.layout(epoch)),
            grants: Vec::new(),
        };
        self.step(
            index,
            Input::PollAnswer {
                replica: name,
                serial,
                answer,
            },
        );
    }

    fn changes(&self) -> Vec<ConfigChange> {
        let change = |resource: &Resource| ConfigChange {
            revision: resource.revision,
            key: resource.key(),
            resource: Some(resource.clone()),
        };
        self.resources.iter().map(change).collect()
    }

    fn layout(&self, epoch: u64) -> Layout {
        let place = |index| Place {
            entry: entry_name(index),
            region: "gauteng".parse().expect("valid name"),
            failure_domain: format!("gauteng-{index}").parse().expect("valid name"),
        };
        let count = if epoch == 0 { 0 } else { self.entries.len() };
        Layout {
            epoch,
            sets: vec![EntrySet::new((0..count).map(place))],
        }
    }

    fn announce(&mut self, index: usize) {
        if !self.entries[index].up {
            return;
        }
        let announcement = Announcement {
            service: service(),
            address: "127.0.2.1:9000".parse().expect("valid address"),
            region: "gauteng".parse().expect("valid name"),
            failure_domain: "gauteng-0".parse().expect("valid name"),
            slots: 8,
            connections: 100,
            load: 0,
            state: UpstreamState::Ready,
            epoch_ms: 1,
            sequence: self.now_ms,
        };
        let name = "payout-1".parse().expect("valid name");
        let now_us = self.now_us();
        let mut outputs = Vec::new();
        self.entries[index]
            .core
            .announce(now_us, &name, &announcement, &mut outputs);
        for output in outputs {
            self.carry_out(index, output);
        }
    }

    fn core(&self, index: usize, incarnation: u64) -> EntryCore {
        let (region, domain) = ("gauteng", format!("gauteng-{index}"));
        let router = RouterConfig::new(
            entry_name(index),
            region.parse().expect("valid name"),
            domain.parse().expect("valid name"),
        );
        let config = EntryConfig {
            name: entry_name(index),
            region: region.parse().expect("valid name"),
            failure_domain: domain.parse().expect("valid name"),
            replicas: REPLICAS
                .map(|name| name.parse().expect("valid name"))
                .to_vec(),
            lookup_lifetime_ms: 5_000,
            client_blocks: None,
            incarnation,
        };
        EntryCore::new(
            config,
            router.with_fallback(Fallback::Unlimited),
            self.now_us(),
        )
    }
}

fn position(name: &EntryName) -> usize {
    name.as_str()
        .trim_start_matches("entry-")
        .parse()
        .expect("a numbered entry")
}

fn resources(entries: usize) -> Vec<Resource> {
    let domains = (0..entries).map(|i| format!("gauteng-{i}").parse().expect("valid name"));
    let region = RegionSpec {
        capacity_slots: 8,
        failure_domains: domains.collect(),
    };
    let spec = ServiceSpec {
        regions: vec!["gauteng".parse().expect("valid name")],
        idempotent: false,
        priority: Priority::Critical,
        deadline_ms: DEADLINE_MS,
        answer_bytes: 1_024,
    };
    let mut resources = vec![
        declared("gauteng", Spec::Region(region)),
        declared("payout", Spec::Service(spec)),
    ];
    for index in 0..entries {
        let spec = EntrySpec {
            region: "gauteng".parse().expect("valid name"),
            failure_domain: format!("gauteng-{index}").parse().expect("valid name"),
            address: format!("127.0.1.{}:8080", index + 1)
                .parse()
                .expect("valid address"),
            peer_address: format!("127.0.1.{}:7100", index + 1)
                .parse()
                .expect("valid address"),
        };
        resources.push(declared(entry_name(index).as_str(), Spec::Entry(spec)));
    }
    resources
}

fn declared(name: &str, spec: Spec) -> Resource {
    let name = name.parse().expect("valid name");
    Resource {
        name,
        spec,
        version: 1,
        revision: DECLARED,
    }
}
