//! The table of announced upstreams and its exchange between entries.
