//! The decisions of a control replica: the replicated log over the declared resources.
