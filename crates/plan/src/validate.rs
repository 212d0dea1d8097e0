//! Checks of a plan as a whole.

use crate::model::{Plan, Route};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Why a plan can't be in force.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InvalidPlan {
    /// A route names a service that the plan lacks.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have one name.
    #[error("two routes have the name {route}")]
    SameName {
        /// The name.
        route: String,
    },
    /// Two routes share host and prefix.
    #[error("routes {first} and {second} share host and prefix")]
    SamePlace {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// A weight is negative, or the weights add up to nothing.
    #[error("the weights of route {route} don't name a share")]
    Weights {
        /// The route.
        route: String,
    },
    /// A route allows no attempt.
    #[error("route {route} allows no attempt")]
    NoAttempts {
        /// The route.
        route: String,
    },
    /// A route names no host, or a prefix without its slashes.
    #[error("route {route} names no host or no proper prefix")]
    Place {
        /// The route.
        route: String,
    },
    /// The plan has no JSON form.
    #[error("the plan can't be written as JSON")]
    Form,
    /// The version is not above the one in force.
    #[error("version {version} is not above the current version {current}")]
    OldVersion {
        /// The plan's version.
        version: u64,
        /// The version in force.
        current: u64,
    },
}

/// Checks a plan by itself.
///
/// # Errors
///
/// The first [`InvalidPlan`] found.
pub fn validate(plan: &Plan) -> Result<(), InvalidPlan> {
    let services: BTreeSet<&str> = plan.services.iter().map(|s| s.name.as_str()).collect();
    let mut names = BTreeSet::new();
    let mut places = BTreeMap::new();
    for route in &plan.routes {
        check_route(route, &services)?;
        if !names.insert(route.name.as_str()) {
            return Err(InvalidPlan::SameName {
                route: route.name.clone(),
            });
        }
        let place = (route.host.to_ascii_lowercase(), &route.prefix);
        if let Some(first) = places.insert(place, &route.name) {
            return Err(InvalidPlan::SamePlace {
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
        return Err(InvalidPlan::Place { route: name() });
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
