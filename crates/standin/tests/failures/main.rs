//! Tests that make the real daemons fail under load and check the invariants. Each test starts
//! the daemons of seven VMs on loopback addresses of its own.

mod controls;
mod entries;
mod leaving;
mod real;
