//! The adaptive policy: slow start, ejection, backoff, home slots, spillover, deadlines and the
//! retry budget.

mod common;

use common::{Harness, Reaction, announcement, config, reaction_to, region, resource, uncapped};
use route::{Ending, Input, Limits, Output, RequestId, RouterConfig, Settled, UpstreamSnapshot};
use std::collections::BTreeMap;
use types::{DomainName, DrainTarget, EntryName, EntrySpec, Outcome, Refusal, Spec};

fn upstream(harness: &Harness, name: &str) -> UpstreamSnapshot {
    let snapshot = harness.router.snapshot(harness.now_us);
    let mut upstreams = snapshot.upstreams.into_iter();
    upstreams.find(|u| u.name.as_str() == name).unwrap()
}

fn refusal(reaction: &Reaction) -> Option<Refusal> {
    match reaction {
        Reaction::Settled(Settled {
            outcome: Outcome::DidNotRun,
            refusal,
        }) => *refusal,
        _ => None,
    }
}

/// Runs requests one after another, each taking `latency_ms`.
fn warm_up(harness: &mut Harness, service: &str, requests: u32, latency_ms: u64) {
    for _ in 0..requests {
        let (request, _) = harness.arrive(service, true);
        harness.now_us = harness.now_us.after_ms(latency_ms);
        harness.finish(request);
    }
    harness.take_forwarded();
}

fn fail_requests(harness: &mut Harness, times: u32) {
    for _ in 0..times {
        let (request, reaction) = harness.arrive("browse", true);
        assert!(matches!(reaction, Reaction::Forwarded(_)), "{reaction:?}");
        harness.end(request, Ending::Finished { status: 500 });
    }
}

#[test]
fn a_new_upstream_starts_slowly_and_so_does_a_restarted_one() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 8);
    assert_eq!(upstream(&harness, "near").limit_slots, 4);
    warm_up(&mut harness, "browse", 3, 10);
    assert_eq!(upstream(&harness, "near").limit_slots, 7);
    warm_up(&mut harness, "browse", 1, 10);
    assert_eq!(upstream(&harness, "near").limit_slots, 8);
    let mut restarted = announcement("browse", "here-a", 8);
    restarted.epoch_ms += 1;
    harness.announce("near", &restarted);
    assert_eq!(upstream(&harness, "near").limit_slots, 4);
}

#[test]
fn failures_in_a_row_eject_for_a_second_and_then_longer() {
    let mut harness = Harness::new(config());
    for name in ["a", "b", "c"] {
        harness.upstream(name, "browse", "here-a", 1);
    }
    for ejection_ms in [1_000, 2_000] {
        eject_one(&mut harness);
        for _ in 0..20 {
            let (request, reaction) = harness.arrive("browse", true);
            assert_ne!(reaction, Reaction::Forwarded("a".into()), "ejected");
            harness.finish(request);
        }
        harness.now_us = harness.now_us.after_ms(ejection_ms - 1);
        harness.step(Input::Tick);
        assert_eq!(ejected(&harness), 1, "before {ejection_ms} ms");
        harness.now_us = harness.now_us.after_ms(1);
        harness.step(Input::Tick);
        assert_eq!(ejected(&harness), 0, "after {ejection_ms} ms");
    }
}

fn ejected(harness: &Harness) -> usize {
    let snapshot = harness.router.snapshot(harness.now_us);
    snapshot.upstreams.iter().filter(|u| u.ejected).count()
}

/// Fails every request at upstream `a` until an upstream is ejected; the others answer.
fn eject_one(harness: &mut Harness) {
    for _ in 0..200 {
        let (request, reaction) = harness.arrive("browse", true);
        let status = match reaction == Reaction::Forwarded("a".into()) {
            true => 500,
            false => 200,
        };
        harness.end(request, Ending::Finished { status });
        if ejected(harness) == 1 {
            return;
        }
    }
    panic!("nothing was ejected");
}

#[test]
fn no_more_than_the_allowed_percentage_is_ejected() {
    let mut harness = Harness::new(config());
    for name in ["a", "b", "c"] {
        harness.upstream(name, "browse", "here-a", 1);
    }
    fail_requests(&mut harness, 100);
    assert_eq!(ejected(&harness), 1, "34% of three");
    assert!(harness.router.counters().ejections_held > 0);
}

#[test]
fn an_ejection_ends_when_too_few_others_remain() {
    let mut harness = Harness::new(config());
    for name in ["a", "b", "c"] {
        harness.upstream(name, "browse", "here-a", 1);
    }
    eject_one(&mut harness);
    harness.drain(DrainTarget::Upstream("b".parse().unwrap()));
    assert_eq!(ejected(&harness), 0, "34% of two is none");
}

#[test]
fn a_slow_upstream_is_ejected() {
    let mut harness = Harness::new(config());
    for name in ["a", "b", "c", "d"] {
        harness.upstream(name, "browse", "here-a", 1);
    }
    for _ in 0..800 {
        let (request, reaction) = harness.arrive("browse", true);
        let slow = reaction == Reaction::Forwarded("a".into());
        harness.now_us = harness.now_us.after_ms(if slow { 100 } else { 10 });
        harness.finish(request);
        if ejected(&harness) > 0 {
            assert!(upstream(&harness, "a").ejected);
            return;
        }
    }
    panic!("the slow upstream was not ejected");
}

#[test]
fn a_refusal_starts_a_backoff_of_the_upstream() {
    let mut harness = Harness::new(config());
    harness.declare("entry-1", Spec::Entry(entry_spec("here-a")));
    harness.upstream("near", "browse", "here-a", 3);
    assert_eq!(upstream(&harness, "near").home_slots, 3);
    let (request, _) = harness.arrive("browse", false);
    assert!(harness.end(request, Ending::Refused).is_empty());
    harness.now_us = harness.now_us.after_ms(1);
    assert!(harness.step(Input::Tick).is_empty());
    harness.now_us = harness.now_us.after_ms(1);
    let outputs = harness.step(Input::Tick);
    assert_eq!(
        reaction_to(request, &outputs),
        Reaction::Forwarded("near".into())
    );
}

#[test]
fn a_false_load_report_is_ignored() {
    let mut harness = Harness::new(config());
    let mut full = announcement("browse", "here-a", 3);
    full.load = 3;
    harness.announce("near", &full);
    let (_, reaction) = harness.arrive("browse", true);
    assert_eq!(reaction, Reaction::Forwarded("near".into()));
}

#[test]
fn a_remote_slot_is_used_only_when_the_wait_exceeds_the_round_trip() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 1);
    warm_up(&mut harness, "browse", 4, 15);
    harness.upstream("far", "browse", "there-a", 9);
    assert!(matches!(
        harness.arrive("browse", true).1,
        Reaction::Forwarded(_)
    ));
    let (_, reaction) = harness.arrive("browse", true);
    assert_eq!(
        reaction,
        Reaction::Nothing,
        "15 ms to wait, 20 ms round trip"
    );
    let (_, reaction) = harness.arrive("browse", true);
    assert_eq!(reaction, Reaction::Nothing, "queued behind the other");
    let outputs = harness.step(Input::Tick);
    let far = |output: &&Output| matches!(output, Output::Forward { upstream, .. } if upstream.as_str() == "far");
    assert_eq!(outputs.iter().filter(far).count(), 1, "45 ms to wait");
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 1);
    warm_up(&mut harness, "browse", 4, 100);
    harness.arrive("browse", true);
    let soon_us = harness.now_us.after_ms(150);
    let (_, reaction) = harness.arrive_until("browse", true, soon_us);
    assert_eq!(refusal(&reaction), Some(Refusal::Deadline));
    let later_us = harness.now_us.after_ms(900);
    let (_, reaction) = harness.arrive_until("browse", true, later_us);
    assert_eq!(reaction, Reaction::Nothing);
}

#[test]
fn retries_after_a_broken_attempt_need_a_token() {
    let mut harness = Harness::new(config());
    for index in 0..40 {
        harness.upstream(&format!("near-{index}"), "browse", "here-a", 9);
    }
    let running: Vec<RequestId> = (0..40).map(|_| harness.arrive("browse", true).0).collect();
    let mut unknown = 0;
    for request in running {
        let outputs = harness.end(request, Ending::Broken);
        unknown += u32::from(matches!(
            reaction_to(request, &outputs),
            Reaction::Settled(_)
        ));
    }
    assert_eq!(unknown, 8, "40 broken attempts, 32 tokens");
}

fn entry_spec(domain: &str) -> EntrySpec {
    EntrySpec {
        region: region("here"),
        failure_domain: DomainName::new(domain).unwrap(),
        address: "127.0.1.1:8080".parse().unwrap(),
        peer_address: "127.0.1.1:8081".parse().unwrap(),
    }
}

/// The home slots of each of the three entries, by upstream.
fn home_slots(harnesses: &[Harness]) -> BTreeMap<String, Vec<u32>> {
    let mut home_slots: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for harness in harnesses {
        for upstream in harness.router.snapshot(harness.now_us).upstreams {
            let slots = home_slots.entry(upstream.name.to_string()).or_default();
            slots.push(upstream.home_slots);
        }
    }
    home_slots
}

#[test]
fn every_slot_is_a_home_slot_of_one_entry() {
    let entries = [("e1", "here-a"), ("e2", "here-a"), ("e3", "here-b")];
    let mut harnesses: Vec<Harness> = entries
        .iter()
        .map(|(name, domain)| {
            let entry = EntryName::new(name).unwrap();
            let domain = DomainName::new(domain).unwrap();
            let config = RouterConfig::new(entry, region("here"), domain);
            Harness::new(config.with_limits(uncapped()))
        })
        .collect();
    for harness in &mut harnesses {
        for (name, domain) in entries {
            harness.step(Input::Declared(&resource(
                name,
                Spec::Entry(entry_spec(domain)),
            )));
        }
        for index in 0..5 {
            let domain = ["here-a", "here-b"][index % 2];
            harness.upstream(&format!("w{index}"), "browse", domain, 3);
        }
    }
    for (name, slots) in home_slots(&harnesses) {
        assert_eq!(slots.iter().sum::<u32>(), 3, "{name}: {slots:?}");
    }
    for entry in 0..3 {
        let sum: u32 = home_slots(&harnesses)
            .values()
            .map(|slots| slots[entry])
            .sum();
        assert_eq!(sum, 5, "a third of 15 slots");
    }
    let own_domain_slots: u32 = ["w1", "w3"]
        .iter()
        .map(|name| home_slots(&harnesses)[*name][2])
        .sum();
    assert_eq!(
        own_domain_slots, 5,
        "all of its slots in its own failure domain"
    );
    let inactive = EntryName::new("e2").unwrap();
    for harness in &mut harnesses {
        harness.step(Input::EntryActive {
            name: &inactive,
            active: false,
        });
    }
    for (name, slots) in home_slots(&harnesses) {
        assert_eq!(slots[0] + slots[2], 3, "{name}: {slots:?}");
    }
}

#[test]
fn a_full_queue_bounds_retries_too() {
    let limits = Limits {
        queue_requests: 1,
        ..uncapped()
    };
    let mut harness = Harness::new(config().with_limits(limits));
    harness.upstream("near", "browse", "here-a", 1);
    let (first, _) = harness.arrive("browse", true);
    harness.arrive("browse", true);
    let outputs = harness.end(first, Ending::Refused);
    assert_eq!(
        refusal(&reaction_to(first, &outputs)),
        Some(Refusal::UpstreamRefused)
    );
}

#[test]
fn a_refusal_of_a_borrowed_slot_stops_borrowing_in_its_group() {
    let mut harness = Harness::new(config());
    harness.upstream("a", "browse", "here-a", 3);
    harness.upstream("b", "browse", "here-a", 3);
    let (request, _) = harness.arrive("browse", true);
    assert!(harness.end(request, Ending::Refused).is_empty());
    harness.now_us = harness.now_us.after_ms(2);
    let outputs = harness.step(Input::Tick);
    assert!(matches!(
        reaction_to(request, &outputs),
        Reaction::Forwarded(_)
    ));
}

#[test]
fn without_a_token_nothing_is_borrowed() {
    let limits = Limits {
        retry_percent: 0,
        ..uncapped()
    };
    let mut harness = Harness::new(config().with_limits(limits));
    for name in ["entry-1", "entry-2"] {
        harness.declare(name, Spec::Entry(entry_spec("here-a")));
    }
    harness.upstream("near", "browse", "here-a", 4);
    assert_eq!(upstream(&harness, "near").home_slots, 2);
    warm_up(&mut harness, "browse", 4, 10);
    assert_eq!(upstream(&harness, "near").limit_slots, 4);
    // Breaks attempts until a request is not retried at all: the retry budget is then empty.
    let mut breaks = 0;
    while breaks != 1 {
        let (request, _) = harness.arrive("browse", true);
        breaks = 0;
        let mut settled = false;
        while !settled {
            breaks += 1;
            let outputs = harness.end(request, Ending::Broken);
            settled = matches!(reaction_to(request, &outputs), Reaction::Settled(_));
        }
    }
    assert!(matches!(
        harness.arrive("browse", true).1,
        Reaction::Forwarded(_)
    ));
    assert!(matches!(
        harness.arrive("browse", true).1,
        Reaction::Forwarded(_)
    ));
    assert_eq!(harness.arrive("browse", true).1, Reaction::Nothing);
}
