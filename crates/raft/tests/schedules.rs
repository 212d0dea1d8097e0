//! Random schedules of message loss, delay, reordering and duplication, of crashes and lost disks.
//! The group checks the invariants of the log at every output, and must recover at the end.

mod group;

use group::Group;
use proptest::{collection::vec, prelude::*, sample::Index};
use raft::Input;

const NODES_MAX: usize = 5;

/// A step of a schedule. A `usize` is the number of a node.
#[derive(Clone, Debug)]
enum Event {
    Deliver(Index),
    /// Delivers a message and leaves a copy in flight.
    DeliverCopy(Index),
    DropMessage(Index),
    Sync(usize),
    /// Advances the clock by so many microseconds without delivering or syncing anything.
    Wait(u64),
    /// Runs the group for so many microseconds.
    Run(u64),
    Propose(usize),
    Read(usize),
    Snapshot(usize),
    /// Crashes a node after so many of its unsynced writes have reached the disk.
    Crash(usize, usize),
    LoseDisk(usize),
    Restart(usize),
    /// Pauses a running node, or resumes a paused one.
    Pause(usize),
    AdmitUnknown,
    /// Blocks the link from the first node to the second.
    BlockLink(usize, usize),
    HealPartitions,
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES_MAX;
    prop_oneof![
        30 => any::<Index>().prop_map(Event::Deliver),
        3 => any::<Index>().prop_map(Event::DeliverCopy),
        4 => any::<Index>().prop_map(Event::DropMessage),
        12 => node.clone().prop_map(Event::Sync),
        8 => (1_000_u64..700_000).prop_map(Event::Wait),
        12 => (1_000_u64..900_000).prop_map(Event::Run),
        10 => node.clone().prop_map(Event::Propose),
        10 => node.clone().prop_map(Event::Read),
        2 => node.clone().prop_map(Event::Snapshot),
        3 => (node.clone(), 0_usize..3).prop_map(|(n, synced)| Event::Crash(n, synced)),
        1 => node.clone().prop_map(Event::LoseDisk),
        4 => node.clone().prop_map(Event::Restart),
        1 => node.clone().prop_map(Event::Pause),
        4 => Just(Event::AdmitUnknown),
        1 => (node.clone(), node).prop_map(|(a, b)| Event::BlockLink(a, b)),
        2 => Just(Event::HealPartitions),
    ]
}

/// Whether the group can do without what is on the disk of `node`: every node runs, and each of
/// them counts a majority of its voters among the other nodes, or knows no voters.
fn may_lose_disk(group: &Group, node: usize) -> bool {
    let intact = |id: &raft::ReplicaId| {
        let others = group.nodes.iter().enumerate();
        others
            .filter(|(other, _)| *other != node)
            .any(|(_, n)| n.id == *id)
    };
    let running = (0..group.nodes.len()).filter(|n| group.nodes[*n].raft.is_some());
    let mut memberships = running.map(|n| group.status(n).membership);
    group.nodes.iter().all(|n| n.raft.is_some())
        && memberships.all(|membership| {
            let voters = &membership.voters;
            voters.is_empty() || voters.iter().filter(|id| intact(id)).count() > voters.len() / 2
        })
}

/// Applies an event to the group. An event for a node that a small group doesn't have is ignored.
fn apply_event(group: &mut Group, event: &Event, request: u64) {
    let nodes = group.nodes.len();
    match event {
        Event::Deliver(position) => group.deliver(position.index(usize::MAX), false),
        Event::DeliverCopy(position) => group.deliver(position.index(usize::MAX), true),
        Event::DropMessage(position) => group.drop_message(position.index(usize::MAX)),
        Event::Sync(node) if *node < nodes => group.sync(*node),
        Event::Wait(span_us) => {
            group.now_us += span_us;
            for node in 0..nodes {
                if !group.nodes[node].paused {
                    group.input(node, Input::Tick);
                }
            }
        }
        Event::Run(span_us) => group.run_for(*span_us),
        Event::Propose(node) if *node < nodes => {
            let data = request.to_le_bytes().to_vec();
            let leader = group.leader().unwrap_or(*node);
            group.input(leader, Input::Propose { request, data });
        }
        Event::Read(node) if *node < nodes => {
            let leader = group.leader().unwrap_or(*node);
            let asked = if request.is_multiple_of(2) {
                leader
            } else {
                *node
            };
            group.read(asked, request);
        }
        Event::Snapshot(node) if *node < nodes => group.snapshot(*node),
        Event::Crash(node, synced_writes) if *node < nodes => group.crash(*node, *synced_writes),
        Event::LoseDisk(node) if *node < nodes && may_lose_disk(group, *node) => {
            group.lose_disk(*node);
        }
        Event::Restart(node) if *node < nodes => group.restart(*node),
        Event::Pause(node) if *node < nodes => group.nodes[*node].paused ^= true,
        Event::AdmitUnknown => group.admit_unknown_replicas(),
        Event::BlockLink(from, to) => {
            group.blocked_links.insert((*from, *to));
        }
        Event::HealPartitions => group.blocked_links.clear(),
        Event::Sync(_)
        | Event::Propose(_)
        | Event::Read(_)
        | Event::Snapshot(_)
        | Event::Crash(..)
        | Event::LoseDisk(_)
        | Event::Restart(_)
        | Event::Pause(_) => {}
    }
}

/// Ends all faults and restarts every node; the group must then settle with every replica as a
/// voter.
fn heal_and_settle(group: &mut Group) {
    group.blocked_links.clear();
    group.jitter_us = 0;
    group.loss_percent = 0;
    for node in 0..group.nodes.len() {
        group.nodes[node].paused = false;
        group.restart(node);
    }
    for _ in 0..600 {
        if group.has_settled() {
            return;
        }
        group.admit_unknown_replicas();
        group.run_for(100_000);
    }
    let views: Vec<_> = (0..group.nodes.len())
        .map(|node| group.status(node))
        .collect();
    panic!("the group did not settle within 60 s of virtual time: {views:#?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_under_faults(
        nodes in 3..=NODES_MAX,
        seed in any::<u32>(),
        jitter_us in 0_u64..300_000,
        loss_percent in 0_u64..20,
        events in vec(event(), 1..400),
    ) {
        let mut group = Group::new(nodes, 12_000, u64::from(seed));
        group.jitter_us = jitter_us;
        group.loss_percent = loss_percent;
        for (request, event) in events.iter().enumerate() {
            apply_event(&mut group, event, request as u64);
        }
        heal_and_settle(&mut group);
    }
}
