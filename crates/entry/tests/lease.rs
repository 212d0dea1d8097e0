//! The configuration lease: which answers confirm it, and that an entry without it takes no work.

mod support;

use support::{CallerResult, Cluster, DECLARED_INDEX};
use types::{CONFIG_LEASE_MS, Outcome, Refusal};

/// Long enough for every reachable replica to be polled again, even after one lost poll.
const CONFIRM_WITHIN_MS: u64 = 600;

fn is_ready(cluster: &Cluster) -> bool {
    cluster.entries[0].core.is_ready(cluster.now_us())
}

#[test]
fn an_entry_without_a_majority_takes_no_work_after_its_lease_until_it_reaches_one() {
    let mut cluster = Cluster::new(1);
    assert!(is_ready(&cluster));
    cluster.replica("control-1").reachable = false;
    cluster.replica("control-2").reachable = false;
    cluster.advance_ms(CONFIG_LEASE_MS);
    let request = cluster.send(0, None);
    let CallerResult::Settled(settled) = &cluster.results[&(0, request)] else {
        panic!("the entry answered a request that it should have refused");
    };
    assert_eq!(settled.outcome, Outcome::DidNotRun);
    assert_eq!(settled.refusal, Some(Refusal::ConfigurationLease));
    cluster.replica("control-2").reachable = true;
    cluster.advance_ms(CONFIRM_WITHIN_MS);
    assert!(is_ready(&cluster));
}

#[test]
fn one_unreachable_replica_of_three_does_not_end_the_lease() {
    let mut cluster = Cluster::new(1);
    cluster.replica("control-3").reachable = false;
    cluster.advance_ms(3 * CONFIG_LEASE_MS);
    assert!(is_ready(&cluster));
}

#[test]
fn answers_of_a_learner_confirm_nothing() {
    let mut cluster = Cluster::new(1);
    cluster.replica("control-1").reachable = false;
    cluster.replica("control-2").is_voter = false;
    cluster.advance_ms(CONFIG_LEASE_MS + CONFIRM_WITHIN_MS);
    assert!(!is_ready(&cluster));
}

#[test]
fn a_replica_that_lost_its_disk_does_not_end_the_lease() {
    for wiped in ["control-1", "control-2", "control-3"] {
        let mut cluster = Cluster::new(1);
        let replica = cluster.replica(wiped);
        replica.last_index = 0;
        replica.applied_index = 0;
        replica.is_voter = false;
        replica.voters = 0;
        cluster.advance_ms(3 * CONFIG_LEASE_MS);
        assert!(is_ready(&cluster), "{wiped}");
    }
}

#[test]
fn answers_under_an_older_membership_confirm_nothing() {
    let mut cluster = Cluster::new(1);
    cluster.replica("control-1").membership_index = 9;
    cluster.advance_ms(CONFIG_LEASE_MS + CONFIRM_WITHIN_MS);
    assert!(!is_ready(&cluster));
    cluster.replica("control-2").membership_index = 9;
    cluster.advance_ms(CONFIRM_WITHIN_MS);
    assert!(is_ready(&cluster));
}

#[test]
fn a_change_that_a_majority_has_and_the_entry_lacks_ends_the_lease() {
    let mut cluster = Cluster::new(1);
    for name in ["control-1", "control-2"] {
        cluster.replica(name).last_index = DECLARED_INDEX + 1;
    }
    cluster.advance_ms(CONFIG_LEASE_MS + CONFIRM_WITHIN_MS);
    assert!(!is_ready(&cluster));
    cluster.replica("control-1").applied_index = DECLARED_INDEX + 1;
    cluster.advance_ms(CONFIRM_WITHIN_MS);
    assert!(is_ready(&cluster));
}

#[test]
fn uncommitted_changes_on_one_replica_do_not_end_the_lease() {
    let mut cluster = Cluster::new(1);
    cluster.replica("control-3").last_index = DECLARED_INDEX + 5;
    cluster.advance_ms(3 * CONFIG_LEASE_MS);
    assert!(is_ready(&cluster));
}

#[test]
fn a_paused_entry_takes_no_work_when_it_resumes() {
    let mut cluster = Cluster::new(1);
    cluster.now_ms += 30_000;
    let request = cluster.send(0, None);
    assert!(matches!(
        &cluster.results[&(0, request)],
        CallerResult::Settled(settled) if settled.refusal == Some(Refusal::ConfigurationLease)
    ));
    assert!(cluster.runs.is_empty());
}

#[test]
fn a_lagging_replica_does_not_restore_an_older_configuration() {
    let mut cluster = Cluster::new(1);
    let lagging = cluster.replica("control-3");
    lagging.applied_index = DECLARED_INDEX - 1;
    lagging.last_index = DECLARED_INDEX - 1;
    lagging.sends_empty_list = true;
    cluster.advance_ms(CONFIG_LEASE_MS);
    assert_eq!(cluster.entries[0].core.applied_index(), DECLARED_INDEX);
    let request = cluster.send(0, None);
    assert!(!cluster.results.contains_key(&(0, request)));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_restarted_entry_takes_no_work_before_a_majority_confirmed_what_it_runs() {
    let mut cluster = Cluster::new(1);
    for name in ["control-1", "control-2"] {
        cluster.replica(name).reachable = false;
    }
    cluster.restart(0);
    cluster.advance_ms(2_000);
    assert_eq!(cluster.entries[0].core.applied_index(), DECLARED_INDEX);
    assert!(!is_ready(&cluster));
    cluster.replica("control-1").reachable = true;
    cluster.advance_ms(CONFIRM_WITHIN_MS);
    assert!(is_ready(&cluster));
}
