//! Checks that a plan is consistent.

use crate::model::{Plan, Route};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

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
    Ok(())
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
