//! Outbound links to control replicas, used by all three roles.

use link::{DialerHandle, Event, Identity, LinkError, dial};
use settings::{DiscoverySettings, Settings};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
};
use tokio::sync::mpsc;
use wire::peer::Frame;

/// How the address of a replica is found from its name.
#[derive(Clone, Debug)]
enum Addresses {
    /// The settings list each replica with its peer address.
    Declared(BTreeMap<String, SocketAddr>),
    /// With discovery, a replica's name is its IP address, and all replicas use one peer port.
    ByName { port: u16 },
}

impl Addresses {
    fn resolve(&self, name: &str) -> Option<SocketAddr> {
        match self {
            Self::Declared(addresses) => addresses.get(name).copied(),
            Self::ByName { port } => {
                let address: IpAddr = name.parse().ok()?;
                Some(SocketAddr::new(address, *port))
            }
        }
    }
}

/// Outbound links to control replicas. A frame for a link that is down or whose queue is full is
/// dropped, since the cores send again.
#[derive(Debug)]
pub struct ReplicaLinks {
    addresses: Addresses,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    links: BTreeMap<String, DialerHandle>,
}

impl ReplicaLinks {
    /// Creates the set without any link. [`Self::set_replicas`] dials the replicas, at addresses
    /// from the settings.
    pub fn new(settings: &Settings, identity: Identity, inbox: mpsc::Sender<Event>) -> Self {
        let addresses = match &settings.discovery {
            Some(discovery) => Addresses::ByName {
                port: discovery.peer_port,
            },
            None => {
                let declared = settings.replicas.iter();
                let declared = declared.map(|it| (it.name.to_string(), it.peer_address));
                Addresses::Declared(declared.collect())
            }
        };
        Self {
            addresses,
            identity,
            inbox,
            links: BTreeMap::new(),
        }
    }

    /// Dials the replicas in `names` that have no link yet, and closes the links to all others.
    /// Names without an address are skipped.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn set_replicas(&mut self, names: &BTreeSet<String>) -> Result<(), LinkError> {
        self.links.retain(|name, _| names.contains(name));
        for name in names {
            self.dial(name)?;
        }
        Ok(())
    }

    /// Queues a frame for a replica, or drops it.
    pub fn send(&self, name: &str, frame: Frame) {
        if let Some(dialer_handle) = self.links.get(name) {
            let _ = dialer_handle.try_send(frame);
        }
    }

    /// Queues a frame for every replica that has a link, or drops it.
    pub fn send_all(&self, frame: &Frame) {
        for dialer_handle in self.links.values() {
            let _ = dialer_handle.try_send(frame.clone());
        }
    }

    fn dial(&mut self, name: &str) -> Result<(), LinkError> {
        if self.links.contains_key(name) {
            return Ok(());
        }
        let Some(address) = self.addresses.resolve(name) else {
            return Ok(());
        };
        let (identity, inbox) = (self.identity.clone(), self.inbox.clone());
        let dialer_handle = dial(address, Some(name), identity, inbox)?;
        self.links.insert(name.to_owned(), dialer_handle);
        Ok(())
    }
}

/// The names of the replicas at the seeds: with discovery, a replica's name is its IP address.
pub fn seed_names(discovery: &DiscoverySettings) -> Vec<String> {
    let seeds = discovery.seeds.iter();
    seeds.map(|seed| seed.ip().to_string()).collect()
}
