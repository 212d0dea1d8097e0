//! The declared resources and their versions, conflicts, retained answers and status.
