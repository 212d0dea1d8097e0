//! Runs the commands against a control replica in the same process.

mod replica;

use ctl::{Args, CtlError, ExitCode, Parsed, parse, run};
use replica::{Fault, Replica, start};
use serde_json::Value;
use std::{ffi::OsString, fs, path::Path};
use tempfile::TempDir;
use types::ApiError;

const DECLARATIONS: &str = r#"
[region.gauteng]
capacity_slots = 60
failure_domains = ["gauteng-a", "gauteng-b"]

[region.kzn]
capacity_slots = 60
failure_domains = ["kzn-a"]

[link.gauteng-kzn]
a = "gauteng"
b = "kzn"
limit_kbps = 300000
delay_us = 12000

[service.browse]
regions = ["gauteng", "kzn"]
idempotent = true
priority = "browse"
deadline_ms = 2000
answer_bytes = 20000

[drain.w1]
target = { type = "upstream", name = "w1" }
"#;

/// A temporary folder with one file of declarations.
fn folder(text: &str) -> TempDir {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join("all.toml"), text).expect("written");
    folder
}

fn args(servers: &[&str], words: &[&str]) -> Args {
    let servers = ["--servers".to_owned(), servers.join(",")];
    let words = words.iter().map(|word| (*word).to_owned());
    match parse(servers.into_iter().chain(words).map(OsString::from)) {
        Ok(Parsed::Run(args)) => args,
        other => panic!("no command: {other:?}"),
    }
}

/// Runs a command; returns its output and its result.
async fn ctl(servers: &[&str], words: &[&str]) -> (String, Result<ExitCode, CtlError>) {
    let mut out = Vec::new();
    let result = run(&args(servers, words), &mut out).await;
    (String::from_utf8(out).expect("text"), result)
}

/// Runs a command that must succeed; returns its output.
async fn run_ok(replica: &Replica, words: &[&str]) -> String {
    let (out, result) = ctl(&[&replica.address], words).await;
    assert_eq!(result.expect("no error"), ExitCode::Done, "{out}");
    out
}

fn path(folder: &TempDir) -> &str {
    Path::to_str(folder.path()).expect("a path")
}

#[tokio::test]
async fn diff_apply_and_prune_of_a_folder_agree() {
    let replica = start().await;
    let files = folder(DECLARATIONS);
    let diff = ["diff", "-f", path(&files)];
    let (out, result) = ctl(&[&replica.address], &diff).await;
    assert_eq!(result.expect("no error"), ExitCode::Different);
    assert_eq!(out.lines().filter(|line| line.starts_with("+ ")).count(), 5);
    let dry = run_ok(&replica, &["apply", "-f", path(&files), "--dry-run"]).await;
    assert!(dry.contains("dry run"));
    assert_eq!(run_ok(&replica, &["get"]).await.lines().count(), 1);
    let out = run_ok(&replica, &["apply", "-f", path(&files)]).await;
    assert_eq!(out.matches("created").count(), 5);
    assert_eq!(run_ok(&replica, &diff).await, "");
    let fewer = DECLARATIONS.replace("60", "61");
    let (fewer, _) = fewer.split_once("[drain").expect("a drain");
    let files = folder(fewer);
    let (out, _) = ctl(&[&replica.address], &["diff", "-f", path(&files)]).await;
    assert!(out.contains("~ region/kzn capacity_slots: 60 -> 61\n"));
    assert!(out.contains("- drain/w1\n"));
    let out = run_ok(
        &replica,
        &["apply", "--prune", "--json", "-f", path(&files)],
    )
    .await;
    let applied: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(applied["withdrawn"], serde_json::json!(["drain/w1"]));
    assert_eq!(applied["unchanged"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn a_repeated_drain_changes_nothing_and_undrain_withdraws_it() {
    let replica = start().await;
    let out = run_ok(&replica, &["drain", "upstream", "w1"]).await;
    assert_eq!(run_ok(&replica, &["drain", "upstream", "w1"]).await, out);
    let got = run_ok(&replica, &["get", "drain", "upstream-w1"]).await;
    assert!(got.contains("in_force"));
    run_ok(&replica, &["watch", "--until-in-force"]).await;
    run_ok(&replica, &["undrain", "upstream", "w1"]).await;
    let (_, withdrawn) = ctl(&[&replica.address], &["get", "drain", "upstream-w1"]).await;
    assert_eq!(
        withdrawn.expect_err("withdrawn").exit_code(),
        ExitCode::Failed
    );
    assert!(
        run_ok(&replica, &["replicas"])
            .await
            .contains("control-1#1")
    );
}

#[tokio::test]
async fn a_request_whose_answer_is_lost_is_retried_with_the_same_bytes() {
    let replica = start().await;
    let faults = [Fault::LoseAnswer, Fault::Refuse(ApiError::Unavailable)];
    replica.faults.lock().expect("not poisoned").extend(faults);
    let files = folder(DECLARATIONS);
    let out = run_ok(&replica, &["apply", "-f", path(&files)]).await;
    assert_eq!(out.matches("created").count(), 5, "the first answer: {out}");
    let bodies = replica.bodies.lock().expect("not poisoned").clone();
    assert_eq!(bodies.len(), 3);
    assert!(bodies.iter().all(|body| *body == bodies[0]));
}

#[tokio::test]
async fn a_request_follows_not_leader_to_the_named_leader() {
    let (leader, other) = (start().await, start().await);
    let not_leader = ApiError::NotLeader {
        leader: Some(leader.address.clone()),
    };
    let fault = Fault::Refuse(not_leader);
    other.faults.lock().expect("not poisoned").push_back(fault);
    run_ok(&leader, &["drain", "upstream", "x"]).await;
    let out = run_ok(&other, &["get"]).await;
    assert!(out.contains("drain/upstream-x"));
}

#[tokio::test]
async fn each_failure_has_its_exit_code() {
    let replica = start().await;
    let exit_code = |result: Result<ExitCode, CtlError>| result.expect_err("an error").exit_code();
    let (_, unreachable) = ctl(&["127.0.0.1:1"], &["--timeout", "1", "get"]).await;
    assert_eq!(exit_code(unreachable), ExitCode::Unreachable);
    let unknown = folder("[link.x]\na = \"p\"\nb = \"q\"\nlimit_kbps = 1\ndelay_us = 1\n");
    let (_, invalid) = ctl(&[&replica.address], &["apply", "-f", path(&unknown)]).await;
    assert_eq!(exit_code(invalid), ExitCode::Usage);
    let conflict = ApiError::Conflict {
        key: "region/x".parse().expect("a valid key"),
        current_version: 2,
    };
    let fault = Fault::Refuse(conflict);
    replica
        .faults
        .lock()
        .expect("not poisoned")
        .push_back(fault);
    let (_, conflict) = ctl(&[&replica.address], &["drain", "upstream", "w1"]).await;
    assert_eq!(exit_code(conflict), ExitCode::Conflict);
    let entry = "[region.r]\ncapacity_slots = 1\nfailure_domains = [\"d\"]\n[entry.e]\n\
        region = \"r\"\nfailure_domain = \"d\"\naddress = \"127.0.0.1:1\"\n\
        peer_address = \"127.0.0.1:2\"\n";
    run_ok(&replica, &["apply", "-f", path(&folder(entry))]).await;
    let wait = ["watch", "--until-in-force", "--timeout", "1"];
    let (out, late) = ctl(&[&replica.address], &wait).await;
    assert_eq!(exit_code(late), ExitCode::NotInForce);
    assert!(out.contains("entry/e"), "{out}");
    let unavailable = std::iter::repeat_n(Fault::Refuse(ApiError::Unavailable), 100);
    replica
        .faults
        .lock()
        .expect("not poisoned")
        .extend(unavailable);
    let (_, outcome_unknown) = ctl(
        &[&replica.address],
        &["--timeout", "1", "drain", "upstream", "w1"],
    )
    .await;
    assert!(matches!(
        outcome_unknown,
        Err(CtlError::OutcomeUnknown { .. })
    ));
}
