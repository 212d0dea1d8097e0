//! Decides whether a new connection has room at a listener, and which one is closed to make room.

use std::{collections::BTreeMap, net::IpAddr};
use tokio::time::Instant;

/// What the table knows of a connection.
pub trait Waiting {
    /// Since when it has waited for its client; `None` while it serves a request.
    fn waits_since(&self) -> Option<Instant>;
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// This connection is closed first: the listener is full.
    CloseForAll(u64),
    /// This connection is closed first: its address has its share.
    CloseForAddress(u64),
    /// The new connection is closed: its address has its share, and serves a request on each.
    Refuse,
    /// The new connection waits: every other one serves a request.
    Wait,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Connections<T> {
    open: BTreeMap<u64, (IpAddr, T)>,
    addresses: BTreeMap<IpAddr, usize>,
}

impl<T: Waiting> Connections<T> {
    /// No connections.
    pub const fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a connection under a number that no other has had.
    pub fn insert(&mut self, id: u64, address: IpAddr, connection: T) {
        *self.addresses.entry(address).or_default() += 1;
        self.open.insert(id, (address, connection));
    }

    /// A connection, if it is still there.
    pub fn get(&self, id: u64) -> Option<&T> {
        self.open.get(&id).map(|(_, connection)| connection)
    }

    /// Removes a connection, if it is still there.
    pub fn remove(&mut self, id: u64) -> Option<T> {
        let (address, connection) = self.open.remove(&id)?;
        if let Some(count) = self.addresses.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&address);
            }
        }
        Some(connection)
    }

    /// The room for a new connection from `address`, with at most `connections_max` in all and
    /// `address_max` from one address.
    pub fn room(&self, address: IpAddr, connections_max: usize, address_max: usize) -> Room {
        let held = self.addresses.get(&address).copied().unwrap_or_default();
        if held >= address_max {
            let longest = self.longest_waiting(|it| it == address);
            return longest.map_or(Room::Refuse, Room::CloseForAddress);
        }
        if self.open.len() >= connections_max {
            return self
                .longest_waiting(|_| true)
                .map_or(Room::Wait, Room::CloseForAll);
        }
        Room::Free
    }

    fn longest_waiting(&self, is_candidate: impl Fn(IpAddr) -> bool) -> Option<u64> {
        let candidates = self.open.iter();
        let candidates = candidates.filter(|(_, (address, _))| is_candidate(*address));
        let waiting = candidates.filter_map(|(id, (_, it))| Some((it.waits_since()?, *id)));
        waiting.min().map(|(_, id)| id)
    }
}
