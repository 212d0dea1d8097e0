//! The progress of drains that an entry reports in polls.

mod support;

use entry::Input;
use route::Ending;
use support::{Cluster, DECLARED_INDEX};
use types::Progress;

fn in_flight(cluster: &Cluster) -> Vec<u64> {
    let reported = cluster.reported.iter();
    let in_flight = reported.map(|reported| match reported.progress {
        Progress::Drain { in_flight } => in_flight,
        Progress::Shift { .. } => panic!("no shift is declared"),
    });
    in_flight.collect()
}

#[test]
fn a_drain_counts_what_is_in_flight_until_it_has_ended() {
    let mut cluster = Cluster::new(1);
    let first = cluster.send(0, None);
    cluster.send(0, None);
    assert_eq!(cluster.runs.len(), 2);
    cluster.drain_upstream("payout-1", DECLARED_INDEX + 1);
    cluster.advance_ms(600);
    assert_eq!(in_flight(&cluster), [2]);
    let input = Input::Ended {
        request: first,
        ending: Ending::Finished { status: 200 },
        answer: None,
    };
    cluster.step(0, input);
    cluster.advance_ms(600);
    assert_eq!(in_flight(&cluster), [1]);
}
