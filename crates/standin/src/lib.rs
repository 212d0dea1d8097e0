//! Stand-ins for callers and upstreams, the demo and the checks over real processes.
