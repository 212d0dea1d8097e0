//! Who a process is and who its peer proved to be.

use std::fmt;

/// What a process proves to its peers.
#[derive(Clone, PartialEq, Eq)]
pub struct Identity {
    /// The deployment; processes of another one are refused.
    pub deployment: String,
    /// The process's name.
    pub node: String,
    /// Differs in each run that may have lost memory.
    pub incarnation: u64,
    /// The link keys; the first proves, all are accepted.
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

/// An authenticated peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Its name.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
}
