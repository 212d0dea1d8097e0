//! The steering plan that operators declare, the instances that register themselves, and the failure
//! domains that are evacuated.
//!
//! [`Steering`] is the part of the replicated state that gateways follow: every replica applies the
//! same [`Change`]s in the same order. [`RouteTable`] finds the route of a request.

mod change;
mod changes;
mod instance;
mod model;
mod steering;
mod table;
mod validate;

pub use crate::{
    change::{Applied, Change, Document, PlanDeclaration, Refused},
    changes::PlanChanges,
    instance::{Instance, InstanceState, Registration, Verdict},
    model::{Limits, Part, Plan, Repeat, Route, ServiceTerms},
    steering::{GONE_MAX, Steering, SteeringChanges},
    table::RouteTable,
    validate::{InvalidPlan, validate},
};
