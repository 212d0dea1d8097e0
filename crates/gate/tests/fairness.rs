//! Patterns of load in which priorities or tenants want more of a service than it can run. Each test
//! says what its callers need. Upstreams run 60 requests of 0.2 s a second.

mod support;

use support::model::{DEMAND, Demand, Model, Patience, Served};

const LENGTH_MS: u64 = 60_000;
const GATEWAYS: usize = 4;
const UPSTREAMS: usize = 3;

/// What parties below their max-min share must be served of what they ask for.
const SERVED_MIN: f64 = 0.9;

const URGENT: Demand = Demand {
    path: "/order/",
    tenant: Some(1),
    ..DEMAND
};

const LESS_URGENT: Demand = Demand {
    tenant: Some(1),
    priority: 2,
    target_ms: 1_200,
    ..DEMAND
};

fn play(demands: &[Demand]) -> Vec<Served> {
    Model::new(GATEWAYS, UPSTREAMS, demands).play(LENGTH_MS)
}

/// A tenant with ten others beside it, which ask for 4 requests a second each.
fn beside_ten(heavy: Demand) -> Vec<Demand> {
    let others = (1..=10).map(|tenant| Demand {
        tenant: Some(tenant),
        per_s: 4.0,
        ..heavy
    });
    std::iter::once(heavy).chain(others).collect()
}

fn total(served: &[Served], part: impl Fn(&Served) -> f64) -> f64 {
    served.iter().map(part).sum()
}

fn counted_s() -> f64 {
    LENGTH_MS as f64 * 0.8 / 1e3
}

/// The urgent requests need two thirds of the slots, and each is answered in time.
#[test]
fn two_priorities_at_1_3_times_capacity() {
    let urgent = Demand {
        per_s: 40.0,
        ..URGENT
    };
    let less_urgent = Demand {
        per_s: 38.0,
        ..LESS_URGENT
    };
    let served = play(&[urgent, less_urgent]);
    assert!(served[0].share_in_time() > 0.95, "{:?}", served[0].causes);
    // What is left is 20 a second.
    let rest = served[1].answered / counted_s();
    assert!(rest > 0.8 * 20.0, "{rest} a second");
}

/// The urgent requests alone are more than there is room for: they get nearly all, and mostly in time.
/// The others are few, but don't starve.
#[test]
fn two_priorities_at_3_times_capacity() {
    let urgent = Demand {
        per_s: 90.0,
        ..URGENT
    };
    let less_urgent = Demand {
        per_s: 90.0,
        ..LESS_URGENT
    };
    let served = play(&[urgent, less_urgent]);
    let urgent = served[0].answered / counted_s();
    assert!(urgent > 0.9 * 60.0, "{urgent} a second");
    assert!(
        served[0].in_time > 0.7 * served[0].answered,
        "{} of {}",
        served[0].in_time,
        served[0].answered
    );
    assert!(served[1].answered > 0.0);
    assert!(
        served[1].longest_gap_ms < 15_000,
        "{}",
        served[1].longest_gap_ms
    );
}

/// Each of three priorities is served before the next.
#[test]
fn three_priorities_are_served_in_their_order() {
    let urgent = Demand {
        per_s: 30.0,
        ..URGENT
    };
    let medium = Demand {
        path: "/medium/",
        priority: 1,
        ..urgent
    };
    let less_urgent = Demand {
        per_s: 30.0,
        ..LESS_URGENT
    };
    let served = play(&[urgent, medium, less_urgent]);
    assert!(served[0].share_in_time() > 0.95, "{:?}", served[0].causes);
    assert!(served[1].share() > 0.8, "{:?}", served[1].causes);
    assert!(served[2].share() < 0.3, "{}", served[2].share());
    assert!(served[2].answered > 0.0);
}

/// More priorities than are counted one by one, and the most urgent one comes last: it is served first.
#[test]
fn the_most_urgent_of_many_priorities_comes_late() {
    let paths: Vec<&'static str> = (0..24)
        .map(|priority| &*format!("/p{priority}/").leak())
        .collect();
    let demands: Vec<Demand> = (0..)
        .zip(paths)
        .map(|(priority, path)| Demand {
            path,
            tenant: Some(1),
            priority,
            per_s: 5.0,
            from_ms: if priority == 0 { 10_000 } else { 0 },
            ..DEMAND
        })
        .collect();
    let served = play(&demands);
    assert!(
        served[0].share_in_time() > 0.95,
        "{} {:?}",
        served[0].share_in_time(),
        served[0].causes
    );
    let least = total(&served[18..], |it| it.answered) / total(&served[18..], |it| it.asked);
    let most = total(&served[..6], |it| it.answered) / total(&served[..6], |it| it.asked);
    assert!(most > 0.8 && least < 0.5, "{most} {least}");
}

/// Short and long requests of equal urgency: the short ones are answered, and most of them in time,
/// whoever sends them.
#[test]
fn short_behind_long() {
    let long = Demand {
        path: "/long/",
        tenant: Some(0),
        run_ms: 2_000,
        target_ms: 3_000,
        timeout_ms: 9_000,
        per_s: 6.0,
        ..DEMAND
    };
    for (tenant, served_min) in [(0, 0.85), (1, SERVED_MIN)] {
        let short = Demand {
            path: "/short/",
            tenant: Some(tenant),
            run_ms: 50,
            target_ms: 300,
            timeout_ms: 2_000,
            per_s: 40.0,
            ..DEMAND
        };
        let served = play(&[long, short]);
        assert!(served[1].share() > served_min, "{}", served[1].share());
        assert!(
            served[1].share_in_time() > 0.7,
            "{}",
            served[1].share_in_time()
        );
        assert!(served[0].share() > 0.6, "{}", served[0].share());
    }
}

/// One tenant asks for ten times as much as usual. The others don't notice, and it gets what they leave.
#[test]
fn one_tenant_at_ten_times_its_usual() {
    let heavy = Demand {
        tenant: Some(0),
        per_s: 40.0,
        ..DEMAND
    };
    let served = play(&beside_ten(heavy));
    let in_time = total(&served[1..], |it| it.in_time) / total(&served[1..], |it| it.asked);
    assert!(in_time > 0.85, "{in_time}");
    for other in &served[1..] {
        assert!(other.share() > SERVED_MIN, "{:?}", other.causes);
    }
    let heavy = served[0].answered / counted_s();
    assert!(heavy > 0.8 * 20.0, "{heavy} a second");
}

/// A tenant that alone asks for more than there is, and a hundred that send a request every few seconds.
#[test]
fn many_small_tenants_beside_one_large() {
    let large = Demand {
        tenant: Some(0),
        per_s: 80.0,
        ..DEMAND
    };
    let small = (1..=100).map(|tenant| Demand {
        tenant: Some(tenant),
        per_s: 0.3,
        ..large
    });
    let demands: Vec<Demand> = std::iter::once(large).chain(small).collect();
    let served = play(&demands);
    let small = total(&served[1..], |it| it.answered) / total(&served[1..], |it| it.asked);
    assert!(small > SERVED_MIN, "{small}");
    let large = served[0].answered / counted_s();
    assert!(large > 0.8 * 30.0, "{large} a second");
}

/// Tenants that all ask for more than their share get the same, whether they ask for 20 or 60.
#[test]
fn tenants_above_their_share_get_the_same() {
    let demands: Vec<Demand> = [20.0, 30.0, 40.0, 60.0]
        .into_iter()
        .enumerate()
        .map(|(tenant, per_s)| Demand {
            tenant: Some(tenant),
            per_s,
            ..DEMAND
        })
        .collect();
    let served = play(&demands);
    for tenant in &served {
        let per_s = tenant.answered / counted_s();
        assert!((per_s - 15.0).abs() < 3.0, "{per_s} a second");
    }
}

/// A tenant whose clients return at once takes nothing from those whose clients do as they are told.
#[test]
fn retries_at_once() {
    let heavy = Demand {
        tenant: Some(0),
        per_s: 40.0,
        patience: Patience::ReturnsAtOnce,
        ..DEMAND
    };
    let mut demands = beside_ten(heavy);
    for other in &mut demands[1..] {
        other.patience = Patience::ReturnsAsTold;
    }
    let served = play(&demands);
    let in_time = total(&served[1..], |it| it.in_time) / total(&served[1..], |it| it.asked);
    assert!(in_time > 0.8, "{in_time}");
    for other in &served[1..] {
        assert!(other.share() > SERVED_MIN, "{:?}", other.causes);
    }
}

/// A burst that would queue too long is over after a while. Clients that are refused and return as they
/// are told find room, and don't come together.
#[test]
fn return_after_a_refusal() {
    let steady = Demand {
        tenant: Some(0),
        per_s: 20.0,
        ..DEMAND
    };
    let burst = Demand {
        tenant: Some(1),
        per_s: 1_000.0,
        from_ms: 20_000,
        until_ms: 20_100,
        timeout_ms: 6_000,
        patience: Patience::ReturnsAsTold,
        ..DEMAND
    };
    let served = Model::new(1, UPSTREAMS, &[steady, burst]).play(LENGTH_MS);
    let burst = &served[1];
    assert!(burst.returned > 20.0, "{}", burst.returned);
    assert!(burst.share() > 0.95, "{}", burst.share());
    let taken = burst.taken_on_return / burst.returned;
    assert!(taken > SERVED_MIN, "{taken}");
    let mut times_ms = burst.return_times_ms.clone();
    times_ms.sort_unstable();
    let most = times_ms.iter().map(|from_ms| {
        let together = times_ms
            .iter()
            .filter(|it| (*from_ms..from_ms + 100).contains(it));
        together.count()
    });
    let most = most.max().unwrap_or_default();
    assert!(
        most <= times_ms.len() / 4,
        "{most} of {} within 0.1 s",
        times_ms.len()
    );
}

/// Clients wait for three runs. No request is admitted that is answered after its deadline, and the slots
/// stay busy.
#[test]
fn what_can_not_be_served_in_time_is_refused_at_once() {
    let hurried = Demand {
        tenant: Some(0),
        timeout_ms: 600,
        per_s: 90.0,
        ..DEMAND
    };
    let served = play(&[hurried]);
    let late = served[0].too_late / served[0].asked;
    assert!(late < 0.01, "{late}");
    assert!(total(&served, |it| it.answered) / counted_s() > 0.9 * 60.0);
}
