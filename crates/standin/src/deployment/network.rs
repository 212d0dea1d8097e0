//! The addresses and names of a deployment's processes.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    ops::RangeInclusive,
};
use thiserror::Error;

/// The VMs that run an entry.
pub const ENTRY_VMS: [u8; 7] = [1, 2, 3, 4, 5, 6, 7];
/// The VMs with a disk. They run a control replica too.
pub const CONTROL_VMS: [u8; 3] = [1, 3, 5];

/// The port on which an entry serves callers and upstreams.
const ENTRY_PORT: u16 = 8080;
/// The port on which an entry accepts connections of other daemons.
const ENTRY_PEER_PORT: u16 = 7080;
/// The port of a test's relay that forwards to [`ENTRY_PEER_PORT`].
const ENTRY_PEER_RELAY_PORT: u16 = 7081;
/// The port on which a control replica serves operators over HTTP.
const CONTROL_PORT: u16 = 8090;
/// The port on which a control replica accepts connections of other daemons.
const CONTROL_PEER_PORT: u16 = 7090;
/// The port of a test's relay that forwards to [`CONTROL_PEER_PORT`].
const CONTROL_PEER_RELAY_PORT: u16 = 7091;
/// The last octet and the port of the address that a reservation binds.
const RESERVATION_HOST_PORT: (u8, u16) = (254, 7000);
/// The second octets of the networks that [`Reservation::any`] tries.
const FREE_NETWORKS: RangeInclusive<u8> = 30..=250;
/// The port of every upstream.
const UPSTREAM_PORT: u16 = 9000;

/// The loopback addresses of a deployment. VM N has 127.A.B.N, and upstream N has 127.A.(B+1).N.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// The addresses from 127.`second_octet`.`third_octet`.0 on, and those of the next third octet
    /// for upstreams.
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

    /// The address at which the entry on a VM serves callers and upstreams.
    #[must_use]
    pub const fn entry(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PORT)
    }

    /// The address at which the entry on a VM accepts connections of other daemons.
    #[must_use]
    pub const fn entry_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PEER_PORT)
    }

    /// The address at which a test's relay to [`Network::entry_peer`] listens.
    #[must_use]
    pub const fn entry_peer_relay(self, vm: u8) -> SocketAddr {
        self.address(0, vm, ENTRY_PEER_RELAY_PORT)
    }

    /// The address at which the control replica on a VM serves operators.
    #[must_use]
    pub const fn control(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PORT)
    }

    /// The address at which the control replica on a VM accepts connections of other daemons.
    #[must_use]
    pub const fn control_peer(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PEER_PORT)
    }

    /// The address at which a test's relay to [`Network::control_peer`] listens.
    #[must_use]
    pub const fn control_peer_relay(self, vm: u8) -> SocketAddr {
        self.address(0, vm, CONTROL_PEER_RELAY_PORT)
    }

    /// The address of the upstream with this last octet.
    #[must_use]
    pub const fn upstream(self, host: u8) -> SocketAddr {
        self.address(1, host, UPSTREAM_PORT)
    }

    /// [`Network::entry`] of all VMs with an entry.
    #[must_use]
    pub fn entries(self) -> Vec<SocketAddr> {
        ENTRY_VMS.iter().map(|vm| self.entry(*vm)).collect()
    }

    /// [`Network::control`] of all VMs with a control replica.
    #[must_use]
    pub fn controls(self) -> Vec<SocketAddr> {
        CONTROL_VMS.iter().map(|vm| self.control(*vm)).collect()
    }

    /// Replaces the addresses of the example declarations, 127.0.1.N, by this network's.
    #[must_use]
    pub fn translate(self, example: &str) -> String {
        let prefix = format!("127.{}.{}.", self.second_octet, self.third_octet);
        example.replace("127.0.1.", &prefix)
    }
}

/// Another deployment has reserved the network, or its address can't be bound.
#[derive(Debug, Error)]
#[error("could not reserve 127.{second_octet}.{third_octet}.0, another deployment may use it")]
pub struct NetworkTaken {
    /// The second octet of its addresses.
    pub second_octet: u8,
    /// The third octet of the VMs' addresses.
    pub third_octet: u8,
    #[source]
    source: io::Error,
}

/// Exclusive use of a network on this machine. A bound listener holds it until this is dropped.
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
    /// [`NetworkTaken`] when its address can't be bound.
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

    /// Reserves the first free network; `None` if none is free.
    #[must_use]
    pub fn any() -> Option<Self> {
        FREE_NETWORKS
            .into_iter()
            .find_map(|second_octet| Self::new(Network::new(second_octet, 1)).ok())
    }

    /// The reserved network.
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
