//! Tests changes of the leader: accepted changes survive, of concurrent changes one wins, resends
//! get the first answer, and isolated replicas answer no reads.

mod cluster;

use cluster::{Cluster, REQUEST_TIMEOUT_US, item, key, put, region};
use control::{Answer, Request};
use types::ApiError;

fn get(resource: &str) -> Request {
    Request::Get { key: key(resource) }
}

#[test]
fn every_accepted_change_outlives_killed_leaders() {
    let mut cluster = Cluster::new(3);
    let mut accepted = Vec::new();
    for number in 0..60 {
        let name = format!("region-{number}");
        let change = put(
            &name,
            &name,
            region(number + 1, &format!("domain-{number}")),
            0,
        );
        if number % 20 == 10 {
            let leader = cluster.wait_for_leader();
            cluster.submit(&leader, change.clone());
            cluster.kill(&leader);
            accepted.push(item(cluster.request_leader(&change)).resource);
            cluster.start(&leader);
        } else {
            accepted.push(item(cluster.request_leader(&change)).resource);
        }
    }
    for resource in accepted {
        let found = item(cluster.request_leader(&Request::Get {
            key: resource.key(),
        }));
        assert_eq!(found.resource, resource);
    }
}

#[test]
fn a_resend_after_a_leader_change_gets_the_first_answer() {
    let mut cluster = Cluster::new(3);
    let first = put("once", "gauteng", region(10, "gauteng-a"), 0);
    let answer = item(cluster.request_leader(&first)).resource;
    let later = put("later", "gauteng", region(20, "gauteng-a"), 1);
    assert_eq!(item(cluster.request_leader(&later)).resource.version, 2);
    let leader = cluster.wait_for_leader();
    cluster.kill(&leader);
    assert_eq!(item(cluster.request_leader(&first)).resource, answer);
    let now = item(cluster.request_leader(&get("region/gauteng")));
    assert_eq!(now.resource.version, 2);
}

#[test]
fn a_resend_with_another_body_is_an_error() {
    let mut cluster = Cluster::new(3);
    let first = put("once", "gauteng", region(10, "gauteng-a"), 0);
    item(cluster.request_leader(&first));
    let other = put("once", "gauteng", region(11, "gauteng-a"), 1);
    assert_eq!(
        cluster.request_leader(&other),
        Err(ApiError::RequestIdReused {
            request_id: "once".to_owned()
        })
    );
}

#[test]
fn of_changes_with_equal_versions_one_wins() {
    let mut cluster = Cluster::new(3);
    item(cluster.request_leader(&put("base", "gauteng", region(1, "gauteng-a"), 0)));
    let leader = cluster.wait_for_leader();
    let racers: Vec<u64> = (0..8)
        .map(|number| {
            let change = put(
                &format!("racer-{number}"),
                "gauteng",
                region(10 + number, "gauteng-a"),
                1,
            );
            cluster.submit(&leader, change)
        })
        .collect();
    cluster.run_until("all answers", |cluster| {
        racers.iter().all(|it| cluster.answers.contains_key(it))
    });
    let won = racers
        .iter()
        .filter(|it| matches!(cluster.answers[*it], Ok(Answer::Item(_))))
        .count();
    let conflict = Err(ApiError::Conflict {
        key: key("region/gauteng"),
        current_version: 2,
    });
    let lost = racers
        .iter()
        .filter(|it| cluster.answers[*it] == conflict)
        .count();
    assert_eq!((won, lost), (1, 7));
}

#[test]
fn a_replica_that_is_cut_off_answers_no_read_and_accepts_nothing() {
    let mut cluster = Cluster::new(3);
    item(cluster.request_leader(&put("base", "gauteng", region(1, "gauteng-a"), 0)));
    let old = cluster.wait_for_leader();
    cluster.isolated.insert(old.clone());
    let read = cluster.submit(&old, get("region/gauteng"));
    let write = cluster.submit(&old, put("lost", "gauteng", region(5, "gauteng-a"), 1));
    let change = put("kept", "gauteng", region(7, "gauteng-a"), 1);
    assert_eq!(item(cluster.request_leader(&change)).resource.version, 2);
    cluster.run_until("both answers", |cluster| {
        cluster.answers.contains_key(&read) && cluster.answers.contains_key(&write)
    });
    for request in [read, write] {
        assert!(matches!(
            cluster.answers[&request],
            Err(ApiError::Unavailable | ApiError::NotLeader { .. })
        ));
    }
    cluster.isolated.clear();
    let found = item(cluster.request_leader(&get("region/gauteng"))).resource;
    assert_eq!(found.version, 2);
    assert_eq!(found.spec, region(7, "gauteng-a"));
}

#[test]
fn an_overwritten_change_is_not_answered_with_the_one_in_its_place() {
    let mut cluster = Cluster::new(3);
    item(cluster.request_leader(&put("base", "gauteng", region(1, "gauteng-a"), 0)));
    let old = cluster.wait_for_leader();
    cluster.isolated.insert(old.clone());
    let lost: Vec<u64> = (0..3)
        .map(|number| {
            let name = format!("lost-{number}");
            let change = put(&name, &name, region(5, &name), 0);
            cluster.submit(&old, change)
        })
        .collect();
    for name in ["kept-0", "kept-1"] {
        item(cluster.request_leader(&put(name, name, region(7, name), 0)));
    }
    cluster.isolated.clear();
    cluster.run_until("the answers", |cluster| {
        lost.iter().all(|it| cluster.answers.contains_key(it))
    });
    assert!(cluster.now_us < REQUEST_TIMEOUT_US, "the proposals expired");
    for request in lost {
        assert_eq!(cluster.answers[&request], Err(ApiError::Unavailable));
    }
}

#[test]
fn a_follower_names_the_leader_to_a_change() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.wait_for_leader();
    let follower = cluster.follower();
    cluster.run_ms(200);
    let change = put("x", "gauteng", region(1, "gauteng-a"), 0);
    assert_eq!(
        cluster.request(&follower, change),
        Err(ApiError::NotLeader {
            leader: Some(format!("http-of-{}", leader.name))
        })
    );
}

#[test]
fn a_follower_answers_a_read_with_every_change_accepted_before() {
    let mut cluster = Cluster::new(3);
    let follower = cluster.follower();
    cluster.run_ms(200);
    for version in 0..20 {
        let name = format!("change-{version}");
        let change = put(
            &name,
            "gauteng",
            region(version + 1, "gauteng-a"),
            version.into(),
        );
        item(cluster.request_leader(&change));
        let read = item(cluster.request(&follower, get("region/gauteng")));
        assert_eq!(read.resource.version, u64::from(version) + 1);
    }
}

#[test]
fn a_follower_that_is_cut_off_answers_no_read() {
    let mut cluster = Cluster::new(3);
    item(cluster.request_leader(&put("base", "gauteng", region(1, "gauteng-a"), 0)));
    let follower = cluster.follower();
    cluster.run_ms(200);
    cluster.isolated.insert(follower.clone());
    item(cluster.request_leader(&put("next", "gauteng", region(2, "gauteng-a"), 1)));
    let answer = cluster.request(&follower, get("region/gauteng"));
    assert!(matches!(answer, Err(ApiError::NotLeader { .. })));
    cluster.isolated.clear();
    cluster.run_ms(2_000);
    let read = item(cluster.request(&follower, get("region/gauteng")));
    assert_eq!(read.resource.version, 2);
}

#[test]
fn a_follower_whose_read_request_is_lost_answers_not_leader_early() {
    let mut cluster = Cluster::new(3);
    let follower = cluster.follower();
    cluster.run_ms(200);
    let sent_us = cluster.now_us;
    cluster.isolated.insert(follower.clone());
    let request = cluster.submit(&follower, get("region/gauteng"));
    cluster.tick();
    cluster.isolated.clear();
    cluster.run_until("an answer", |cluster| {
        cluster.answers.contains_key(&request)
    });
    let leader = cluster.wait_for_leader();
    assert_eq!(
        cluster.answers[&request],
        Err(ApiError::NotLeader {
            leader: Some(format!("http-of-{}", leader.name))
        })
    );
    assert!(cluster.now_us - sent_us <= REQUEST_TIMEOUT_US / 4);
}
