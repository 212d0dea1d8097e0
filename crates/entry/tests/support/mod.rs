//! A cluster of entry cores in memory, with simulated control replicas, callers and one upstream.

#![allow(dead_code)]

use claim::{ClaimKey, EntryLocation, EntrySet, Layout};
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

/// The index of the configuration in which all resources are declared.
pub const DECLARED_INDEX: u64 = 10;

pub fn entry_name(index: usize) -> EntryName {
    format!("entry-{index}").parse().expect("valid name")
}

pub fn service() -> ServiceName {
    "payout".parse().expect("valid name")
}

pub fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&service(), text).expect("valid key")
}

/// A control replica, by what it answers to polls.
#[derive(Clone, Debug)]
pub struct Replica {
    pub reachable: bool,
    pub last_index: u64,
    pub applied_index: u64,
    pub is_voter: bool,
    pub membership_index: u64,
    pub voters: u32,
    /// Answers with a complete list of resources, which is empty, instead of the changes.
    pub sends_empty_list: bool,
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResult {
    Answer { status: u16, body: Vec<u8> },
    Settled(Settled),
}

#[derive(Debug)]
pub struct Entry {
    pub core: EntryCore,
    pub is_up: bool,
    incarnation: u64,
}

/// A request that was sent to the upstream and runs there.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub entry: usize,
    pub request: RequestId,
}

pub struct Cluster {
    pub now_ms: u64,
    pub entries: Vec<Entry>,
    pub replicas: BTreeMap<ReplicaName, Replica>,
    pub results: BTreeMap<(usize, RequestId), CallerResult>,
    pub runs: Vec<Run>,
    /// The progress of drains and shifts in the last poll.
    pub reported: Vec<ResourceProgress>,
    next_request: u64,
    resources: Vec<Resource>,
}

impl Cluster {
    /// A cluster of entries that run the declared configuration and hold the lease.
    pub fn new(entries: usize) -> Self {
        let replica = Replica {
            reachable: true,
            last_index: 1,
            applied_index: 1,
            is_voter: true,
            membership_index: 0,
            voters: 3,
            sends_empty_list: false,
        };
        let replicas = REPLICAS.map(|name| (name.parse().expect("valid name"), replica.clone()));
        let mut cluster = Self {
            now_ms: 1_000,
            entries: Vec::new(),
            replicas: BTreeMap::from(replicas),
            results: BTreeMap::new(),
            runs: Vec::new(),
            reported: Vec::new(),
            next_request: 1,
            resources: resources(entries),
        };
        for index in 0..entries {
            let core = cluster.new_core(index, 1);
            cluster.entries.push(Entry {
                core,
                is_up: true,
                incarnation: 1,
            });
        }
        cluster.advance_ms(300);
        cluster.set_index(DECLARED_INDEX);
        cluster.advance_ms(1_000);
        cluster
    }

    pub fn now_us(&self) -> TimeUs {
        TimeUs::default().after_ms(self.now_ms)
    }

    /// Sets the end of the log and the applied index of every replica.
    pub fn set_index(&mut self, index: u64) {
        for replica in self.replicas.values_mut() {
            replica.last_index = index;
            replica.applied_index = index;
        }
    }

    pub fn replica(&mut self, name: &str) -> &mut Replica {
        self.replicas.get_mut(name).expect("a replica of this name")
    }

    /// Advances the time in ticks; at each, running entries receive an announcement and a tick.
    pub fn advance_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            for index in 0..self.entries.len() {
                self.announce(index);
                self.step(index, Input::Tick);
            }
        }
    }

    /// Declares the drain of an upstream, and sets every replica to its index.
    pub fn drain_upstream(&mut self, name: &str, index: u64) {
        let target = DrainTarget::Upstream(name.parse().expect("valid name"));
        let mut drain = declared("drain", Spec::Drain(DrainSpec { target }));
        drain.revision = index;
        self.resources.push(drain);
        self.set_index(index);
    }

    /// Declares the service as idempotent, and sets every replica to the index of that.
    pub fn declare_idempotent(&mut self, index: u64) {
        for resource in &mut self.resources {
            if let Spec::Service(spec) = &mut resource.spec {
                spec.idempotent = true;
                resource.revision = index;
            }
        }
        self.set_index(index);
    }

    /// Sends a request to an entry; its result is stored under the entry and the returned id.
    pub fn send(&mut self, entry: usize, key: Option<&ClaimKey>) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let service = service();
        let arrival = Arrival {
            request,
            service: &service,
            timeout_ms: None,
            key,
        };
        self.step(entry, Input::Arrive(arrival));
        request
    }

    /// Ends a run at the upstream.
    pub fn end(&mut self, run: Run, ending: Ending, answer: Option<&[u8]>) {
        let input = Input::Ended {
            request: run.request,
            ending,
            answer: answer.map(<[u8]>::to_vec),
        };
        self.step(run.entry, input);
        if let Ending::Finished { status } = ending {
            let body = answer.unwrap_or_default().to_vec();
            self.results.insert(
                (run.entry, run.request),
                CallerResult::Answer { status, body },
            );
        }
    }

    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
    }

    /// Starts an entry again with empty state and a higher incarnation.
    pub fn restart(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 1;
        let core = self.new_core(entry, incarnation);
        self.entries[entry] = Entry {
            core,
            is_up: true,
            incarnation,
        };
    }

    pub fn step(&mut self, index: usize, input: Input<'_>) {
        if !self.entries[index].is_up {
            return;
        }
        let mut outputs = Vec::new();
        let now_us = self.now_us();
        self.entries[index].core.step(now_us, input, &mut outputs);
        for output in outputs {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
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
                let from = entry_index(&peer);
                if !self.entries[from].is_up {
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
                self.step(entry_index(&to), Input::Claim { from, message });
            }
            Output::Replay {
                request,
                status,
                answer,
            } => {
                self.results.insert(
                    (index, request),
                    CallerResult::Answer {
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
                self.results
                    .insert((index, request), CallerResult::Settled(settled));
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
        let declared =
            replica.applied_index >= DECLARED_INDEX && known_index < replica.applied_index;
        let epoch = u64::from(replica.applied_index >= DECLARED_INDEX);
        let answer = ReplicaAnswer {
            last_index: replica.last_index,
            applied_index: replica.applied_index,
            membership_index: replica.membership_index,
            voters: replica.voters,
            is_voter: replica.is_voter,
            complete: replica.sends_empty_list,
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
        let location = |index| EntryLocation {
            entry: entry_name(index),
            region: "gauteng".parse().expect("valid name"),
            failure_domain: format!("gauteng-{index}").parse().expect("valid name"),
        };
        let count = if epoch == 0 { 0 } else { self.entries.len() };
        Layout {
            epoch,
            sets: vec![EntrySet::new((0..count).map(location))],
        }
    }

    fn announce(&mut self, index: usize) {
        if !self.entries[index].is_up {
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
            self.handle_output(index, output);
        }
    }

    fn new_core(&self, index: usize, incarnation: u64) -> EntryCore {
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

fn entry_index(name: &EntryName) -> usize {
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
        revision: DECLARED_INDEX,
    }
}
