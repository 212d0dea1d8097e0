//! The decisions of an entry: configuration lease, membership and routing.
