//! Files of a control replica: the checksummed log and its snapshots.
