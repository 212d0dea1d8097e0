//! The messages between claimants and holders, and the values that they carry.

use crate::key::ClaimKey;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, FromRepr, IntoStaticStr};
use types::EntryName;

/// Largest answer that [`Ending::Finished`] carries, in bytes. Of a larger one only the status is
/// kept.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// One incarnation of an entry, as its connection authenticated it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Peer {
    /// The entry's name, which outlives a restart.
    pub entry: EntryName,
    /// Increases with every restart of the entry.
    pub incarnation: u64,
}

/// One attempt of an entry to run a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// The incarnation of the entry that received the request.
    pub claimant: Peer,
    /// Serial number of the attempt within the claimant's incarnation, from 1.
    pub serial: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// No upstream ran the request, and none will: the key is free again.
    DidNotRun,
    /// An upstream may have run the request.
    Unknown,
    /// An upstream ran the request and answered.
    Finished {
        /// The status code of the answer.
        status: u16,
        /// The encoded answer; none when it exceeds [`ANSWER_MAX_BYTES`].
        answer: Option<Vec<u8>>,
    },
}

/// How far a claimed request has come, as far as a holder knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The claim was granted. The request may not have started, may be running or may have ended.
    Claimed,
    /// The request may have run, and is not running any more.
    Unknown,
    /// The request ran and was answered.
    Finished {
        /// The status code of the answer.
        status: u16,
        /// The encoded answer; none when it was too large or the holder had no room for it.
        answer: Option<Vec<u8>>,
    },
}

impl Progress {
    /// Whether the holder knows that the attempt ended after it was allowed to run.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        match self {
            Self::Claimed => false,
            Self::Unknown | Self::Finished { .. } => true,
        }
    }
}

/// A granted claim as a holder stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldClaim {
    /// The attempt that owns the claim.
    pub attempt: Attempt,
    /// How far the claimed request has come.
    pub progress: Progress,
}

/// All claims that a holder stores for one key, as a recovery transfers them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldRecord {
    /// The key that the claims are for.
    pub key: ClaimKey,
    /// More than one claim after a recovery from holders that granted different attempts.
    pub claims: Vec<HeldClaim>,
    /// Time until the record expires, in microseconds.
    pub remaining_us: u64,
}

/// Why a holder neither granted a claim nor can name the attempt that has the key.
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
    /// The holder's configuration lease has expired.
    Lease = 1,
    /// The claim's layout epoch differs from the holder's, or the holder has no layout yet.
    Epoch = 2,
    /// The entry is not a holder of the key, or no entry is declared.
    NotHolder = 3,
    /// The holder restarted without its records and has not recovered those of the key.
    Recovering = 4,
    /// The holder stores [`Limits::keys`](crate::Limits::keys) keys already.
    Full = 5,
    /// The attempt ended before, as [`Ending::DidNotRun`].
    Released = 6,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// This holder grants the key to the attempt; the claimant needs a majority of such verdicts.
    Granted {
        /// The latest incarnation that this holder knows of each other holder of the key.
        #[serde(rename = "seen")]
        known_incarnations: Vec<Peer>,
    },
    /// Another attempt has the key.
    Taken {
        /// The claim of that attempt.
        claim: HeldClaim,
    },
    /// The holder can neither grant the claim nor name another.
    Refused {
        /// What prevents the grant.
        refusal: Refusal,
    },
}

/// A message between a claimant and a holder, or between two holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A claimant asks a holder for a key.
    Claim {
        /// The claimant's [`Layout::epoch`](crate::Layout::epoch).
        epoch: u64,
        /// The key to claim.
        key: ClaimKey,
        /// The attempt that the key is for.
        attempt: Attempt,
    },
    /// A holder answers [`Message::Claim`].
    Answer {
        /// The attempt of the claim.
        attempt: Attempt,
        /// Whether the holder granted the claim.
        verdict: Verdict,
    },
    /// A claimant reports to a holder how an attempt ended.
    End {
        /// The key that the attempt asked for.
        key: ClaimKey,
        /// The attempt that ended.
        attempt: Attempt,
        /// Whether the request ran, and its answer.
        ending: Ending,
    },
    /// A holder confirms that it stored a [`Message::End`].
    #[serde(rename = "end_noted")]
    EndConfirmed {
        /// The attempt that ended.
        attempt: Attempt,
    },
    /// A holder that restarted without its records asks another one for the next chunk of those
    /// that both hold.
    Recover {
        /// The asker's [`Layout::epoch`](crate::Layout::epoch).
        epoch: u64,
        /// Only records of later keys are sent; none asks for the first chunk.
        after: Option<ClaimKey>,
    },
    /// Answers [`Message::Recover`].
    Recovered {
        /// The incarnation of the holder that asked; a later one ignores the answer.
        asker_incarnation: u64,
        /// The same as in the [`Message::Recover`] that is answered.
        after: Option<ClaimKey>,
        /// Entries from which the answering holder has not recovered yet, itself after a restart.
        missing: Vec<EntryName>,
        /// The records of this chunk, in the order of their keys.
        records: Vec<HeldRecord>,
        /// Value of `after` that asks for the next chunk; none after the last one.
        next: Option<ClaimKey>,
    },
}

/// The part of an entry that a message is for.
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
            Self::Answer { .. } | Self::EndConfirmed { .. } => Receiver::Claimant,
            Self::Claim { .. }
            | Self::End { .. }
            | Self::Recover { .. }
            | Self::Recovered { .. } => Receiver::Holder,
        }
    }
}
