//! Replicas of the log whose messages and writes take no time.

use raft::{
    Entry, Input, Membership, Output, Payload, Raft, RaftConfig, ReplicaId, Restored, Role,
};
use std::collections::{BTreeMap, VecDeque};

const HEARTBEAT_US: u64 = 150_000;
const ELECTION_US: u64 = 1_000_000;
const TICK_US: u64 = 50_000;

/// Commits between two snapshots.
const SNAPSHOT_COMMITS: u64 = 1_024;

/// A group of replicas with a leader.
#[derive(Debug)]
pub struct Group {
    nodes: BTreeMap<ReplicaId, Raft>,
    leader: ReplicaId,
    now_us: u64,
    next_request: u64,
    /// Commands that were applied, over all replicas.
    pub applied: u64,
    /// Messages that were sent.
    pub messages: u64,
}

impl Group {
    /// A group of so many voters.
    #[must_use]
    pub fn new(voters: u32) -> Self {
        let id = |number| ReplicaId {
            name: format!("control-{number}"),
            incarnation: 1,
        };
        let voters: Vec<ReplicaId> = (1..=voters).map(id).collect();
        let membership = Membership {
            voters: voters.iter().cloned().collect(),
            ..Membership::default()
        };
        let node = |(seed, id): (u64, &ReplicaId)| {
            let restored = Restored {
                founders: Some(membership.clone()),
                ..Restored::default()
            };
            (id.clone(), Raft::new(config(id, seed), restored, 0))
        };
        let mut group = Self {
            nodes: (1..).zip(&voters).map(node).collect(),
            leader: voters[0].clone(),
            now_us: 0,
            next_request: 0,
            applied: 0,
            messages: 0,
        };
        while !group.elect() {
            group.pass(TICK_US);
        }
        group
    }

    fn elect(&mut self) -> bool {
        let leads = |node: &&Raft| node.status().role == Role::Leader;
        let leader = self.nodes.values().find(leads).map(|node| node.status().id);
        leader.map(|leader| self.leader = leader).is_some()
    }

    /// Time passes at every replica.
    pub fn pass(&mut self, us: u64) {
        self.now_us += us;
        let ids: Vec<ReplicaId> = self.nodes.keys().cloned().collect();
        for id in ids {
            self.run(id, Input::Tick);
        }
    }

    /// Proposes a command and carries it to every replica.
    pub fn commit(&mut self, data: Vec<u8>) {
        self.next_request += 1;
        let request = self.next_request;
        self.run(self.leader.clone(), Input::Propose { request, data });
        self.pass(HEARTBEAT_US);
        if request.is_multiple_of(SNAPSHOT_COMMITS) {
            self.snapshot();
        }
    }

    fn snapshot(&mut self) {
        let ids: Vec<(ReplicaId, u64)> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.commit_index()))
            .collect();
        for (id, index) in ids {
            let data = Vec::new();
            self.run(id, Input::SnapshotTaken { index, data });
        }
    }

    fn run(&mut self, id: ReplicaId, input: Input) {
        let mut inputs = VecDeque::from([(id, input)]);
        let mut outputs = Vec::new();
        while let Some((id, input)) = inputs.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            node.step(self.now_us, input, &mut outputs);
            for output in outputs.drain(..) {
                match output {
                    Output::Send { to, message } => {
                        self.messages += 1;
                        let from = id.clone();
                        inputs.push_back((to, Input::Receive { from, message }));
                    }
                    Output::Persist(persist) => {
                        let ticket = persist.ticket;
                        inputs.push_back((id.clone(), Input::Persisted { ticket }));
                    }
                    Output::Apply(Entry {
                        payload: Payload::Command(_),
                        ..
                    }) => self.applied += 1,
                    _ => {}
                }
            }
        }
    }
}

fn config(id: &ReplicaId, seed: u64) -> RaftConfig {
    RaftConfig {
        id: id.clone(),
        heartbeat_us: HEARTBEAT_US,
        election_us: ELECTION_US,
        append_max_bytes: 256 * 1024,
        snapshot_part_bytes: 256 * 1024,
        seed,
    }
}
