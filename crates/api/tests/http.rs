//! Parsing of HTTP requests into typed ones, and encoding of answers and errors.

use api::{
    BODY_MAX_BYTES, HttpRequest, PLAN_MAX_BYTES, WATCH_MAX_MS, encode, lookup_client, parse,
};
use control::{Answer, Request};
use plan::{Change, Document};
use serde_json::{Value, json};
use state::{Operation, ResourceList};
use types::{ApiError, Kind};

fn parse_request(method: &str, target: &str, body: &[u8]) -> Result<Request, ApiError> {
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    parse(&HttpRequest {
        method,
        path,
        query,
        body,
    })
}

fn parse_json(method: &str, target: &str, body: Value) -> Result<Request, ApiError> {
    parse_request(method, target, body.to_string().as_bytes())
}

fn status_and_type(answer: Result<Request, ApiError>) -> (u16, String) {
    let error = answer.expect_err("an error");
    let body = encode(&Err(error));
    let value: Value = serde_json::from_slice(&body.body).expect("JSON");
    assert!(value["error"]["message"].is_string());
    let name = value["error"]["type"].as_str().expect("a type").to_owned();
    (body.status_code, name)
}

#[test]
fn each_path_and_method_parses_to_its_request() {
    let key = "region/gauteng".parse().expect("a valid key");
    assert_eq!(
        parse_request("GET", "/v1/resources", b""),
        Ok(Request::List { kind: None })
    );
    let regions = Request::List {
        kind: Some(Kind::Region),
    };
    assert_eq!(
        parse_request("GET", "/v1/resources/region", b""),
        Ok(regions)
    );
    assert_eq!(
        parse_request("GET", "/v1/resources/region/gauteng", b""),
        Ok(Request::Get { key })
    );
    assert_eq!(
        parse_request("GET", "/v1/replicas", b""),
        Ok(Request::Replicas)
    );
    assert_eq!(parse_request("GET", "/v1/plan", b""), Ok(Request::ReadPlan));
    let domain = || "east-a".parse().expect("a valid name");
    assert_eq!(
        parse_request("PUT", "/v1/evacuations/east-a", b""),
        Ok(Request::Steer {
            change: Change::Evacuate { domain: domain() }
        })
    );
    assert_eq!(
        parse_request("DELETE", "/v1/evacuations/east-a", b""),
        Ok(Request::Steer {
            change: Change::EndEvacuation { domain: domain() }
        })
    );
    let watch = Request::Watch {
        from: 7,
        wait_ms: WATCH_MAX_MS,
    };
    assert_eq!(
        parse_request("GET", "/v1/watch?from=7&wait_ms=99999999", b""),
        Ok(watch)
    );
    let admit = json!({"name": "control-1", "incarnation": u64::MAX,
        "replaces": {"name": "control-1", "incarnation": 1}});
    assert!(matches!(
        parse_json("POST", "/v1/replicas", admit),
        Ok(Request::Admit { id, replaces: Some(_) }) if id.incarnation == u64::MAX
    ));
}

#[test]
fn request_bodies_parse_to_changes() {
    let spec = json!({"capacity_slots": 60, "failure_domains": ["gauteng-a"]});
    let put = json!({"request_id": "r1", "based_on": 0, "spec": spec});
    let Ok(Request::Change {
        request_id,
        operation: Operation::Put(declaration),
    }) = parse_json("PUT", "/v1/resources/region/gauteng", put)
    else {
        panic!("no change");
    };
    assert_eq!((request_id.as_str(), declaration.based_on), ("r1", Some(0)));
    let delete = json!({"request_id": "r2", "based_on": 1});
    assert!(parse_json("DELETE", "/v1/resources/region/gauteng", delete).is_ok());
    let change = json!({"kind": "region", "name": "gauteng", "spec": spec});
    let apply = |dry_run: bool| json!({"request_id": "r3", "prune": true, "dry_run": dry_run, "changes": [change]});
    let Ok(Request::Preview { operation }) = parse_json("POST", "/v1/apply", apply(true)) else {
        panic!("no preview");
    };
    let change = Request::Change {
        request_id: "r3".to_owned(),
        operation,
    };
    assert_eq!(parse_json("POST", "/v1/apply", apply(false)), Ok(change));
}

#[test]
fn invalid_requests_get_typed_errors() {
    let big = vec![b' '; BODY_MAX_BYTES + 1];
    let put = |body: &str| parse_request("PUT", "/v1/resources/region/gauteng", body.as_bytes());
    let spec = r#"{"capacity_slots":"many","failure_domains":[]}"#;
    let cases = [
        (
            parse_request("GET", "/v2/resources", b""),
            (404, "not_found"),
        ),
        (
            parse_request("GET", "/v1/resources/a/b/c", b""),
            (404, "not_found"),
        ),
        (
            parse_request("GET", "/v1/resources/regio", b""),
            (404, "unknown_kind"),
        ),
        (
            parse_request("GET", "/v1/resources/region/A%20", b""),
            (400, "invalid_name"),
        ),
        (
            parse_request("POST", "/v1/resources", b""),
            (405, "method_not_allowed"),
        ),
        (
            parse_request("DELETE", "/v1/watch", b""),
            (405, "method_not_allowed"),
        ),
        (
            parse_request("GET", "/v1/watch?from=x", b""),
            (400, "invalid_query"),
        ),
        (
            parse_request("GET", "/v1/watch?since=1", b""),
            (400, "invalid_query"),
        ),
        (put("{"), (400, "malformed_json")),
        (
            put(r#"{"request_id":"a","based_on":0}"#),
            (400, "malformed_json"),
        ),
        (
            put(&format!(
                r#"{{"request_id":"a","based_on":0,"spec":{spec}}}"#
            )),
            (400, "malformed_json"),
        ),
        (
            put(r#"{"request_id":"","based_on":0,"spec":{}}"#),
            (400, "invalid_request_id"),
        ),
        (
            parse_request("POST", "/v1/apply", &big),
            (413, "body_too_large"),
        ),
    ];
    for (number, (answer, (status_code, name))) in cases.into_iter().enumerate() {
        assert_eq!(
            status_and_type(answer),
            (status_code, name.to_owned()),
            "case {number}"
        );
    }
}

#[test]
fn answers_have_the_documented_form() {
    let list = Answer::List(ResourceList {
        revision: 17,
        items: Vec::new(),
    });
    let answer = encode(&Ok(list));
    assert_eq!(answer.status_code, 200);
    assert_eq!(answer.body, br#"{"revision":17,"items":[]}"#);
    let conflict = encode(&Err(ApiError::Conflict {
        key: "region/gauteng".parse().expect("a valid key"),
        current_version: 4,
    }));
    let value: Value = serde_json::from_slice(&conflict.body).expect("JSON");
    assert_eq!(conflict.status_code, 409);
    assert_eq!(value["error"]["type"], "conflict");
    assert_eq!(
        value["error"]["details"],
        json!({"key": {"kind": "region", "name": "gauteng"}, "current_version": 4})
    );
}

#[test]
fn a_look_up_names_one_client_or_none() {
    assert_eq!(lookup_client(None), Ok(None));
    assert_eq!(lookup_client(Some("")), Ok(None));
    let client = "2001:db8::1".parse().expect("an address");
    for query in ["client=2001:db8::1", "client=2001%3Adb8%3a%3A1"] {
        assert_eq!(lookup_client(Some(query)), Ok(Some(client)));
    }
    for query in [
        "client",
        "client=",
        "client=10.0.0",
        "client=10.0.0.1:80",
        "klient=10.0.0.1",
    ] {
        let (parameter, _) = query.split_once('=').unwrap_or((query, ""));
        let parameter = parameter.to_owned();
        let expected = ApiError::InvalidQuery { parameter };
        assert_eq!(lookup_client(Some(query)), Err(expected));
    }
}

fn plan_body(routes: &Value) -> Value {
    json!({"based_on": 5, "plan": {
        "version": 7, "routes": routes, "services": [],
        "limits": {"header_max_bytes": 1, "body_max_bytes": 2, "header_timeout_ms": 3,
            "idle_timeout_ms": 4},
    }})
}

#[test]
fn a_plan_is_declared_in_the_native_form() {
    let request = parse_json("PUT", "/v1/plan", plan_body(&json!([])));
    let Ok(Request::Steer {
        change: Change::Declare(declaration),
    }) = request
    else {
        panic!("not declared: {request:?}");
    };
    assert_eq!((declaration.based_on, declaration.plan.version), (5, 7));
    assert_eq!(declaration.document, Document::Own);
    let incomplete = parse_json("PUT", "/v1/plan", plan_body(&json!([{"name": "r"}])));
    assert_eq!(
        status_and_type(incomplete),
        (400, "malformed_json".to_owned())
    );
    let too_large = vec![b' '; PLAN_MAX_BYTES + 1];
    let too_large = parse_request("PUT", "/v1/plan", &too_large);
    assert_eq!(
        status_and_type(too_large),
        (413, "body_too_large".to_owned())
    );
    let method = parse_request("POST", "/v1/plan", b"");
    assert_eq!(
        status_and_type(method),
        (405, "method_not_allowed".to_owned())
    );
}
