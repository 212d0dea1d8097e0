//! Tests of the stand-ins against a fake entry: the checker finds each fault of the entry, and
//! upstreams and relays behave as the failure tests assume.

mod support;

use standin::{
    caller::{Callers, Load},
    checker::{History, Invariant, Verdict, check},
    clock::Clock,
    condition::{Pending, wait_until},
    http::Connection,
    record::RunState,
    relay::{Mode, Relay},
    upstream::{Upstream, UpstreamSpec},
};
use std::{net::SocketAddr, time::Duration};
use support::{FakeEntry, Fault};
use types::{DomainName, RegionName, ServiceName, UpstreamName, UpstreamState};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_BYTES: usize = 9_000;

fn spec(host: u8, slots: u32, service_time: Duration) -> UpstreamSpec {
    UpstreamSpec {
        name: UpstreamName::new("order-1").unwrap(),
        service: ServiceName::new("order").unwrap(),
        address: SocketAddr::from(([127, 90, 0, host], 9_000)),
        region: RegionName::new("gauteng").unwrap(),
        failure_domain: DomainName::new("gauteng-a").unwrap(),
        slots,
        connections: 10,
        service_time,
        answer_bytes: ANSWER_BYTES,
    }
}

fn load() -> Load {
    Load {
        service: ServiceName::new("order").unwrap(),
        idempotent: false,
        callers: 1,
        interval: Duration::from_millis(1),
        deadline: Duration::from_secs(2),
        answer_bytes: ANSWER_BYTES,
        attempts_max: 1,
        fixed_entry: None,
    }
}

async fn verdict_with(fault: Fault, host: u8) -> Verdict {
    let clock = Clock::new();
    let spec = spec(host, 3, Duration::from_millis(1));
    let entry = FakeEntry::start(fault, spec.address).await;
    let upstream = Upstream::start(spec, &[entry.address], clock)
        .await
        .unwrap();
    let callers = Callers::start(&[load()], &[entry.address], clock);
    wait_until("three requests to end", WAIT_TIMEOUT, || async {
        match callers.progress().ended {
            3.. => Ok(()),
            ended => Err(Pending::new(ended)),
        }
    })
    .await
    .unwrap();
    let requests = callers.stop().await;
    check(&History {
        requests: &requests,
        runs: &upstream.runs().await,
        failures: &[],
        departures: &[],
    })
}

#[tokio::test]
async fn an_entry_without_fault_holds() {
    let verdict = verdict_with(Fault::None, 1).await;
    assert!(verdict.passed(), "{verdict:?}");
}

#[tokio::test]
async fn each_fault_of_an_entry_is_found() {
    let faults = [
        (Fault::RunsTwice, Invariant::RunTwice),
        (Fault::DeniesTheRun, Invariant::DidNotRun),
        (Fault::SwapsTheAnswer, Invariant::OwnAnswer),
        (Fault::TruncatesTheAnswer, Invariant::WholeAnswer),
        (Fault::ClosesTheConnection, Invariant::CutOff),
    ];
    for (host, (fault, invariant)) in (10..).zip(faults) {
        let verdict = verdict_with(fault, host).await;
        assert!(verdict.count(invariant) > 0, "{fault:?}: {verdict:?}");
        assert!(!verdict.passed(), "{fault:?}");
    }
}

#[tokio::test]
async fn an_upstream_announces_itself_renews_and_leaves() {
    let spec = spec(2, 3, Duration::from_millis(1));
    let mut entry = FakeEntry::start(Fault::None, spec.address).await;
    let unreachable = SocketAddr::from(([127, 90, 0, 200], 1));
    let upstream = Upstream::start(spec, &[unreachable, entry.address], Clock::new())
        .await
        .unwrap();
    let first = entry.wait_for_announcement(UpstreamState::Ready).await;
    let renewed = entry.wait_for_announcement(UpstreamState::Ready).await;
    assert!(renewed.sequence > first.sequence);
    assert_eq!(renewed.epoch_ms, first.epoch_ms);
    upstream.leave().await.unwrap();
    entry.wait_for_announcement(UpstreamState::Leaving).await;
    upstream.wait_until_idle().await;
}

fn run_request(number: u64) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    hyper::Request::builder()
        .uri(format!("/run?request={number}&attempt=1"))
        .header("host", "upstream")
        .body(http_body_util::Full::default())
        .unwrap()
}

async fn wait_for_runs(upstream: &Upstream, expected: &[RunState]) {
    wait_until("the expected states of the runs", WAIT_TIMEOUT, || async {
        let runs = upstream.runs().await;
        let states: Vec<RunState> = runs.iter().map(|run| run.state).collect();
        if states == expected {
            return Ok(());
        }
        Err(Pending::new(format!("{states:?}")))
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn an_upstream_refuses_above_its_slots_and_records_an_aborted_run() {
    let spec = spec(3, 1, WAIT_TIMEOUT);
    let address = spec.address;
    let upstream = Upstream::start(spec, &[], Clock::new()).await.unwrap();
    let mut first = Connection::new(address);
    let running = tokio::spawn(async move { first.send(run_request(1)).await.map(|_| ()) });
    wait_for_runs(&upstream, &[RunState::Running]).await;
    let refused = Connection::new(address).send(run_request(2)).await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["ow-did-not-run"], "true");
    running.abort();
    wait_for_runs(&upstream, &[RunState::Aborted]).await;
}

#[tokio::test]
async fn a_relay_holds_back_one_direction_and_forwards_it_later() {
    let spec = spec(4, 3, Duration::from_millis(1));
    let target = spec.address;
    let upstream = Upstream::start(spec, &[], Clock::new()).await.unwrap();
    let listen = SocketAddr::from(([127, 90, 0, 5], 9_000));
    let relay = Relay::start(listen, target).await.unwrap();
    let mut connection = Connection::new(relay.address());
    let first = connection.send(run_request(1)).await.unwrap();
    http_body_util::BodyExt::collect(first.into_body())
        .await
        .unwrap();

    relay.set_mode(Mode::HoldBackward);
    let answer = tokio::spawn(async move { connection.send(run_request(2)).await });
    wait_for_runs(&upstream, &[RunState::Finished; 2]).await;
    assert!(!answer.is_finished());
    relay.set_mode(Mode::Open);
    assert_eq!(answer.await.unwrap().unwrap().status(), 200);
}
