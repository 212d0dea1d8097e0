//! The settings of a daemon, read from INI and checked.
