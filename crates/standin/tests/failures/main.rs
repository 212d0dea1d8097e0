//! Failures of the real processes: seven VMs on loopback addresses of each test's own.

mod controls;
mod entries;
mod leaving;
mod real;
