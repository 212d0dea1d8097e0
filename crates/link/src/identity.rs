//! The identities that the two sides of a connection prove to each other.

use std::fmt;

/// What a process proves to its peers.
#[derive(Clone, PartialEq, Eq)]
pub struct Identity {
    /// The deployment's name in the settings; peers of another deployment are refused.
    pub deployment: String,
    /// The process's name in the settings.
    pub node: String,
    /// Differs after each restart in which the process may have lost its state.
    pub incarnation: u64,
    /// The secret link keys, shared by the deployment's daemons. A listener makes its proof with
    /// the first and accepts only that one; a dialer accepts any of them, and makes its proof with
    /// the one that the listener used.
    pub keys: Vec<Vec<u8>>,
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("deployment", &self.deployment)
            .field("node", &self.node)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// A peer, as the handshake authenticated it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// The peer's [`Identity::node`].
    pub node: String,
    /// The peer's [`Identity::incarnation`].
    pub incarnation: u64,
}
