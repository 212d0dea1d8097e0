//! Which answers of upstreams are taken for a refusal of the attempt.

use proptest::prelude::*;
use route::{AnswerHead, Ending};
use types::IdMatch;

const ID_MATCHES: [IdMatch; 4] = [
    IdMatch::Same,
    IdMatch::BothAbsent,
    IdMatch::Missing,
    IdMatch::Other,
];

proptest! {
    // Guards against a copy of an earlier refusal that sends a request again which has run.
    #[test]
    fn only_a_refusal_of_the_attempt_counts(
        states_not_run in any::<bool>(),
        id_match in prop::sample::select(&ID_MATCHES[..]),
        is_on_used_connection in any::<bool>(),
    ) {
        let head = AnswerHead { states_not_run, id_match, is_on_used_connection };
        let names_none = matches!(id_match, IdMatch::BothAbsent | IdMatch::Missing);
        let can_be_a_copy = id_match == IdMatch::Other || names_none && is_on_used_connection;
        let expected = match (states_not_run, can_be_a_copy) {
            (false, _) => None,
            (true, true) => Some(Ending::Broken),
            (true, false) => Some(Ending::Refused),
        };
        prop_assert_eq!(head.ending(), expected);
    }
}
