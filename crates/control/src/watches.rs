//! Watches.
