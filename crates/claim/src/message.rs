//! What claimants and holders tell one another.

use crate::key::ClaimKey;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, FromRepr, IntoStaticStr};
use types::EntryName;

/// The largest answer that travels with an ending.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// An entry's run, as its connection proved it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Peer {
    /// The entry.
    pub entry: EntryName,
    /// Its run; greater than that of every earlier run of the entry.
    pub incarnation: u64,
}

/// One try of one entry to run a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// The entry that received the request.
    pub claimant: Peer,
    /// Counts the attempts of this run of the entry.
    pub serial: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// No upstream ran it, and none will: the key is free again.
    DidNotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Finished {
        /// The answer's status.
        status: u16,
        /// The answer, when it is small enough to be kept.
        answer: Option<Vec<u8>>,
    },
}

/// How far a claimed request has come, as far as a holder knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// It was claimed; it may not have started, run, or have ended.
    Claimed,
    /// It may have run and won't go on.
    Unknown,
    /// It ran.
    Finished {
        /// The answer's status.
        status: u16,
        /// The answer, where it is kept.
        answer: Option<Vec<u8>>,
    },
}

impl Progress {
    /// Whether the claim led to a run that has ended.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        match self {
            Self::Claimed => false,
            Self::Unknown | Self::Finished { .. } => true,
        }
    }
}

/// A claim as a holder keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldClaim {
    /// Whose it is.
    pub attempt: Attempt,
    /// How far it has come.
    pub progress: Progress,
}

/// Everything that a holder keeps of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldRecord {
    /// The key.
    pub key: ClaimKey,
    /// Its claims; more than one after a recovery from holders that granted different attempts.
    pub claims: Vec<HeldClaim>,
    /// It is kept for this long yet.
    pub remaining_us: u64,
}

/// Why a holder neither granted a claim nor knows whose the key is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    FromRepr,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum Refusal {
    /// The holder's configuration lease has run out.
    Lease = 1,
    /// The holder runs another configuration.
    Epoch = 2,
    /// The key is not this entry's to hold.
    NotHolder = 3,
    /// The holder lost its memory and has not recovered the key.
    Recovering = 4,
    /// The holder keeps as many keys as it may.
    Full = 5,
    /// The attempt was given up before.
    Released = 6,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The key is the attempt's, as far as this holder is concerned.
    Granted {
        /// The latest run that this holder knows of each fellow holder.
        seen: Vec<Peer>,
    },
    /// The key is another attempt's.
    Taken {
        /// That claim.
        claim: HeldClaim,
    },
    /// The holder can't say.
    Refused {
        /// Why.
        refusal: Refusal,
    },
}

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks a holder for a key.
    Claim {
        /// The claimant's [`Layout::epoch`](crate::Layout::epoch).
        epoch: u64,
        /// The key.
        key: ClaimKey,
        /// Who asks.
        attempt: Attempt,
    },
    /// Answers [`Message::Claim`].
    Answer {
        /// The attempt that asked.
        attempt: Attempt,
        /// What the holder says.
        verdict: Verdict,
    },
    /// Tells a holder how an attempt ended.
    End {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        ending: Ending,
    },
    /// Confirms [`Message::End`].
    EndNoted {
        /// The attempt.
        attempt: Attempt,
    },
    /// A holder that lost its memory asks for what a fellow holder keeps.
    Recover {
        /// The asker's [`Layout::epoch`](crate::Layout::epoch).
        epoch: u64,
        /// Keys after this one; from the first without it.
        after: Option<ClaimKey>,
    },
    /// Answers [`Message::Recover`].
    Recovered {
        /// The run that asked.
        asker_incarnation: u64,
        /// As it was asked.
        after: Option<ClaimKey>,
        /// Entries whose claims the answering holder lost and has not recovered.
        missing: Vec<EntryName>,
        /// The next records in the order of their keys.
        records: Vec<HeldRecord>,
        /// Where the next records start; none when these are the last.
        next: Option<ClaimKey>,
    },
}

/// Which part of an entry a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    /// The [`Claimant`](crate::Claimant).
    Claimant,
    /// The [`Holder`](crate::Holder).
    Holder,
}

impl Message {
    /// Which part of an entry the message is for.
    #[must_use]
    pub const fn receiver(&self) -> Receiver {
        match self {
            Self::Answer { .. } | Self::EndNoted { .. } => Receiver::Claimant,
            Self::Claim { .. }
            | Self::End { .. }
            | Self::Recover { .. }
            | Self::Recovered { .. } => Receiver::Holder,
        }
    }
}
