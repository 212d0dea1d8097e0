//! Conversion between the upstreams that entries report to one another and their wire form.

use crate::{error::WireError, peer};
use member::{PeerAnswer, PeerRenewal, PeerUpstream};
use types::{Announcement, UpstreamState};

/// The wire form of the answer in which an entry reports the upstreams that announce to it;
/// `stopping` tells that this entry is stopping.
#[must_use]
pub fn sync_to_wire(answer: &PeerAnswer, stopping: bool) -> peer::SyncAnswer {
    peer::SyncAnswer {
        version: answer.version,
        upstreams: answer.upstreams.iter().map(upstream_to_wire).collect(),
        renewals: answer.renewals.iter().map(renewal_to_wire).collect(),
        stopping,
    }
}

/// The answer in which an entry reports the upstreams that announce to it, from its wire form.
///
/// # Errors
///
/// [`WireError::Invalid`] when a field is not a valid name, address or state.
pub fn sync_from_wire(answer: peer::SyncAnswer) -> Result<PeerAnswer, WireError> {
    let upstreams = answer
        .upstreams
        .into_iter()
        .map(upstream_from_wire)
        .collect::<Result<_, _>>()?;
    let renewals = answer
        .renewals
        .into_iter()
        .map(renewal_from_wire)
        .collect::<Result<_, _>>()?;
    Ok(PeerAnswer {
        version: answer.version,
        upstreams,
        renewals,
    })
}

fn upstream_to_wire(upstream: &PeerUpstream) -> peer::Upstream {
    let announcement = &upstream.announcement;
    peer::Upstream {
        name: upstream.name.to_string(),
        service: announcement.service.to_string(),
        address: announcement.address.to_string(),
        region: announcement.region.to_string(),
        failure_domain: announcement.failure_domain.to_string(),
        slots: announcement.slots,
        connections: announcement.connections,
        load: announcement.load,
        state: state_to_wire(announcement.state),
        epoch_ms: announcement.epoch_ms,
        sequence: announcement.sequence,
        remaining_ms: saturating_u32(upstream.remaining_ms),
    }
}

fn upstream_from_wire(upstream: peer::Upstream) -> Result<PeerUpstream, WireError> {
    let invalid = |field| WireError::Invalid { field };
    Ok(PeerUpstream {
        name: upstream.name.parse().map_err(|_| invalid("name"))?,
        announcement: Announcement {
            service: upstream.service.parse().map_err(|_| invalid("service"))?,
            address: upstream.address.parse().map_err(|_| invalid("address"))?,
            region: upstream.region.parse().map_err(|_| invalid("region"))?,
            failure_domain: upstream
                .failure_domain
                .parse()
                .map_err(|_| invalid("failure_domain"))?,
            slots: upstream.slots,
            connections: upstream.connections,
            load: upstream.load,
            state: state_from_wire(upstream.state)?,
            epoch_ms: upstream.epoch_ms,
            sequence: upstream.sequence,
        },
        remaining_ms: upstream.remaining_ms.into(),
    })
}

fn renewal_to_wire(renewal: &PeerRenewal) -> peer::Renewal {
    peer::Renewal {
        name: renewal.name.to_string(),
        epoch_ms: renewal.epoch_ms,
        sequence: renewal.sequence,
        load: renewal.load,
        remaining_ms: saturating_u32(renewal.remaining_ms),
    }
}

fn renewal_from_wire(renewal: peer::Renewal) -> Result<PeerRenewal, WireError> {
    Ok(PeerRenewal {
        name: renewal
            .name
            .parse()
            .map_err(|_| WireError::Invalid { field: "name" })?,
        epoch_ms: renewal.epoch_ms,
        sequence: renewal.sequence,
        load: renewal.load,
        remaining_ms: renewal.remaining_ms.into(),
    })
}

const fn state_to_wire(state: UpstreamState) -> u32 {
    match state {
        UpstreamState::Starting => 1,
        UpstreamState::Ready => 2,
        UpstreamState::Leaving => 3,
    }
}

const fn state_from_wire(state: u32) -> Result<UpstreamState, WireError> {
    match state {
        1 => Ok(UpstreamState::Starting),
        2 => Ok(UpstreamState::Ready),
        3 => Ok(UpstreamState::Leaving),
        _ => Err(WireError::Invalid { field: "state" }),
    }
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
