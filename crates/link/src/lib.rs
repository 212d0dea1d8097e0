//! Framed connections between the system's own processes.
