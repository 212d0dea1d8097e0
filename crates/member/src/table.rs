//! The table of upstreams: the latest announcement of each, and until when it is valid.

use crate::{
    EXPIRES_WITHIN_MS, REMEMBER_EXPIRED_MS,
    exchange::{PeerAnswer, PeerRenewal, PeerUpstream},
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::{Announcement, TimeUs, UpstreamName};

/// Whether an announcement was stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceResult {
    /// It is the upstream's latest announcement, and is stored.
    Accepted,
    /// A later one is stored, or it has already expired and there is no earlier one to replace. The
    /// table stays as it is.
    Outdated,
}

/// A change of the table that the router needs to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The upstream is new or valid again, or more than the sequence and the load of its
    /// announcement changed.
    Changed(UpstreamName),
    /// The upstream's latest announcement expired.
    Expired(UpstreamName),
}

/// One valid upstream in the process dump. `heard_here` tells whether this entry is its home.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberRow<'a> {
    name: &'a UpstreamName,
    announcement: &'a Announcement,
    remaining_ms: u64,
    heard_here: bool,
}

#[derive(Debug)]
struct Member {
    announcement: Announcement,
    expires_us: TimeUs,
    /// Until when this entry is the home and reports the upstream to other entries. In the past if
    /// the upstream never announced itself here.
    home_until_us: TimeUs,
    /// The version of the table when the announcement last changed or this entry became its home.
    changed_version: u64,
    expired: bool,
}

impl Member {
    /// Announcements of an upstream are ordered by epoch, then by sequence.
    fn sequence_key(&self) -> (u64, u64) {
        (self.announcement.epoch_ms, self.announcement.sequence)
    }
}

/// The upstreams that announced themselves to this entry or were reported by other entries.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<UpstreamName, Member>,
    /// Increases when an announcement changes and when this entry becomes a home.
    version: u64,
}

impl Members {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement that an upstream sent to this entry, which becomes its home.
    pub fn announce(
        &mut self,
        now_us: TimeUs,
        name: &UpstreamName,
        announcement: &Announcement,
        events: &mut Vec<Event>,
    ) -> AnnounceResult {
        let expires_us = now_us.after_ms(EXPIRES_WITHIN_MS);
        let result = self.upsert(name, announcement, expires_us, now_us, events);
        if result == AnnounceResult::Accepted
            && let Some(member) = self.members.get_mut(name)
        {
            if member.home_until_us.reached(now_us) {
                self.version += 1;
                member.changed_version = self.version;
            }
            member.home_until_us = expires_us;
        }
        result
    }

    /// Merges a home's answer to a request that was sent at `sent_us`.
    pub fn merge(
        &mut self,
        now_us: TimeUs,
        sent_us: TimeUs,
        answer: &PeerAnswer,
        events: &mut Vec<Event>,
    ) {
        for upstream in &answer.upstreams {
            let expires_us = sent_us.after_ms(upstream.remaining_ms);
            self.upsert(
                &upstream.name,
                &upstream.announcement,
                expires_us,
                now_us,
                events,
            );
        }
        for renewal in &answer.renewals {
            self.apply_renewal(now_us, sent_us, renewal, events);
        }
    }

    /// This entry's answer, as a home, to a request for changes after `since_version`.
    ///
    /// A version higher than the table's is from before a restart of this entry; every upstream
    /// is then sent in full.
    #[must_use]
    pub fn answer(&self, now_us: TimeUs, since_version: u64) -> PeerAnswer {
        let mut answer = PeerAnswer {
            version: self.version,
            ..PeerAnswer::default()
        };
        let send_all = since_version > self.version;
        for (name, member) in &self.members {
            if member.home_until_us.reached(now_us) {
                continue;
            }
            let remaining_ms = member.home_until_us.since_us(now_us) / 1_000;
            if send_all || member.changed_version > since_version {
                let announcement = member.announcement.clone();
                answer.upstreams.push(PeerUpstream {
                    name: name.clone(),
                    announcement,
                    remaining_ms,
                });
            } else {
                answer.renewals.push(PeerRenewal {
                    name: name.clone(),
                    epoch_ms: member.announcement.epoch_ms,
                    sequence: member.announcement.sequence,
                    load: member.announcement.load,
                    remaining_ms,
                });
            }
        }
        answer
    }

    /// Expires announcements that are no longer valid, and removes those that expired more than
    /// [`REMEMBER_EXPIRED_MS`] ago.
    pub fn expire(&mut self, now_us: TimeUs, events: &mut Vec<Event>) {
        for (name, member) in &mut self.members {
            if !member.expired && member.expires_us.reached(now_us) {
                member.expired = true;
                events.push(Event::Expired(name.clone()));
            }
        }
        self.members.retain(|_, member| {
            !member
                .expires_us
                .after_ms(REMEMBER_EXPIRED_MS)
                .reached(now_us)
        });
    }

    /// The latest announcement of an upstream, if it has not expired.
    #[must_use]
    pub fn get(&self, name: &UpstreamName) -> Option<&Announcement> {
        self.members
            .get(name)
            .filter(|member| !member.expired)
            .map(|member| &member.announcement)
    }

    /// The number of valid upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members
            .values()
            .filter(|member| !member.expired)
            .count()
    }

    /// Whether no upstream is valid.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Every valid upstream, for the process dump.
    pub fn rows(&self, now_us: TimeUs) -> impl Iterator<Item = MemberRow<'_>> {
        self.members
            .iter()
            .filter(|(_, member)| !member.expired)
            .map(move |(name, member)| MemberRow {
                name,
                announcement: &member.announcement,
                remaining_ms: member.expires_us.since_us(now_us) / 1_000,
                heard_here: !member.home_until_us.reached(now_us),
            })
    }

    /// Stores an announcement unless a later one is known. One that has already expired only counts
    /// if it is later than the known one: it replaces that one, and the upstream is expired.
    fn upsert(
        &mut self,
        name: &UpstreamName,
        announcement: &Announcement,
        expires_us: TimeUs,
        now_us: TimeUs,
        events: &mut Vec<Event>,
    ) -> AnnounceResult {
        let already_expired = expires_us.reached(now_us);
        let Some(member) = self.members.get_mut(name) else {
            if already_expired {
                return AnnounceResult::Outdated;
            }
            self.insert(name, announcement, expires_us);
            events.push(Event::Changed(name.clone()));
            return AnnounceResult::Accepted;
        };
        let key = (announcement.epoch_ms, announcement.sequence);
        if key < member.sequence_key() {
            return AnnounceResult::Outdated;
        }
        if key == member.sequence_key() && already_expired {
            return AnnounceResult::Outdated;
        }
        if key == member.sequence_key() {
            return extend_validity(name, member, expires_us, events);
        }
        let content_changed = member.expired || content_differs(&member.announcement, announcement);
        member.announcement.clone_from(announcement);
        member.expires_us = expires_us;
        if already_expired {
            mark_expired(name, member, events);
            return AnnounceResult::Accepted;
        }
        member.expired = false;
        if content_changed {
            self.version += 1;
            member.changed_version = self.version;
            events.push(Event::Changed(name.clone()));
        }
        AnnounceResult::Accepted
    }

    fn insert(&mut self, name: &UpstreamName, announcement: &Announcement, expires_us: TimeUs) {
        self.version += 1;
        let member = Member {
            announcement: announcement.clone(),
            expires_us,
            home_until_us: TimeUs::default(),
            changed_version: self.version,
            expired: false,
        };
        self.members.insert(name.clone(), member);
    }

    /// Updates the sequence and the load, and extends the validity. Ignores a renewal of another
    /// epoch, since it doesn't carry the rest of that announcement, and one that is older than the
    /// stored announcement or has already expired.
    fn apply_renewal(
        &mut self,
        now_us: TimeUs,
        sent_us: TimeUs,
        renewal: &PeerRenewal,
        events: &mut Vec<Event>,
    ) {
        let Some(member) = self.members.get_mut(&renewal.name) else {
            return;
        };
        let expires_us = sent_us.after_ms(renewal.remaining_ms);
        let older = (renewal.epoch_ms, renewal.sequence) < member.sequence_key();
        let other_epoch = renewal.epoch_ms != member.announcement.epoch_ms;
        if older || other_epoch || expires_us.reached(now_us) {
            return;
        }
        member.announcement.sequence = renewal.sequence;
        member.announcement.load = renewal.load;
        extend_validity(&renewal.name, member, expires_us, events);
    }
}

/// Extends the validity of an unchanged announcement, never shortens it.
fn extend_validity(
    name: &UpstreamName,
    member: &mut Member,
    expires_us: TimeUs,
    events: &mut Vec<Event>,
) -> AnnounceResult {
    member.expires_us = member.expires_us.max(expires_us);
    if member.expired {
        member.expired = false;
        events.push(Event::Changed(name.clone()));
    }
    AnnounceResult::Accepted
}

/// Marks an upstream expired: its latest announcement arrived after the end of its own validity.
fn mark_expired(name: &UpstreamName, member: &mut Member, events: &mut Vec<Event>) {
    if !member.expired {
        member.expired = true;
        events.push(Event::Expired(name.clone()));
    }
}

/// Whether the announcements differ in more than the sequence and the load, which renewals change.
fn content_differs(old: &Announcement, new: &Announcement) -> bool {
    let old_renewed = Announcement {
        sequence: new.sequence,
        load: new.load,
        ..old.clone()
    };
    old_renewed != *new
}
