//! The story of a request from logs.

use ctl::{explain, tell};

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
fn a_story_joins_the_records_of_all_processes_in_order() {
    let lines = GATEWAY.lines().chain(OTHER.lines());
    let story = explain("055d", lines).expect("the request is there");
    let events: Vec<&str> = story.events.iter().map(|it| it.message.as_str()).collect();
    assert_eq!(events, ["request refused", "attempt failed"]);
    assert_eq!(story.damaged, 1);
}

#[test]
fn a_story_tells_the_latest_beliefs_that_bear_on_the_request() {
    let story = explain("77aa", GATEWAY.lines()).expect("the request is there");
    let versions: Vec<_> = story
        .beliefs
        .iter()
        .filter_map(|it| it.fields.get("version"))
        .collect();
    assert_eq!(versions, [&serde_json::json!(7)]);
    let upstreams: Vec<_> = story
        .beliefs
        .iter()
        .filter_map(|it| it.fields.get("upstream"))
        .collect();
    assert_eq!(upstreams, [&serde_json::json!("i-1")]);
    let text = tell(&story);
    assert!(
        text.contains("ending=broken") && text.contains("1 lines can't be read"),
        "{text}"
    );
}

#[test]
fn a_request_that_no_record_names_is_an_error_that_counts_the_lines() {
    let error = explain("beef", GATEWAY.lines()).expect_err("no such request");
    assert_eq!((error.lines, error.damaged), (8, 1));
}
