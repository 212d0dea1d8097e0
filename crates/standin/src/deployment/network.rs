//! The addresses and names of a deployment's processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

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
/// The port of an upstream.
const UPSTREAM_PORT: u16 = 9000;

/// The addresses of a deployment: VM N has 127.A.B.N, and upstreams have 127.A.(B+1).N.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// The network of 127.`second`.`third`.0 and the one after it.
    #[must_use]
    pub const fn new(second: u8, third: u8) -> Self {
        Self { second, third }
    }

    const fn address(self, offset: u8, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third + offset, host);
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
        let own = format!("127.{}.{}.", self.second, self.third);
        example.replace("127.0.1.", &own)
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
