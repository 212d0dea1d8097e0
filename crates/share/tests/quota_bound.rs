//! Random schedules of load, lost, late and repeated messages, frozen, restarted and cut-off gateways,
//! changes of the leader and of the limit: no window sees more requests than the quota allows.

mod quota_world;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, prop_oneof, proptest};
use quota_world::{STEP_MS, World};
use share::{QuotaLimit, QuotaTerms};

const GATEWAYS: usize = 4;

#[derive(Clone, Debug)]
enum Action {
    /// Requests at one gateway, all in one step.
    Burst {
        gateway: usize,
        requests: u64,
    },
    /// From now on, so many requests at every gateway in each step. One in eight does not run, and its
    /// upstream says so after `unrun_ms`.
    Load {
        per_step: u64,
        unrun_ms: u64,
    },
    /// Time passes, without load at first.
    Idle {
        duration_ms: u64,
    },
    /// Time passes with load.
    Run {
        duration_ms: u64,
    },
    Freeze {
        gateway: usize,
        duration_ms: u64,
    },
    Cut {
        gateways: usize,
        duration_ms: u64,
    },
    Restart {
        gateway: usize,
    },
    /// Another replica leads after a time without a leader.
    Elect {
        after_ms: u64,
    },
    SetLimit {
        limit: QuotaLimit,
    },
}

fn limit() -> impl Strategy<Value = QuotaLimit> {
    let rate = prop::strategy::Union::new(vec![200_u64..3_000, 5_000..60_000, 100_000..900_000]);
    let burst = prop::strategy::Union::new(vec![0_u64..1, 1..20, 50..900]);
    (rate, burst).prop_map(|(rate_milli_per_s, burst)| QuotaLimit {
        rate_milli_per_s,
        burst,
    })
}

fn terms() -> impl Strategy<Value = QuotaTerms> {
    (any::<bool>(), any::<bool>()).prop_map(|(has_overage, has_slack)| QuotaTerms {
        overage_milli: u64::from(has_overage) * 100,
        slack_milli: u64::from(has_slack) * 20_000,
        ..QuotaTerms::default()
    })
}

fn action() -> impl Strategy<Value = Action> {
    let gateway = || 0..GATEWAYS;
    prop_oneof![
        4 => (gateway(), 1_u64..1_500)
            .prop_map(|(gateway, requests)| Action::Burst { gateway, requests }),
        2 => (0_u64..6, 0_u64..1_200)
            .prop_map(|(per_step, unrun_ms)| Action::Load { per_step, unrun_ms }),
        2 => (0_u64..12_000).prop_map(|duration_ms| Action::Idle { duration_ms }),
        8 => (0_u64..2_000).prop_map(|duration_ms| Action::Run { duration_ms }),
        1 => (gateway(), 0_u64..4_000)
            .prop_map(|(gateway, duration_ms)| Action::Freeze { gateway, duration_ms }),
        2 => (1..=GATEWAYS, 0_u64..15_000)
            .prop_map(|(gateways, duration_ms)| Action::Cut { gateways, duration_ms }),
        1 => gateway().prop_map(|gateway| Action::Restart { gateway }),
        2 => (0_u64..4_000).prop_map(|after_ms| Action::Elect { after_ms }),
        1 => limit().prop_map(|limit| Action::SetLimit { limit }),
    ]
}

/// The load that goes on beside other actions.
#[derive(Clone, Copy, Debug)]
struct Load {
    per_step: u64,
    unrun_ms: u64,
}

fn wait(world: &mut World, load: Load, ms: u64) {
    for step in 0..ms / STEP_MS {
        for n in 0..load.per_step {
            for gateway in 0..GATEWAYS {
                let runs_not = (step + n) % 8 == gateway as u64;
                world.request(gateway, runs_not.then_some(load.unrun_ms));
            }
        }
        world.step();
        world.tell_gateways();
    }
}

fn apply(world: &mut World, load: &mut Load, action: &Action) {
    const NO_LOAD: Load = Load {
        per_step: 0,
        unrun_ms: 0,
    };
    match *action {
        Action::Burst { gateway, requests } => {
            (0..requests).for_each(|_| world.request(gateway, None));
            world.step();
        }
        Action::Load { per_step, unrun_ms } => *load = Load { per_step, unrun_ms },
        Action::Idle { duration_ms } => wait(world, NO_LOAD, duration_ms),
        Action::Run { duration_ms } => wait(world, *load, duration_ms),
        Action::Freeze {
            gateway,
            duration_ms,
        } => world.gateways[gateway].frozen_until_ms = world.now_ms + duration_ms,
        Action::Cut {
            gateways,
            duration_ms,
        } => {
            let until_ms = world.now_ms + duration_ms;
            let cut = world.gateways.iter_mut().take(gateways);
            cut.for_each(|gateway| gateway.cut_until_ms = until_ms);
        }
        Action::Restart { gateway } => world.restart(gateway),
        Action::Elect { after_ms } => {
            world.depose();
            wait(world, *load, after_ms);
            world.elect();
        }
        Action::SetLimit { limit } => world.set_limit(limit),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_window_sees_more_requests_than_the_quota_allows(
        actions in prop::collection::vec(action(), 1..30),
        limit in limit(),
        terms in terms(),
        delay_ms in 1_u64..40,
        fault_every in prop::strategy::Union::new(vec![0_u64..1, 3..12]),
    ) {
        let mut world = World::new(GATEWAYS, limit, terms);
        world.delay_ms = delay_ms;
        world.fault_every = fault_every;
        let mut load = Load { per_step: 3, unrun_ms: 20 };
        for action in &actions {
            apply(&mut world, &mut load, action);
            let excess = world.excess();
            prop_assert!(excess.is_none(), "start, ran, bound: {excess:?}");
        }
    }
}
