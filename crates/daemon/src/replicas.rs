//! Dialed links to control replicas.

use link::{Event, Identity, LinkError, Outbound, dial};
use settings::{DiscoverySettings, Settings};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
};
use tokio::sync::mpsc;
use wire::peer::Frame;

/// How the address of a replica follows from its name.
#[derive(Clone, Debug)]
enum Addresses {
    /// The settings name each replica.
    Declared(BTreeMap<String, SocketAddr>),
    /// A replica's name is its IP address; all use one port.
    ByName { port: u16 },
}

impl Addresses {
    fn of(&self, name: &str) -> Option<SocketAddr> {
        match self {
            Self::Declared(addresses) => addresses.get(name).copied(),
            Self::ByName { port } => {
                let address: IpAddr = name.parse().ok()?;
                Some(SocketAddr::new(address, *port))
            }
        }
    }
}

/// Links to control replicas; a frame for a link that is down is dropped, since the cores ask
/// again.
#[derive(Debug)]
pub struct ReplicaLinks {
    addresses: Addresses,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    links: BTreeMap<String, Outbound>,
}

impl ReplicaLinks {
    /// No links yet, to the replicas that the settings name or let be found.
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

    /// Dials the named replicas that are new, and hangs up on those that are not named.
    ///
    /// # Errors
    ///
    /// When the identity holds no key.
    pub fn follow(&mut self, names: &BTreeSet<String>) -> Result<(), LinkError> {
        self.links.retain(|name, _| names.contains(name));
        for name in names {
            self.dial(name)?;
        }
        Ok(())
    }

    /// Sends a frame to a replica.
    pub fn send(&self, name: &str, frame: Frame) {
        if let Some(outbound) = self.links.get(name) {
            let _ = outbound.try_send(frame);
        }
    }

    /// Sends a frame to every replica.
    pub fn send_all(&self, frame: &Frame) {
        for outbound in self.links.values() {
            let _ = outbound.try_send(frame.clone());
        }
    }

    fn dial(&mut self, name: &str) -> Result<(), LinkError> {
        if self.links.contains_key(name) {
            return Ok(());
        }
        let Some(address) = self.addresses.of(name) else {
            return Ok(());
        };
        let (identity, inbox) = (self.identity.clone(), self.inbox.clone());
        let outbound = dial(address, Some(name), identity, inbox)?;
        self.links.insert(name.to_owned(), outbound);
        Ok(())
    }
}

/// The names of the replicas that the seeds point at.
pub fn seed_names(discovery: &DiscoverySettings) -> Vec<String> {
    let seeds = discovery.seeds.iter();
    seeds.map(|seed| seed.ip().to_string()).collect()
}
