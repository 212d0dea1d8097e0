//! Slow start, ejection, closures, dealt slots, spill-over and deadlines of the adaptive policy.

mod common;

use common::{Bench, Step, announcement, config, of, region, resource, uncapped};
use route::{Ending, Input, Limits, Output, RequestId, RouterConfig, Settled, UpstreamSnapshot};
use std::collections::BTreeMap;
use types::{DomainName, DrainTarget, EntryName, EntrySpec, Outcome, Refusal, Spec};

fn upstream(bench: &Bench, name: &str) -> UpstreamSnapshot {
    let snapshot = bench.router.snapshot(bench.now_us);
    let mut upstreams = snapshot.upstreams.into_iter();
    upstreams.find(|u| u.name.as_str() == name).unwrap()
}

fn refusal(step: &Step) -> Option<Refusal> {
    match step {
        Step::Settled(Settled {
            outcome: Outcome::DidNotRun,
            refusal,
        }) => *refusal,
        _ => None,
    }
}

/// Runs requests one after another, each taking `latency_ms`.
fn warm(bench: &mut Bench, service: &str, requests: u32, latency_ms: u64) {
    for _ in 0..requests {
        let (request, _) = bench.arrive(service, true);
        bench.now_us = bench.now_us.after_ms(latency_ms);
        bench.finish(request);
    }
    bench.take_forwarded();
}

fn fail(bench: &mut Bench, times: u32) {
    for _ in 0..times {
        let (request, step) = bench.arrive("browse", true);
        assert!(matches!(step, Step::Forwarded(_)), "{step:?}");
        bench.end(request, Ending::Finished { status: 500 });
    }
}

#[test]
fn a_new_upstream_starts_slowly_and_so_does_a_restarted_one() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 8);
    assert_eq!(upstream(&bench, "near").limit_slots, 4);
    warm(&mut bench, "browse", 3, 10);
    assert_eq!(upstream(&bench, "near").limit_slots, 7);
    warm(&mut bench, "browse", 1, 10);
    assert_eq!(upstream(&bench, "near").limit_slots, 8);
    let mut restarted = announcement("browse", "here-a", 8);
    restarted.epoch_ms += 1;
    bench.announce("near", &restarted);
    assert_eq!(upstream(&bench, "near").limit_slots, 4);
}

#[test]
fn failures_in_a_row_eject_for_a_second_and_then_longer() {
    let mut bench = Bench::new(config());
    for name in ["a", "b", "c"] {
        bench.upstream(name, "browse", "here-a", 1);
    }
    for pause_ms in [1_000, 2_000] {
        eject_one(&mut bench);
        for _ in 0..20 {
            let (request, step) = bench.arrive("browse", true);
            assert_ne!(step, Step::Forwarded("a".into()), "ejected");
            bench.finish(request);
        }
        bench.now_us = bench.now_us.after_ms(pause_ms - 1);
        bench.step(Input::Tick);
        assert_eq!(ejected(&bench), 1, "before {pause_ms} ms");
        bench.now_us = bench.now_us.after_ms(1);
        bench.step(Input::Tick);
        assert_eq!(ejected(&bench), 0, "after {pause_ms} ms");
    }
}

fn ejected(bench: &Bench) -> usize {
    let snapshot = bench.router.snapshot(bench.now_us);
    snapshot.upstreams.iter().filter(|u| u.ejected).count()
}

/// Fails every request at upstream `a` until it is ejected; others answer.
fn eject_one(bench: &mut Bench) {
    for _ in 0..200 {
        let (request, step) = bench.arrive("browse", true);
        let status = match step == Step::Forwarded("a".into()) {
            true => 500,
            false => 200,
        };
        bench.end(request, Ending::Finished { status });
        if ejected(bench) == 1 {
            return;
        }
    }
    panic!("nothing was ejected");
}

#[test]
fn no_more_than_the_allowed_part_is_ejected() {
    let mut bench = Bench::new(config());
    for name in ["a", "b", "c"] {
        bench.upstream(name, "browse", "here-a", 1);
    }
    fail(&mut bench, 100);
    assert_eq!(ejected(&bench), 1, "34% of three");
    assert!(bench.router.counters().ejections_held > 0);
}

#[test]
fn an_ejection_ends_when_too_few_others_remain() {
    let mut bench = Bench::new(config());
    for name in ["a", "b", "c"] {
        bench.upstream(name, "browse", "here-a", 1);
    }
    eject_one(&mut bench);
    bench.drain(DrainTarget::Upstream("b".parse().unwrap()));
    assert_eq!(ejected(&bench), 0, "34% of two is none");
}

#[test]
fn a_slow_upstream_is_ejected() {
    let mut bench = Bench::new(config());
    for name in ["a", "b", "c", "d"] {
        bench.upstream(name, "browse", "here-a", 1);
    }
    for _ in 0..800 {
        let (request, step) = bench.arrive("browse", true);
        let slow = step == Step::Forwarded("a".into());
        bench.now_us = bench.now_us.after_ms(if slow { 100 } else { 10 });
        bench.finish(request);
        if ejected(&bench) > 0 {
            assert!(upstream(&bench, "a").ejected);
            return;
        }
    }
    panic!("the slow one was kept");
}

#[test]
fn a_refusal_closes_an_upstream_for_a_short_time() {
    let mut bench = Bench::new(config());
    bench.declare("entry-1", Spec::Entry(entry_spec("here-a")));
    bench.upstream("near", "browse", "here-a", 3);
    assert_eq!(upstream(&bench, "near").home_slots, 3);
    let (request, _) = bench.arrive("browse", false);
    assert!(bench.end(request, Ending::Refused).is_empty());
    bench.now_us = bench.now_us.after_ms(1);
    assert!(bench.step(Input::Tick).is_empty());
    bench.now_us = bench.now_us.after_ms(1);
    let outputs = bench.step(Input::Tick);
    assert_eq!(of(request, &outputs), Step::Forwarded("near".into()));
}

#[test]
fn a_lying_load_report_changes_nothing() {
    let mut bench = Bench::new(config());
    let mut full = announcement("browse", "here-a", 3);
    full.load = 3;
    bench.announce("near", &full);
    let (_, step) = bench.arrive("browse", true);
    assert_eq!(step, Step::Forwarded("near".into()));
}

#[test]
fn a_far_slot_is_used_only_when_the_wait_here_is_longer_than_the_way() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 1);
    warm(&mut bench, "browse", 4, 15);
    bench.upstream("far", "browse", "there-a", 9);
    assert!(matches!(bench.arrive("browse", true).1, Step::Forwarded(_)));
    let (_, step) = bench.arrive("browse", true);
    assert_eq!(step, Step::Nothing, "15 ms to wait, 20 ms of way");
    let (_, step) = bench.arrive("browse", true);
    assert_eq!(step, Step::Nothing, "behind the other");
    let outputs = bench.step(Input::Tick);
    let far = |output: &&Output| matches!(output, Output::Forward { upstream, .. } if upstream.as_str() == "far");
    assert_eq!(outputs.iter().filter(far).count(), 1, "45 ms to wait");
}

#[test]
fn what_cannot_finish_in_time_is_refused_at_once() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 1);
    warm(&mut bench, "browse", 4, 100);
    bench.arrive("browse", true);
    let soon_us = bench.now_us.after_ms(150);
    let (_, step) = bench.arrive_until("browse", true, soon_us);
    assert_eq!(refusal(&step), Some(Refusal::Deadline));
    let later_us = bench.now_us.after_ms(900);
    let (_, step) = bench.arrive_until("browse", true, later_us);
    assert_eq!(step, Step::Nothing);
}

#[test]
fn retries_after_a_break_need_a_token() {
    let mut bench = Bench::new(config());
    for index in 0..40 {
        bench.upstream(&format!("near-{index}"), "browse", "here-a", 9);
    }
    let running: Vec<RequestId> = (0..40).map(|_| bench.arrive("browse", true).0).collect();
    let mut unknown = 0;
    for request in running {
        let outputs = bench.end(request, Ending::Broken);
        unknown += u32::from(matches!(of(request, &outputs), Step::Settled(_)));
    }
    assert_eq!(unknown, 8, "32 tokens are saved up");
}

fn entry_spec(domain: &str) -> EntrySpec {
    EntrySpec {
        region: region("here"),
        failure_domain: DomainName::new(domain).unwrap(),
        address: "127.0.1.1:8080".parse().unwrap(),
        peer_address: "127.0.1.1:8081".parse().unwrap(),
    }
}

/// Slots dealt to each of three entries, by upstream.
fn dealt(benches: &[Bench]) -> BTreeMap<String, Vec<u32>> {
    let mut dealt: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for bench in benches {
        for upstream in bench.router.snapshot(bench.now_us).upstreams {
            let slots = dealt.entry(upstream.name.to_string()).or_default();
            slots.push(upstream.home_slots);
        }
    }
    dealt
}

#[test]
fn every_slot_is_dealt_to_one_entry_of_the_region() {
    let places = [("e1", "here-a"), ("e2", "here-a"), ("e3", "here-b")];
    let mut benches: Vec<Bench> = places
        .iter()
        .map(|(name, domain)| {
            let entry = EntryName::new(name).unwrap();
            let domain = DomainName::new(domain).unwrap();
            let config = RouterConfig::new(entry, region("here"), domain);
            Bench::new(config.with_limits(uncapped()))
        })
        .collect();
    for bench in &mut benches {
        for (name, domain) in places {
            bench.step(Input::Declared(&resource(
                name,
                Spec::Entry(entry_spec(domain)),
            )));
        }
        for index in 0..5 {
            let domain = ["here-a", "here-b"][index % 2];
            bench.upstream(&format!("w{index}"), "browse", domain, 3);
        }
    }
    for (name, slots) in dealt(&benches) {
        assert_eq!(slots.iter().sum::<u32>(), 3, "{name}: {slots:?}");
    }
    for entry in 0..3 {
        let sum: u32 = dealt(&benches).values().map(|slots| slots[entry]).sum();
        assert_eq!(sum, 5, "a third of 15 slots");
    }
    let beside: u32 = ["w1", "w3"]
        .iter()
        .map(|name| dealt(&benches)[*name][2])
        .sum();
    assert_eq!(beside, 5, "all of its slots in its own failure domain");
    let lost = EntryName::new("e2").unwrap();
    for bench in &mut benches {
        bench.step(Input::EntryActive {
            name: &lost,
            active: false,
        });
    }
    for (name, slots) in dealt(&benches) {
        assert_eq!(slots[0] + slots[2], 3, "{name}: {slots:?}");
    }
}

#[test]
fn a_full_queue_bounds_retries_too() {
    let limits = Limits {
        queue_requests: 1,
        ..uncapped()
    };
    let mut bench = Bench::new(config().with_limits(limits));
    bench.upstream("near", "browse", "here-a", 1);
    let (first, _) = bench.arrive("browse", true);
    bench.arrive("browse", true);
    let outputs = bench.end(first, Ending::Refused);
    assert_eq!(
        refusal(&of(first, &outputs)),
        Some(Refusal::UpstreamRefused)
    );
}

#[test]
fn a_refusal_of_a_borrowed_slot_closes_the_others_beside_it() {
    let mut bench = Bench::new(config());
    bench.upstream("a", "browse", "here-a", 3);
    bench.upstream("b", "browse", "here-a", 3);
    let (request, _) = bench.arrive("browse", true);
    assert!(bench.end(request, Ending::Refused).is_empty());
    bench.now_us = bench.now_us.after_ms(2);
    let outputs = bench.step(Input::Tick);
    assert!(matches!(of(request, &outputs), Step::Forwarded(_)));
}

#[test]
fn without_a_token_nothing_is_borrowed() {
    let limits = Limits {
        retry_percent: 0,
        ..uncapped()
    };
    let mut bench = Bench::new(config().with_limits(limits));
    for name in ["entry-1", "entry-2"] {
        bench.declare(name, Spec::Entry(entry_spec("here-a")));
    }
    bench.upstream("near", "browse", "here-a", 4);
    assert_eq!(upstream(&bench, "near").home_slots, 2);
    warm(&mut bench, "browse", 4, 10);
    assert_eq!(upstream(&bench, "near").limit_slots, 4);
    let mut breaks = 0;
    while breaks != 1 {
        let (request, _) = bench.arrive("browse", true);
        breaks = 0;
        let mut settled = false;
        while !settled {
            breaks += 1;
            let outputs = bench.end(request, Ending::Broken);
            settled = matches!(of(request, &outputs), Step::Settled(_));
        }
    }
    assert!(matches!(bench.arrive("browse", true).1, Step::Forwarded(_)));
    assert!(matches!(bench.arrive("browse", true).1, Step::Forwarded(_)));
    assert_eq!(bench.arrive("browse", true).1, Step::Nothing);
}
