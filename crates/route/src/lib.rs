//! Admission and the choice of an upstream for each request.

mod api;

pub use crate::api::{Ending, Input, Output, RequestId, Settled};
