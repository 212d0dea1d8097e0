//! Requests that wait.
