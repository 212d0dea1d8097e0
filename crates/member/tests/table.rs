//! The table of upstreams when announcements and answers are lost, late or reordered.

use member::{AnnounceResult, EXPIRES_WITHIN_MS, Event, Members, PeerAnswer};
use proptest::prelude::{Strategy, prop, prop_assert, proptest};
use types::{Announcement, TimeUs, UpstreamName, UpstreamState};

fn name() -> UpstreamName {
    UpstreamName::new("browse-1").expect("valid name")
}

fn announcement(epoch_ms: u64, sequence: u64, state: UpstreamState) -> Announcement {
    Announcement {
        service: "browse".parse().expect("valid name"),
        address: "127.0.2.1:9000".parse().expect("valid address"),
        region: "gauteng".parse().expect("valid name"),
        failure_domain: "gauteng-a".parse().expect("valid name"),
        slots: 3,
        connections: 350,
        load: 0,
        state,
        epoch_ms,
        sequence,
    }
}

fn at_ms(ms: u64) -> TimeUs {
    TimeUs::default().after_ms(1_000 + ms)
}

/// Sends a request to `home` at `sent_ms` and merges the answer into `puller` at `merged_ms`.
fn pull(home: &Members, puller: &mut Members, sent_ms: u64, merged_ms: u64) -> Vec<Event> {
    let mut events = Vec::new();
    let answer = home.answer(at_ms(sent_ms), 0);
    puller.merge(at_ms(merged_ms), at_ms(sent_ms), &answer, &mut events);
    events
}

#[test]
fn leaving_reaches_another_entry_with_its_next_request() {
    let (mut home, mut puller, mut events) = (Members::new(), Members::new(), Vec::new());
    home.announce(
        at_ms(0),
        &name(),
        &announcement(1, 1, UpstreamState::Ready),
        &mut events,
    );
    pull(&home, &mut puller, 10, 20);
    home.announce(
        at_ms(30),
        &name(),
        &announcement(1, 2, UpstreamState::Leaving),
        &mut events,
    );
    pull(&home, &mut puller, 40, 50);
    assert_eq!(
        puller.get(&name()).map(|a| a.state),
        Some(UpstreamState::Leaving)
    );
}

#[test]
fn an_entry_partitioned_from_the_home_drops_a_leaving_upstream_within_two_seconds() {
    let (mut home, mut puller, mut events) = (Members::new(), Members::new(), Vec::new());
    home.announce(
        at_ms(0),
        &name(),
        &announcement(1, 1, UpstreamState::Ready),
        &mut events,
    );
    pull(&home, &mut puller, 0, 300);
    let left_ms = 1;
    let leaving = announcement(1, 2, UpstreamState::Leaving);
    home.announce(at_ms(left_ms), &name(), &leaving, &mut events);
    events.clear();
    puller.expire(at_ms(left_ms + 2_000), &mut events);
    assert_eq!(events, [Event::Expired(name())]);
}

#[test]
fn an_older_announcement_changes_nothing_and_extends_nothing() {
    let (mut members, mut events) = (Members::new(), Vec::new());
    members.announce(
        at_ms(0),
        &name(),
        &announcement(1, 5, UpstreamState::Leaving),
        &mut events,
    );
    let late = announcement(1, 4, UpstreamState::Ready);
    let result = members.announce(at_ms(1_000), &name(), &late, &mut events);
    assert_eq!(result, AnnounceResult::Outdated);
    events.clear();
    members.expire(at_ms(EXPIRES_WITHIN_MS), &mut events);
    assert_eq!(events, [Event::Expired(name())]);
}

#[test]
fn an_older_announcement_does_not_make_an_expired_upstream_valid_again() {
    let (mut members, mut events) = (Members::new(), Vec::new());
    members.announce(
        at_ms(0),
        &name(),
        &announcement(2, 5, UpstreamState::Leaving),
        &mut events,
    );
    members.expire(at_ms(5_000), &mut events);
    let late = announcement(1, 9, UpstreamState::Ready);
    assert_eq!(
        members.announce(at_ms(5_001), &name(), &late, &mut events),
        AnnounceResult::Outdated
    );
    assert!(members.is_empty());
}

#[test]
fn a_restarted_upstream_replaces_its_previous_epoch() {
    let (mut members, mut events) = (Members::new(), Vec::new());
    members.announce(
        at_ms(0),
        &name(),
        &announcement(1, 90, UpstreamState::Leaving),
        &mut events,
    );
    members.announce(
        at_ms(1),
        &name(),
        &announcement(2, 1, UpstreamState::Ready),
        &mut events,
    );
    assert_eq!(
        members.get(&name()).map(|a| a.state),
        Some(UpstreamState::Ready)
    );
}

#[test]
fn a_renewal_of_a_previous_epoch_extends_nothing() {
    let (mut home, mut puller, mut events) = (Members::new(), Members::new(), Vec::new());
    home.announce(
        at_ms(0),
        &name(),
        &announcement(1, 90, UpstreamState::Ready),
        &mut events,
    );
    let version = home.answer(at_ms(0), 0).version;
    puller.announce(
        at_ms(0),
        &name(),
        &announcement(2, 1, UpstreamState::Ready),
        &mut events,
    );
    home.announce(
        at_ms(1_000),
        &name(),
        &announcement(1, 91, UpstreamState::Ready),
        &mut events,
    );
    let answer = home.answer(at_ms(1_000), version);
    assert_eq!(answer.renewals.len(), 1);
    puller.merge(at_ms(1_001), at_ms(1_000), &answer, &mut events);
    puller.expire(at_ms(EXPIRES_WITHIN_MS), &mut events);
    assert!(puller.is_empty());
}

#[test]
fn an_unchanged_upstream_is_sent_as_a_renewal() {
    let (mut home, mut events) = (Members::new(), Vec::new());
    home.announce(
        at_ms(0),
        &name(),
        &announcement(1, 1, UpstreamState::Ready),
        &mut events,
    );
    let first = home.answer(at_ms(1), 0);
    assert_eq!((first.upstreams.len(), first.renewals.len()), (1, 0));
    home.announce(
        at_ms(500),
        &name(),
        &announcement(1, 2, UpstreamState::Ready),
        &mut events,
    );
    let second: PeerAnswer = home.answer(at_ms(501), first.version);
    assert_eq!((second.upstreams.len(), second.renewals.len()), (0, 1));
}

fn pulls() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0_u64..6_000, 0_u64..3_000), 0..40)
}

proptest! {
    /// The home receives the last announcement at 2,000 ms. However long answers are delayed, no
    /// other entry uses the upstream after the validity of that announcement.
    #[test]
    fn no_delay_of_an_answer_extends_validity(pulls in pulls()) {
        let (mut home, mut puller, mut events) = (Members::new(), Members::new(), Vec::new());
        let mut pulls = pulls;
        pulls.sort_unstable();
        let mut sequence = 0;
        let mut answers = Vec::new();
        for (sent_ms, delay_ms) in pulls {
            while sequence * 500 <= sent_ms.min(2_000) {
                let announced = announcement(1, sequence, UpstreamState::Ready);
                home.announce(at_ms(sequence * 500), &name(), &announced, &mut events);
                sequence += 1;
            }
            answers.push((sent_ms + delay_ms, sent_ms, home.answer(at_ms(sent_ms), 0)));
        }
        answers.sort_by_key(|(merged_ms, ..)| *merged_ms);
        for (merged_ms, sent_ms, answer) in answers {
            puller.expire(at_ms(merged_ms), &mut events);
            puller.merge(at_ms(merged_ms), at_ms(sent_ms), &answer, &mut events);
            let bound_ms = 2_000 + EXPIRES_WITHIN_MS;
            prop_assert!(merged_ms < bound_ms || puller.is_empty());
        }
    }
}
