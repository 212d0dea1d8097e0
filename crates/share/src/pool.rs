//! What is shared, and the messages about it.

use serde::{Deserialize, Serialize};
use types::{EntryName, RegionName};

/// Something with an operators' figure that entries share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Pool {
    /// Requests running in a region, in slots.
    Region {
        /// The region.
        region: RegionName,
    },
    /// Traffic from one region to another, in kbit/s.
    Link {
        /// Where it comes from.
        from: RegionName,
        /// Where it goes.
        to: RegionName,
    },
}

/// Orders grants: by the leader's term, then by its own count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct GrantId {
    /// The term of the leader that granted it.
    pub term: u64,
    /// Counts that leader's grants.
    pub serial: u64,
}

/// One run of an entry: a restarted entry is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderId {
    /// The entry.
    pub entry: EntryName,
    /// Differs in each run.
    pub incarnation: u64,
}

/// What an entry asks of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The pool.
    pub pool: Pool,
    /// Orders the questions of one run; one that a later question overtook is not answered.
    pub asked: u64,
    /// The latest grant that the entry applied; zero for none.
    pub applied: GrantId,
    /// What the entry may still use or does use: the applied grant or, when larger, the work in
    /// flight.
    pub held: u64,
    /// What it would use now if it could.
    pub demand: u64,
}

/// What an entry may use of one pool, until [`LEASE_MS`](crate::LEASE_MS) after it asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The pool.
    pub pool: Pool,
    /// Its place in the order of grants.
    pub id: GrantId,
    /// The amount, in the pool's unit.
    pub amount: u64,
    /// Whether a new leader only confirms what the entry said that it holds. The entry may have
    /// given some of it back to the former leader since it asked, so this never adds to what it
    /// holds when the answer comes.
    pub confirms: bool,
}
