//! Conversion between wants and grants of shares and their wire form.

use crate::{error::WireError, peer};
use share::{Grant, GrantId, Pool, Want};

/// The wire form of a want.
#[must_use]
pub fn want_to_wire(want: &Want) -> peer::ShareWant {
    peer::ShareWant {
        pool: Some(pool_to_wire(&want.pool)),
        asked: want.serial,
        applied_term: want.applied.term,
        applied_serial: want.applied.serial,
        held: want.held,
        demand: want.demand,
    }
}

/// A want from its wire form.
///
/// # Errors
///
/// When the pool is missing or a region's name is invalid.
pub fn want_from_wire(want: &peer::ShareWant) -> Result<Want, WireError> {
    Ok(Want {
        pool: pool_from_wire(want.pool.as_ref())?,
        serial: want.asked,
        applied: GrantId {
            term: want.applied_term,
            serial: want.applied_serial,
        },
        held: want.held,
        demand: want.demand,
    })
}

/// The wire form of a grant.
#[must_use]
pub fn grant_to_wire(grant: &Grant) -> peer::ShareGrant {
    peer::ShareGrant {
        pool: Some(pool_to_wire(&grant.pool)),
        term: grant.id.term,
        serial: grant.id.serial,
        amount: grant.amount,
        confirms: grant.confirms,
    }
}

/// A grant from its wire form.
///
/// # Errors
///
/// When the pool is missing or a region's name is invalid.
pub fn grant_from_wire(grant: &peer::ShareGrant) -> Result<Grant, WireError> {
    Ok(Grant {
        pool: pool_from_wire(grant.pool.as_ref())?,
        id: GrantId {
            term: grant.term,
            serial: grant.serial,
        },
        amount: grant.amount,
        confirms: grant.confirms,
    })
}

fn pool_to_wire(pool: &Pool) -> peer::SharePool {
    match pool {
        Pool::Region { region } => peer::SharePool {
            region: region.to_string(),
            ..peer::SharePool::default()
        },
        Pool::Link { from, to } => peer::SharePool {
            from: from.to_string(),
            to: to.to_string(),
            ..peer::SharePool::default()
        },
    }
}

fn pool_from_wire(pool: Option<&peer::SharePool>) -> Result<Pool, WireError> {
    let pool = pool.ok_or(WireError::Missing { field: "pool" })?;
    let invalid = |field| WireError::Invalid { field };
    if pool.region.is_empty() {
        return Ok(Pool::Link {
            from: pool.from.parse().map_err(|_| invalid("from"))?,
            to: pool.to.parse().map_err(|_| invalid("to"))?,
        });
    }
    Ok(Pool::Region {
        region: pool.region.parse().map_err(|_| invalid("region"))?,
    })
}
