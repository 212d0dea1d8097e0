//! The capacities that entries share, and the messages in which entries request shares of them.

use serde::{Deserialize, Serialize};
use types::{EntryName, RegionName};

/// A capacity with a configured limit that entries share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Pool {
    /// Requests running in a region, in slots.
    Region {
        /// The region that runs them.
        region: RegionName,
    },
    /// Traffic from one region to another, in kbit/s.
    Link {
        /// The region that sends the traffic.
        from: RegionName,
        /// The region that receives the traffic.
        to: RegionName,
    },
}

/// Orders grants by the leader's term, then by the leader's serial number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct GrantId {
    /// The term of the leader that granted it.
    pub term: u64,
    /// Serial number of the grant within the term, from 1.
    pub serial: u64,
}

/// One incarnation of an entry: a restarted entry is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderId {
    /// The entry's name, which outlives a restart.
    pub entry: EntryName,
    /// Differs after every restart of the entry.
    pub incarnation: u64,
}

/// An entry's request for a share of one pool, with what it holds of it already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The pool to get a share of.
    pub pool: Pool,
    /// Serial number of the want within the holder. The allocator ignores a want that arrives after
    /// a later one.
    pub serial: u64,
    /// The latest grant of the pool that the entry applied; term and serial 0 for none.
    pub applied: GrantId,
    /// What the entry may still use or does use, in the pool's unit: the applied grant or, when
    /// larger, the work in flight.
    pub held: u64,
    /// What the entry would use now if nothing limited it, in the pool's unit.
    pub demand: u64,
}

/// What an entry may use of one pool, until [`LEASE_MS`](crate::LEASE_MS) after it sent the want.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The pool that the share is of.
    pub pool: Pool,
    /// Identifies the grant; an entry ignores one that isn't later than the grant it applied.
    pub id: GrantId,
    /// The share, in the pool's unit.
    pub amount: u64,
    /// Whether a new leader only confirms what the entry reported as held. The entry may have given
    /// some of it back to the previous leader since it sent the want, so such a grant never raises
    /// what the entry holds when the grant arrives.
    pub confirms: bool,
}
