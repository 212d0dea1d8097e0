//! At most one run for each idempotency key, without input or output.
//!
//! An entry that receives a request with a key asks the key's [`Holder`]s for a claim through its
//! [`Claimant`] and runs the request only after a majority granted it. `docs/AT-MOST-ONCE.md` gives
//! the rules and their reasons.

mod claimant;
mod decision;
mod holder;
mod key;
mod layout;
mod message;
mod recovery;
mod set_log;
mod table;
mod tally;
mod timing;

pub use crate::{
    claimant::Claimant,
    decision::{ClaimantInput, ClaimantOutput, Decision, Unavailable},
    holder::{Holder, HolderInput, HolderStatus, Outgoing},
    key::{ClaimKey, InvalidKey, KEY_MAX_BYTES},
    layout::{EntrySet, HOLDERS, Layout, Place},
    message::{
        ANSWER_MAX_BYTES, Attempt, Ending, HeldClaim, HeldRecord, Message, Peer, Progress,
        Receiver, Refusal, Verdict,
    },
    set_log::SetLog,
    timing::{Limits, Timing},
};
