//! `explain`: what the logs of several processes say about one request.

use ctl::{explain, to_text};

const GATEWAY: &str = r#"
{"msg":"plan in force","level":"INFO","ts":"2026-01-20T01:56:00.5Z","node":"gateway-1","version":3,"revision":9}
{"msg":"plan in force","level":"INFO","ts":"2026-01-20T01:56:01.25Z","node":"gateway-1","version":7,"revision":12}
{"msg":"upstream changed","level":"INFO","ts":"2026-01-20T01:56:01Z","node":"gateway-1","upstream":"i-1","state":"ready"}
{"msg":"upstream changed","level":"INFO","ts":"2026-01-20T01:56:01Z","node":"gateway-1","upstream":"i-9","state":"ready"}
  2.97 edge {"msg":"attempt failed","level":"INFO","ts":"2026-01-20T01:56:02.1Z","node":"gateway-1","request":"055d","upstream":"i-1","ending":"broken","attempt":1}
{"msg":"attempt failed","level":"INFO","ts":"2026-01-20T01:56:02.09Z","node":"gateway-1","request":"77aa","upstream":"i-1","ending":"broken","attempt":1}
{"msg":"plan in force","level":"INFO","ts":"2026-01-20T01:56:03Z","node":"gateway-1","version":8,"revision":20}
{"msg":"attempt fai
"#;

const OTHER: &str = r#"
{"msg":"request refused","level":"INFO","ts":"2026-01-20T01:56:02.05Z","node":"gateway-2","request":"055d","cause":"overloaded"}
{"msg":"plan in force","level":"INFO","ts":"2026-01-20T01:56:00.1Z","node":"gateway-3","version":3,"revision":9}
"#;

#[test]
fn records_of_all_processes_are_joined_in_order_of_time() {
    let lines = GATEWAY.lines().chain(OTHER.lines());
    let explanation = explain("055d", lines).expect("the request is there");
    let events: Vec<&str> = explanation
        .events
        .iter()
        .map(|it| it.message.as_str())
        .collect();
    assert_eq!(events, ["request refused", "attempt failed"]);
    assert_eq!(explanation.unreadable_lines, 1);
}

#[test]
fn the_latest_relevant_state_before_the_request_is_included() {
    let explanation = explain("77aa", GATEWAY.lines()).expect("the request is there");
    let versions: Vec<_> = explanation
        .prior_states
        .iter()
        .filter_map(|it| it.fields.get("version"))
        .collect();
    assert_eq!(versions, [&serde_json::json!(7)]);
    let upstreams: Vec<_> = explanation
        .prior_states
        .iter()
        .filter_map(|it| it.fields.get("upstream"))
        .collect();
    assert_eq!(upstreams, [&serde_json::json!("i-1")]);
    let text = to_text(&explanation);
    assert!(
        text.contains("ending=broken") && text.contains("1 lines can't be read"),
        "{text}"
    );
}

#[test]
fn the_error_for_an_unknown_request_counts_the_lines() {
    let error = explain("beef", GATEWAY.lines()).expect_err("no such request");
    assert_eq!((error.lines, error.unreadable_lines), (8, 1));
}
