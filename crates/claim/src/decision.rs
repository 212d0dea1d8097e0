//! Inputs, outputs and decisions of a claimant.

use crate::{
    layout::Layout,
    message::{Ending, HeldClaim, Message, Peer},
};
use serde::Serialize;
use strum::{Display, IntoStaticStr};
use types::{EntryName, TimeUs};

/// Why an attempt got no claim, other than that another attempt has the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Unavailable {
    /// No entry is declared, so that the key has no holders.
    NoHolders,
    /// The claimant has [`Limits::attempts`](crate::Limits::attempts) open attempts already.
    TooMany,
    /// No majority of the holders granted the claim before the attempt's deadline.
    NoMajority,
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The request may be sent to an upstream.
    Run {
        /// It must be sent before this time.
        before_us: TimeUs,
    },
    /// Another attempt has the key or ran it; this one did not run.
    AlreadyClaimed {
        /// The claim of that attempt.
        claim: HeldClaim,
    },
    /// Whether another attempt has the key is unknown; this one did not run.
    Unavailable {
        /// What prevented the claim.
        reason: Unavailable,
    },
}

/// An input of a claimant, besides new requests.
#[derive(Clone, Debug)]
pub enum ClaimantInput {
    /// A configuration with this layout came into force.
    Layout(Layout),
    /// A message from another entry, or from this one, arrived.
    Message {
        /// The sender, as its connection authenticated it.
        from: Peer,
        /// Messages that are not for a claimant are ignored.
        message: Message,
    },
    /// A request that was allowed to run has ended.
    Ended {
        /// The serial number of its attempt.
        serial: u64,
        /// Whether the request ran, and its answer.
        ending: Ending,
    },
    /// The time of [`Claimant::next_deadline_us`](crate::Claimant::next_deadline_us) may have come.
    Tick,
}

/// An output of a claimant, for the surrounding process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimantOutput {
    /// A message is to be sent.
    Send {
        /// The receiver; it may be this entry itself.
        to: EntryName,
        /// A claim, or the ending of an attempt.
        message: Message,
    },
    /// An attempt is decided, which happens once for each.
    Decided {
        /// The number that [`Claimant::request`](crate::Claimant::request) returned.
        serial: u64,
        /// Whether the request may run.
        decision: Decision,
    },
}
