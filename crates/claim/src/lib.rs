//! Runs a request at most once for each idempotency key, without input or output.
//!
//! Every entry has a [`Claimant`] and a [`Holder`]. An entry that receives a request with an
//! idempotency key asks the key's holders for a claim through its claimant, and runs the request
//! only after a majority of them granted the claim. `docs/AT-MOST-ONCE.md` gives the rules and
//! their reasons.

mod claimant;
mod decision;
mod entry_set_history;
mod holder;
mod key;
mod layout;
mod message;
mod recovery;
mod table;
mod tally;
mod timing;

pub use crate::{
    claimant::Claimant,
    decision::{ClaimantInput, ClaimantOutput, Decision, Unavailable},
    entry_set_history::EntrySetHistory,
    holder::{Holder, HolderInput, HolderStatus, Outgoing},
    key::{ClaimKey, InvalidKey, KEY_MAX_BYTES},
    layout::{EntryLocation, EntrySet, HOLDERS, Layout},
    message::{
        ANSWER_MAX_BYTES, Attempt, Ending, HeldClaim, HeldRecord, Message, Peer, Progress,
        Receiver, Refusal, Verdict,
    },
    timing::{Limits, Timing},
};
