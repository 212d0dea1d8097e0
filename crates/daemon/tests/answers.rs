//! Answers of upstreams over real sockets: late, truncated, on reused connections, followed by
//! extra bytes, refused, or after the caller has disconnected. Every caller must get the complete
//! answer to its own request, or see that it has none. Invalid requests must get a typed error.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
};
use support::{
    Daemon, Upstream, answer, exchange, get, header, read_head, status, wait, whole_body, with_body,
};

/// Sends a request to the entry from a new thread, which returns the raw answer.
fn call(entry: SocketAddr, path: &str) -> JoinHandle<Vec<u8>> {
    let request = get(path);
    thread::spawn(move || exchange(entry, &request).expect("an answer"))
}

/// Calls like [`call`], once the entry knows the upstream and the region's share is granted: a
/// request sent earlier could be refused.
fn call_when_ready(daemon: &Daemon, path: &str) -> JoinHandle<Vec<u8>> {
    wait("the upstream is known", || {
        daemon.dump().contains("\"heard_here\":true")
    });
    wait("the region's share is granted", || {
        daemon.dump().contains("\"shares\":[{")
    });
    call(daemon.entry, path)
}

#[test]
fn a_truncated_body_is_not_passed_on_as_complete() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("browse", upstream.address);
    let truncated = [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nonly this\r\n",
    ];
    for answer in truncated {
        let caller = call_when_ready(&daemon, "/s/browse/a");
        let mut stream = upstream.accept();
        read_head(&mut stream).expect("the request");
        stream
            .write_all(answer.as_bytes())
            .expect("a part of the answer");
        drop(stream);
        let answer = caller.join().expect("the caller ended");
        assert_eq!(
            whole_body(&answer),
            None,
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
}

#[test]
fn a_late_answer_is_discarded_and_its_connection_is_not_reused() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    let first = call_when_ready(&daemon, "/s/payout/first");
    let mut late_stream = upstream.accept();
    read_head(&mut late_stream).expect("the request");
    let response = first.join().expect("the caller ended");
    assert_eq!(
        (status(&response), header(&response, "ow-outcome")),
        (504, "unknown".to_owned())
    );
    let second = call(daemon.entry, "/s/payout/second");
    let mut stream = upstream.accept();
    let _ = late_stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst");
    let head = read_head(&mut stream).expect("the second request on a connection of its own");
    assert!(head.starts_with("GET /second "), "{head}");
    answer(&mut stream, "second");
    let response = second.join().expect("the caller ended");
    assert_eq!(whole_body(&response).as_deref(), Some("second"));
}

#[test]
fn bytes_after_an_answer_are_not_taken_for_the_next_answer() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("browse", upstream.address);
    let first = call_when_ready(&daemon, "/s/browse/first");
    let mut stream = upstream.accept();
    read_head(&mut stream).expect("the request");
    let one = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    let both = format!("{one}first{one}stale");
    stream.write_all(both.as_bytes()).expect("two answers");
    let response = first.join().expect("the caller ended");
    assert_eq!(whole_body(&response).as_deref(), Some("first"));
    let second = call(daemon.entry, "/s/browse/second");
    let mut stream = upstream.accept();
    let head = read_head(&mut stream).expect("the second request on a connection of its own");
    assert!(head.starts_with("GET /second "), "{head}");
    answer(&mut stream, "second");
    let response = second.join().expect("the caller ended");
    assert_eq!(whole_body(&response).as_deref(), Some("second"));
}

#[test]
fn answers_on_a_reused_connection_go_to_the_right_callers() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("browse", upstream.address);
    let mut caller = call_when_ready(&daemon, "/s/browse/0");
    let mut stream = upstream.accept();
    for round in 0..5 {
        let head = read_head(&mut stream).expect("the request");
        assert!(head.starts_with(&format!("GET /{round} ")), "{head}");
        answer(&mut stream, &format!("answer {round}"));
        let response = caller.join().expect("the caller ended");
        assert_eq!(whole_body(&response), Some(format!("answer {round}")));
        assert_eq!(header(&response, "ow-outcome"), "finished");
        caller = call(daemon.entry, &format!("/s/browse/{}", round + 1));
    }
    let head = read_head(&mut stream).expect("the request");
    assert!(head.starts_with("GET /5 "), "{head}");
    answer(&mut stream, "last");
    assert_eq!(
        whole_body(&caller.join().expect("the caller ended")).as_deref(),
        Some("last")
    );
    assert!(!upstream.has_connection());
}

#[test]
fn a_caller_that_disconnects_cancels_the_request_at_the_upstream() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("browse", upstream.address);
    wait("the upstream is known", || {
        daemon.dump().contains("\"heard_here\":true")
    });
    wait("the region's share is granted", || {
        daemon.dump().contains("\"shares\":[{")
    });
    let mut caller = TcpStream::connect(daemon.entry).expect("a connection");
    caller
        .write_all(get("/s/browse/a").as_bytes())
        .expect("the request is written");
    let mut stream = upstream.accept();
    read_head(&mut stream).expect("the request");
    drop(caller);
    let mut byte = [0];
    assert!(matches!(stream.read(&mut byte), Ok(0) | Err(_)));
    wait("nothing is in flight", || {
        daemon.dump().contains("\"in_flight\":0")
    });
}

#[test]
fn a_request_that_its_upstream_refuses_ends_as_did_not_run() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    let caller = call_when_ready(&daemon, "/s/payout/a");
    let refusing = thread::spawn(move || {
        let mut refused = 0;
        let mut stream = upstream.accept();
        while let Some(head) = read_head(&mut stream) {
            let attempt = head.lines().find(|line| line.starts_with("ow-request: "));
            let attempt = attempt.expect("the attempt is named");
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\n{attempt}\r\now-did-not-run: true\r\ncontent-length: 0\r\n\r\n"
            );
            if stream.write_all(refusal.as_bytes()).is_err() {
                break;
            }
            refused += 1;
        }
        refused
    });
    let response = caller.join().expect("the caller ended");
    assert_eq!(
        (status(&response), header(&response, "ow-outcome")),
        (503, "did-not-run".to_owned())
    );
    drop(daemon);
    assert!(refusing.join().expect("the upstream ended") >= 1);
}

// Guards against a refusal that an upstream writes once more on a kept connection: the request that it had run
// was sent to it again, and its caller was told that it did not run.
#[test]
fn a_repeated_refusal_does_not_say_that_another_request_did_not_run() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    for named in ["", "ow-request: another\r\n"] {
        let first = call_when_ready(&daemon, "/s/payout/first");
        let mut stream = upstream.accept();
        read_head(&mut stream).expect("the request");
        answer(&mut stream, "first");
        first.join().expect("the caller ended");
        let second = call(daemon.entry, "/s/payout/second");
        let running = thread::spawn(move || {
            let mut runs = 0;
            while read_head(&mut stream).is_some() {
                runs += 1;
                let refusal = format!(
                    "HTTP/1.1 503 Busy\r\n{named}ow-did-not-run: true\r\ncontent-length: 0\r\n\r\n"
                );
                if stream.write_all(refusal.as_bytes()).is_err() {
                    break;
                }
            }
            runs
        });
        let response = second.join().expect("the caller ended");
        let told = (status(&response), header(&response, "ow-outcome"));
        let runs = running.join().expect("the upstream ended");
        assert_eq!((told, runs), ((504, "unknown".to_owned()), 1), "{named:?}");
    }
}

// Guards against an upstream's answer to a request that it ran, from which a caller reads that the request did not
// run, or that another one did.
#[test]
fn only_the_entry_says_what_became_of_a_request() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    for status_line in ["200 OK", "500 Failed", "503 Busy"] {
        let caller = call_when_ready(&daemon, "/s/payout/a");
        let mut stream = upstream.accept();
        read_head(&mut stream).expect("the request");
        let claims = "ow-outcome: did-not-run\r\now-refusal: overloaded\r\now-replayed: true\r\n";
        let stated = match status_line {
            "503 Busy" => "ow-did-not-run: false\r\n",
            _ => "ow-did-not-run: true\r\n",
        };
        let answer = format!(
            "HTTP/1.1 {status_line}\r\n{claims}{stated}connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let written = stream.write_all(answer.as_bytes());
        written.expect("the answer is written");
        drop(stream);
        let response = caller.join().expect("the caller ended");
        let head = String::from_utf8_lossy(&response);
        assert_eq!(header(&response, "ow-outcome"), "finished", "{head}");
        for name in ["ow-refusal", "ow-replayed", "ow-did-not-run"] {
            assert!(!head.contains(name), "{status_line}: {head}");
        }
        assert!(!upstream.has_connection(), "{status_line}");
    }
}

#[test]
fn a_broken_attempt_of_a_non_idempotent_request_is_unknown_and_not_retried() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    let caller = call_when_ready(&daemon, "/s/payout/a");
    let mut stream = upstream.accept();
    read_head(&mut stream).expect("the request");
    drop(stream);
    let response = caller.join().expect("the caller ended");
    assert_eq!(
        (status(&response), header(&response, "ow-outcome")),
        (504, "unknown".to_owned())
    );
    assert!(!upstream.has_connection());
}

#[test]
fn a_resend_with_the_same_key_gets_the_stored_answer() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    wait("the upstream is known", || {
        daemon.dump().contains("\"heard_here\":true")
    });
    wait("the region's share is granted", || {
        daemon.dump().contains("\"shares\":[{")
    });
    let request = with_body("POST", "/s/payout/a", "idempotency-key: k1\r\n", "pay");
    let (entry, first) = (daemon.entry, request.clone());
    let caller = thread::spawn(move || exchange(entry, &first).expect("an answer"));
    let mut stream = upstream.accept();
    let head = read_head(&mut stream).expect("the request");
    assert!(head.contains("content-length: 3"), "{head}");
    let mut body = [0; 3];
    stream.read_exact(&mut body).expect("the body");
    answer(&mut stream, "paid");
    assert_eq!(
        whole_body(&caller.join().expect("the caller ended")).as_deref(),
        Some("paid")
    );
    let again = exchange(daemon.entry, &request).expect("an answer");
    assert_eq!(whole_body(&again).as_deref(), Some("paid"));
    assert_eq!(header(&again, "ow-replayed"), "true");
    assert!(!upstream.has_connection());
}

#[test]
fn invalid_input_gets_a_typed_error_and_the_daemon_keeps_running() {
    let daemon = Daemon::start();
    let large = "x".repeat(2 * 1024 * 1024);
    let cases = [
        (
            daemon.entry,
            with_body("PUT", "/v1/upstreams/a", "", "{"),
            400,
            "malformed_json",
        ),
        (
            daemon.entry,
            with_body("PUT", "/v1/upstreams/A", "", "{}"),
            400,
            "invalid_name",
        ),
        (
            daemon.entry,
            with_body("PUT", "/v1/upstreams/a", "", &large),
            413,
            "body_too_large",
        ),
        (
            daemon.entry,
            with_body("POST", "/v1/lookup/browse", "", ""),
            405,
            "method_not_allowed",
        ),
        (daemon.entry, get("/v1/lookup/none"), 404, "not_found"),
        (daemon.entry, get("/nowhere"), 404, "not_found"),
        (
            daemon.control,
            get("/v1/resources/regio"),
            404,
            "unknown_kind",
        ),
        (
            daemon.control,
            with_body("POST", "/v1/apply", "", "[1"),
            400,
            "malformed_json",
        ),
        (
            daemon.control,
            with_body("POST", "/v1/apply", "", &large),
            413,
            "body_too_large",
        ),
    ];
    for (address, request, code, error) in cases {
        let answer = exchange(address, &request).expect("an answer");
        let text = String::from_utf8_lossy(&answer);
        assert_eq!(status(&answer), code, "{text}");
        assert!(text.contains(&format!("\"type\":\"{error}\"")), "{text}");
    }
    assert_eq!(
        status(&exchange(daemon.entry, &get("/ready")).expect("an answer")),
        200
    );
}

#[test]
fn every_oversized_body_gets_an_answer() {
    const REQUESTS: usize = 40;
    let daemon = Daemon::start();
    let large = "x".repeat(4 * 1024 * 1024);
    for request in [
        with_body("PUT", "/v1/upstreams/a", "", &large),
        with_body("POST", "/s/payout/a", "", &large),
    ] {
        for _ in 0..REQUESTS {
            let answer = exchange(daemon.entry, &request).expect("an answer");
            let text = String::from_utf8_lossy(&answer);
            assert_eq!(status(&answer), 413, "{text}");
        }
    }
}

#[test]
fn a_rejected_request_reports_its_outcome() {
    let daemon = Daemon::start();
    let key = "idempotency-key: a\r\n";
    let cases = [
        ("/s/No_Name/a", "", 400, "did-not-run"),
        (
            "/s/browse/a",
            "ow-deadline-ms: soon\r\n",
            400,
            "did-not-run",
        ),
        ("/s/No_Name/a", key, 400, "unknown"),
    ];
    for (path, headers, code, outcome) in cases {
        let request = with_body("POST", path, headers, "");
        let answer = exchange(daemon.entry, &request).expect("an answer");
        assert_eq!(status(&answer), code);
        assert_eq!(header(&answer, "ow-outcome"), outcome, "{path} {headers}");
    }
}

// Statuses from 600 to 999 and 101 were passed on to the caller as answers.
#[test]
fn an_answer_without_a_final_status_is_unknown_and_not_retried() {
    let daemon = Daemon::start();
    let upstream = Upstream::new();
    let _announcing = daemon.announce("payout", upstream.address);
    for invalid in ["000", "099", "100", "101", "600", "999", "abc", ""] {
        let caller = call_when_ready(&daemon, "/s/payout/a");
        let mut stream = upstream.accept();
        read_head(&mut stream).expect("the request");
        let answer = format!("HTTP/1.1 {invalid} Odd\r\ncontent-length: 0\r\n\r\n");
        let written = stream.write_all(answer.as_bytes());
        written.expect("the answer is written");
        // Only an interim answer may be followed by another one.
        drop(stream);
        let response = caller.join().expect("the caller ended");
        assert_eq!(
            (status(&response), header(&response, "ow-outcome")),
            (504, "unknown".to_owned()),
            "{invalid:?}"
        );
        assert!(!upstream.has_connection(), "{invalid:?}");
    }
}
