//! What an entry reports of drains.

mod support;

use entry::Input;
use route::Ending;
use support::{DECLARED, World};
use types::Progress;

fn in_flight(world: &World) -> Vec<u64> {
    let reported = world.reported.iter();
    let in_flight = reported.map(|reported| match reported.progress {
        Progress::Drain { in_flight } => in_flight,
        Progress::Shift { .. } => panic!("no shift is declared"),
    });
    in_flight.collect()
}

#[test]
fn a_drain_counts_what_is_in_flight_until_it_has_ended() {
    let mut world = World::new(1);
    let first = world.send(0, None);
    world.send(0, None);
    assert_eq!(world.runs.len(), 2);
    world.drain_upstream("payout-1", DECLARED + 1);
    world.pass_ms(600);
    assert_eq!(in_flight(&world), [2]);
    let input = Input::Ended {
        request: first,
        ending: Ending::Finished { status: 200 },
        answer: None,
    };
    world.step(0, input);
    world.pass_ms(600);
    assert_eq!(in_flight(&world), [1]);
}
