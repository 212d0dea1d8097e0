//! Answers to gateways are equal after deflating and inflating, and large ones get much smaller.

use proptest::prelude::*;
use prost::Message;
use wire::{follow_answer_from_wire, follow_answer_to_wire, peer::FollowAnswer};

/// JSON of `count` routes that differ in few characters.
fn routes(count: usize) -> Vec<u8> {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}","host":"hulo84.example","prefix":"/p{n}/","repeat":"idempotent",
            "timeout_ms":1500,"target_ms":400,"priority":2,"attempts_max":2,"sticky":true}}"#
        )
    };
    let routes: Vec<String> = (0..count).map(route).collect();
    format!("[{}]", routes.join(",")).into_bytes()
}

#[test]
fn many_routes_deflate_to_less_than_a_tenth() {
    let json = routes(1_400);
    let answer = follow_answer_to_wire(json.clone()).expect("it can be deflated");
    assert!(10 * answer.encoded_len() < json.len());
    let read = follow_answer_from_wire(&answer).expect("it can be inflated");
    assert_eq!(*read, json);
}

#[test]
fn invalid_deflated_bytes_are_an_error() {
    let answer = FollowAnswer {
        answer_json: Vec::new(),
        answer_json_deflated: vec![0xff; 40],
    };
    assert!(follow_answer_from_wire(&answer).is_err());
}

proptest! {
    #[test]
    fn answers_round_trip(json in prop::collection::vec(any::<u8>(), 0..4_096)) {
        let answer = follow_answer_to_wire(json.clone()).expect("it can be deflated");
        let read = follow_answer_from_wire(&answer).expect("it can be inflated");
        prop_assert_eq!(&*read, &json[..]);
    }
}
