//! What a claimant takes in and decides.

use crate::{
    layout::Layout,
    message::{Ending, HeldClaim, Message, Peer},
};
use serde::Serialize;
use strum::{Display, IntoStaticStr};
use types::{EntryName, TimeUs};

/// Why no claim could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Unavailable {
    /// No entry is declared.
    NoHolders,
    /// Too many attempts are followed already.
    TooMany,
    /// No majority of the holders granted the claim in time.
    NoMajority,
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It may be sent to an upstream, if that begins before the deadline.
    Run {
        /// The deadline.
        before_us: TimeUs,
    },
    /// Another attempt has the key or ran it; this one did not run.
    AlreadyClaimed {
        /// That attempt's claim.
        claim: HeldClaim,
    },
    /// Nothing certain is known; this attempt did not run.
    Unavailable {
        /// Why.
        reason: Unavailable,
    },
}

/// What a claimant takes in besides new requests.
#[derive(Clone, Debug)]
pub enum ClaimantInput {
    /// A configuration came into force.
    Layout(Layout),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// A request that was allowed to run has ended.
    Ended {
        /// Its attempt.
        serial: u64,
        /// How it ended.
        ending: Ending,
    },
    /// A deadline may have come.
    Tick,
}

/// What a claimant asks of the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimantOutput {
    /// Send a message.
    Send {
        /// The receiver; it may be this entry itself.
        to: EntryName,
        /// The message.
        message: Message,
    },
    /// An attempt is decided.
    Decided {
        /// The attempt.
        serial: u64,
        /// The decision.
        decision: Decision,
    },
}
