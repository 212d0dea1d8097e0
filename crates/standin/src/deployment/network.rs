//! The addresses and names of a deployment's processes.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    ops::RangeInclusive,
};
use thiserror::Error;

/// VMs that run an entry.
pub const ENTRY_VMS: [u8; 7] = [1, 2, 3, 4, 5, 6, 7];
/// VMs with a disk, which run a control replica.
pub const CONTROL_VMS: [u8; 3] = [1, 3, 5];

/// The port of an entry for callers and upstreams.
const ENTRY_PORT: u16 = 8080;
/// The port of an entry for the system's own processes.
const ENTRY_PEER_PORT: u16 = 7080;
/// The port of a relay before [`ENTRY_PEER_PORT`].
const ENTRY_PEER_RELAY_PORT: u16 = 7081;
/// The port of a control replica for operators.
const CONTROL_PORT: u16 = 8090;
/// The port of a control replica for the system's own processes.
const CONTROL_PEER_PORT: u16 = 7090;
/// The port of a relay before [`CONTROL_PEER_PORT`].
const CONTROL_PEER_RELAY_PORT: u16 = 7091;
/// The port that a reservation holds, and the last part of its address.
const RESERVATION_HOST_PORT: (u8, u16) = (254, 7000);
/// The networks that tests choose from.
const FREE_NETWORKS: RangeInclusive<u8> = 30..=250;
/// The port of an upstream.
const UPSTREAM_PORT: u16 = 9000;

/// The addresses of a deployment: VM N has 127.A.B.N, and upstreams have 127.A.(B+1).N.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// The network of 127.`second`.`third`.0 and the one after it.
    #[must_use]
    pub const fn new(second_octet: u8, third_octet: u8) -> Self {
        Self {
            second_octet,
            third_octet,
        }
    }

    const fn address(self, offset: u8, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second_octet, self.third_octet + offset, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// An entry's address for callers and upstreams.
    #[must_use]
    pub const fn entry(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PORT)
    }

    /// An entry's address for the system's own processes.
    #[must_use]
    pub const fn entry_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PEER_PORT)
    }

    /// Where a relay before an entry's address for the system's own processes listens.
    #[must_use]
    pub const fn entry_peer_relay(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PEER_RELAY_PORT)
    }

    /// A control replica's address for operators.
    #[must_use]
    pub const fn control(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PORT)
    }

    /// A control replica's address for the system's own processes.
    #[must_use]
    pub const fn control_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PEER_PORT)
    }

    /// Where a relay before a control replica's address for the system's own processes listens.
    #[must_use]
    pub const fn control_peer_relay(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PEER_RELAY_PORT)
    }

    /// An upstream's address.
    #[must_use]
    pub const fn upstream(self, host: u8) -> SocketAddr {
        self.address(1, host, UPSTREAM_PORT)
    }

    /// The addresses of all entries for callers and upstreams.
    #[must_use]
    pub fn entries(self) -> Vec<SocketAddr> {
        ENTRY_VMS.iter().map(|vm| self.entry(*vm)).collect()
    }

    /// The addresses of all control replicas for operators.
    #[must_use]
    pub fn controls(self) -> Vec<SocketAddr> {
        CONTROL_VMS.iter().map(|vm| self.control(*vm)).collect()
    }

    /// Text with the examples' addresses replaced by this network's.
    #[must_use]
    pub fn translate(self, example: &str) -> String {
        let prefix = format!("127.{}.{}.", self.second_octet, self.third_octet);
        example.replace("127.0.1.", &prefix)
    }
}

/// Another deployment uses the network.
#[derive(Debug, Error)]
#[error("another deployment runs on 127.{second_octet}.{third_octet}.0")]
pub struct NetworkTaken {
    /// The second part of its addresses.
    pub second_octet: u8,
    /// The third part of its addresses.
    pub third_octet: u8,
    #[source]
    source: io::Error,
}

/// A network that no other deployment on this machine uses while this lives.
#[derive(Debug)]
pub struct Reservation {
    network: Network,
    _listener: TcpListener,
}

impl Reservation {
    /// Reserves a network.
    ///
    /// # Errors
    ///
    /// [`NetworkTaken`] when another deployment holds it.
    pub fn new(network: Network) -> Result<Self, NetworkTaken> {
        let (host, port) = RESERVATION_HOST_PORT;
        let listener = TcpListener::bind(network.address(0, host, port));
        let listener = listener.map_err(|source| NetworkTaken {
            second_octet: network.second_octet,
            third_octet: network.third_octet,
            source,
        })?;
        Ok(Self {
            network,
            _listener: listener,
        })
    }

    /// Reserves any network that is free.
    #[must_use]
    pub fn any() -> Option<Self> {
        FREE_NETWORKS
            .into_iter()
            .find_map(|second_octet| Self::new(Network::new(second_octet, 1)).ok())
    }

    /// The network.
    #[must_use]
    pub const fn network(&self) -> Network {
        self.network
    }
}

/// The name of the entry on a VM.
#[must_use]
pub fn entry_name(vm: u8) -> String {
    format!("entry-{vm}")
}

/// The name of the control replica on a VM.
#[must_use]
pub fn control_name(vm: u8) -> String {
    format!("control-{vm}")
}
