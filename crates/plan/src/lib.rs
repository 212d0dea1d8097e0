//! The data by which gateways route requests: the plan that operators declare, the instances of
//! upstreams that register themselves, and the failure domains that are evacuated.
//!
//! [`Steering`] is the replicated state with this data: every control replica applies the same
//! [`Change`]s in the same order, and gateways poll for what changed. [`RouteTable`] finds the
//! route of a request in a gateway.

mod change;
mod changes;
mod departures;
mod instance;
mod instances;
mod keep_alive;
mod model;
mod steering;
mod table;
mod tenant;
mod tenants;
mod validate;

pub use crate::{
    change::{Change, ChangeResult, DeclarationError, Document, PlanDeclaration},
    changes::PlanChanges,
    departures::BORN_AHEAD_MAX_MS,
    instance::{Instance, InstanceState, Registration, RegistrationStatus},
    keep_alive::{ConnectionPhase, KeepAlive},
    model::{Limits, Plan, RetrySafety, Route, ServiceTerms, WeightedService},
    steering::{INACTIVE_MAX, Steering, SteeringChanges},
    table::RouteTable,
    tenant::{InvalidDigest, KeyDigest, KeyUse, Tenant},
    tenants::TenantTable,
    validate::{InvalidPlan, validate},
};
