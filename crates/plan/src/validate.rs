//! Checks that a plan is consistent.

use crate::{
    model::{Plan, Route},
    tenant::{KeyDigest, Tenant},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use thiserror::Error;

/// The longest name of a tenant, in bytes.
const TENANT_NAME_MAX_BYTES: usize = 255;

/// Why a plan is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InvalidPlan {
    /// A route names a service that the plan does not list.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the missing service.
        service: String,
    },
    /// Two routes have the same name.
    #[error("two routes have the name {route}")]
    SameName {
        /// The name of both routes.
        route: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    #[serde(rename = "same_place")]
    SameHostAndPrefix {
        /// The name of the earlier route in the plan.
        first: String,
        /// The name of the later route.
        second: String,
    },
    /// A route has no parts, a negative weight, or weights that add up to 0.
    #[error("route {route} has no parts, a negative weight, or weights that add up to 0")]
    Weights {
        /// The name of the route.
        route: String,
    },
    /// `attempts_max` of a route is 0.
    #[error("route {route} allows 0 attempts")]
    NoAttempts {
        /// The name of the route.
        route: String,
    },
    /// A route has no host, or a prefix that does not begin and end with a slash.
    #[error("route {route} has no host, or its prefix does not begin and end with '/'")]
    #[serde(rename = "place")]
    InvalidHostOrPrefix {
        /// The name of the route.
        route: String,
    },
    /// A tenant's name can't be stated in a header: it is empty, too long, or has characters other than
    /// visible ASCII.
    #[error("tenant {tenant:?} has no name of 1 to 255 visible ASCII characters")]
    TenantName {
        /// The rejected name.
        tenant: String,
    },
    /// Two tenants have the same name.
    #[error("two tenants have the name {tenant}")]
    SameTenant {
        /// The name of both tenants.
        tenant: String,
    },
    /// A key is empty, so that requests without a key would have it.
    #[error("key {position} of tenant {tenant} is empty")]
    EmptyKey {
        /// The name of the tenant.
        tenant: String,
        /// The position of the key, from 1.
        position: usize,
    },
    /// Two tenants have the same key, or one has it twice. The key itself is not told.
    #[error("key {position} of tenant {tenant} is also key {other_position} of tenant {other}")]
    SameKey {
        /// The tenant that has it later in the plan.
        tenant: String,
        /// Its position there, from 1.
        position: usize,
        /// The tenant that has it first.
        other: String,
        /// Its position there, from 1.
        other_position: usize,
    },
    /// The plan can't be encoded as JSON.
    #[error("the plan can't be encoded as JSON")]
    #[serde(rename = "form")]
    NoJsonForm,
    /// The version is not higher than the one in force.
    #[error("version {version} is not higher than {current}, the version in force")]
    OldVersion {
        /// The version of the refused plan.
        version: u64,
        /// The version in force, 0 when no plan is.
        current: u64,
    },
}

/// Checks that a plan is consistent, without comparing it with the plan in force.
///
/// # Errors
///
/// The first [`InvalidPlan`] found.
pub fn validate(plan: &Plan) -> Result<(), InvalidPlan> {
    let services: BTreeSet<&str> = plan.services.iter().map(|s| s.name.as_str()).collect();
    let mut names = BTreeSet::new();
    let mut routes_by_host_and_prefix = BTreeMap::new();
    for route in &plan.routes {
        check_route(route, &services)?;
        if !names.insert(route.name.as_str()) {
            return Err(InvalidPlan::SameName {
                route: route.name.clone(),
            });
        }
        let host_and_prefix = (route.host.to_ascii_lowercase(), &route.prefix);
        if let Some(first) = routes_by_host_and_prefix.insert(host_and_prefix, &route.name) {
            return Err(InvalidPlan::SameHostAndPrefix {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    check_tenants(&plan.tenants)
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), InvalidPlan> {
    let name = || route.name.clone();
    let proper_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if route.host.is_empty() || !proper_prefix {
        return Err(InvalidPlan::InvalidHostOrPrefix { route: name() });
    }
    if route.attempts_max == 0 {
        return Err(InvalidPlan::NoAttempts { route: name() });
    }
    let weights = route.parts.iter().map(|part| part.weight_milli);
    if weights.clone().any(|weight| weight < 0) || weights.sum::<i64>() <= 0 {
        return Err(InvalidPlan::Weights { route: name() });
    }
    let unknown = route
        .parts
        .iter()
        .find(|part| !services.contains(part.service.as_str()));
    match unknown {
        Some(part) => Err(InvalidPlan::UnknownService {
            route: name(),
            service: part.service.to_string(),
        }),
        None => Ok(()),
    }
}

fn check_tenants(tenants: &[Tenant]) -> Result<(), InvalidPlan> {
    let mut names = BTreeSet::new();
    let mut places: HashMap<&KeyDigest, (&str, usize)> = HashMap::new();
    for tenant in tenants {
        let name = tenant.name.as_str();
        let is_visible = name.bytes().all(|byte| byte.is_ascii_graphic());
        if name.is_empty() || name.len() > TENANT_NAME_MAX_BYTES || !is_visible {
            return Err(InvalidPlan::TenantName {
                tenant: name.to_owned(),
            });
        }
        if !names.insert(name) {
            return Err(InvalidPlan::SameTenant {
                tenant: name.to_owned(),
            });
        }
        for (index, key) in tenant.keys.iter().enumerate() {
            let position = index + 1;
            if key.is_of_empty_key() {
                return Err(InvalidPlan::EmptyKey {
                    tenant: name.to_owned(),
                    position,
                });
            }
            if let Some((other, other_position)) = places.insert(key, (name, position)) {
                return Err(InvalidPlan::SameKey {
                    tenant: name.to_owned(),
                    position,
                    other: other.to_owned(),
                    other_position,
                });
            }
        }
    }
    Ok(())
}
