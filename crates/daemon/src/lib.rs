//! The daemon: sockets, files and timers round the cores of an entry and a control replica.
