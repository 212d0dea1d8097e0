//! Domain types that the whole system uses: checked names, resources, announcements, errors.
//!
//! Nothing here reads a clock, a file or a socket: the caller passes the time as [`TimeUs`].

mod announcement;
mod error;
mod hash;
mod id_match;
mod lease;
mod lookup;
mod name;
mod outcome;
mod progress;
mod resource;
mod time;

pub use crate::{
    announcement::{AnnounceAnswer, Announcement, UpstreamState},
    error::{ApiError, ErrorBody},
    hash::fnv1a,
    id_match::IdMatch,
    lease::{CONFIG_LEASE_MS, poll_interval_ms},
    lookup::{LookupAnswer, LookupEntry},
    name::{
        DomainName, EntryName, InvalidName, RegionName, ReplicaName, ResourceName, ServiceName,
        UpstreamName,
    },
    outcome::{Outcome, Refusal},
    progress::{Progress, ResourceProgress, ShiftReason, ShiftState},
    resource::{
        DrainSpec, DrainTarget, EntrySpec, InvalidKey, Key, Kind, LinkSpec, Priority, RegionSpec,
        Resource, ServiceSpec, ShiftSpec, Spec,
    },
    time::TimeUs,
};
