//! Compares the ID that an answer names with the ID of what was sent.

/// How the ID in an answer compares with that of the attempt that it should answer. Without the same ID,
/// an answer may be a copy of an earlier one on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdMatch {
    /// The answer names the attempt.
    Same,
    /// The attempt has no ID, and the answer names none.
    BothAbsent,
    /// The attempt has an ID, but the answer names none.
    Missing,
    /// The answer names another attempt.
    Other,
}

impl IdMatch {
    /// Compares the ID in an answer with the ID that was sent.
    pub fn of<T: PartialEq>(answered: Option<T>, sent: Option<T>) -> Self {
        match (answered, sent) {
            (Some(answered), Some(sent)) if answered == sent => Self::Same,
            (Some(_), _) => Self::Other,
            (None, Some(_)) => Self::Missing,
            (None, None) => Self::BothAbsent,
        }
    }
}
