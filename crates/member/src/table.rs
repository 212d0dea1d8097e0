//! The table itself.

use crate::{
    EXPIRES_WITHIN_MS, REMEMBER_EXPIRED_MS,
    exchange::{PeerAnswer, PeerRenewal, PeerUpstream},
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::{Announcement, TimeUs, UpstreamName};

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// It is the latest of its upstream.
    Accepted,
    /// A later one is known.
    Outdated,
}

/// A change of the table that the choice of upstreams must follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The upstream is new, or what it said changed.
    Changed(UpstreamName),
    /// The upstream's announcement expired.
    Gone(UpstreamName),
}

/// One upstream as the process dump shows it.
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
    /// When this entry's own right to vouch for it ends; in the past when it never heard it.
    home_until_us: TimeUs,
    changed_version: u64,
    gone: bool,
}

impl Member {
    fn order(&self) -> (u64, u64) {
        (self.announcement.epoch_ms, self.announcement.sequence)
    }
}

/// Every upstream that this entry knows.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<UpstreamName, Member>,
    version: u64,
}

impl Members {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an announcement that the upstream made here.
    pub fn announce(
        &mut self,
        now_us: TimeUs,
        name: &UpstreamName,
        announcement: &Announcement,
        events: &mut Vec<Event>,
    ) -> Announced {
        let expires_us = now_us.after_ms(EXPIRES_WITHIN_MS);
        let announced = self.learn(name, announcement, expires_us, now_us, events);
        if announced == Announced::Accepted
            && let Some(member) = self.members.get_mut(name)
        {
            if member.home_until_us.reached(now_us) {
                self.version += 1;
                member.changed_version = self.version;
            }
            member.home_until_us = expires_us;
        }
        announced
    }

    /// Takes a home's answer to a question asked at `asked_us`.
    pub fn merge(
        &mut self,
        now_us: TimeUs,
        asked_us: TimeUs,
        answer: &PeerAnswer,
        events: &mut Vec<Event>,
    ) {
        for upstream in &answer.upstreams {
            let expires_us = asked_us.after_ms(upstream.remaining_ms);
            self.learn(
                &upstream.name,
                &upstream.announcement,
                expires_us,
                now_us,
                events,
            );
        }
        for renewal in &answer.renewals {
            self.renew(now_us, asked_us, renewal, events);
        }
    }

    /// What this entry, as a home, answers to a question after `since_version`.
    #[must_use]
    pub fn answer(&self, now_us: TimeUs, since_version: u64) -> PeerAnswer {
        let mut answer = PeerAnswer {
            version: self.version,
            ..PeerAnswer::default()
        };
        let everything = since_version > self.version;
        for (name, member) in &self.members {
            if member.home_until_us.reached(now_us) {
                continue;
            }
            let remaining_ms = member.home_until_us.since_us(now_us) / 1_000;
            if everything || member.changed_version > since_version {
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

    /// Ends announcements whose deadline has come and forgets those long gone.
    pub fn expire(&mut self, now_us: TimeUs, events: &mut Vec<Event>) {
        for (name, member) in &mut self.members {
            if !member.gone && member.expires_us.reached(now_us) {
                member.gone = true;
                events.push(Event::Gone(name.clone()));
            }
        }
        self.members.retain(|_, member| {
            !member
                .expires_us
                .after_ms(REMEMBER_EXPIRED_MS)
                .reached(now_us)
        });
    }

    /// The latest announcement of an upstream whose deadline has not come.
    #[must_use]
    pub fn get(&self, name: &UpstreamName) -> Option<&Announcement> {
        self.members
            .get(name)
            .filter(|member| !member.gone)
            .map(|member| &member.announcement)
    }

    /// How many upstreams are valid.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.values().filter(|member| !member.gone).count()
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
            .filter(|(_, member)| !member.gone)
            .map(move |(name, member)| MemberRow {
                name,
                announcement: &member.announcement,
                remaining_ms: member.expires_us.since_us(now_us) / 1_000,
                heard_here: !member.home_until_us.reached(now_us),
            })
    }

    fn learn(
        &mut self,
        name: &UpstreamName,
        announcement: &Announcement,
        expires_us: TimeUs,
        now_us: TimeUs,
        events: &mut Vec<Event>,
    ) -> Announced {
        let expired = expires_us.reached(now_us);
        let Some(member) = self.members.get_mut(name) else {
            if expired {
                return Announced::Outdated;
            }
            self.insert(name, announcement, expires_us);
            events.push(Event::Changed(name.clone()));
            return Announced::Accepted;
        };
        let order = (announcement.epoch_ms, announcement.sequence);
        if order < member.order() {
            return Announced::Outdated;
        }
        if order == member.order() && expired {
            return Announced::Outdated;
        }
        if order == member.order() {
            return extend(name, member, expires_us, events);
        }
        let content_changed = member.gone || differs(&member.announcement, announcement);
        member.announcement.clone_from(announcement);
        member.expires_us = expires_us;
        if expired {
            drop_expired(name, member, events);
            return Announced::Accepted;
        }
        member.gone = false;
        if content_changed {
            self.version += 1;
            member.changed_version = self.version;
            events.push(Event::Changed(name.clone()));
        }
        Announced::Accepted
    }

    fn insert(&mut self, name: &UpstreamName, announcement: &Announcement, expires_us: TimeUs) {
        self.version += 1;
        let member = Member {
            announcement: announcement.clone(),
            expires_us,
            home_until_us: TimeUs::default(),
            changed_version: self.version,
            gone: false,
        };
        self.members.insert(name.clone(), member);
    }

    fn renew(
        &mut self,
        now_us: TimeUs,
        asked_us: TimeUs,
        renewal: &PeerRenewal,
        events: &mut Vec<Event>,
    ) {
        let Some(member) = self.members.get_mut(&renewal.name) else {
            return;
        };
        let expires_us = asked_us.after_ms(renewal.remaining_ms);
        let older = (renewal.epoch_ms, renewal.sequence) < member.order();
        let other_epoch = renewal.epoch_ms != member.announcement.epoch_ms;
        if older || other_epoch || expires_us.reached(now_us) {
            return;
        }
        member.announcement.sequence = renewal.sequence;
        member.announcement.load = renewal.load;
        extend(&renewal.name, member, expires_us, events);
    }
}

/// Moves the deadline of an unchanged announcement; it never comes earlier.
fn extend(
    name: &UpstreamName,
    member: &mut Member,
    expires_us: TimeUs,
    events: &mut Vec<Event>,
) -> Announced {
    member.expires_us = member.expires_us.max(expires_us);
    if member.gone {
        member.gone = false;
        events.push(Event::Changed(name.clone()));
    }
    Announced::Accepted
}

/// Marks an upstream gone whose later announcement came after its own deadline.
fn drop_expired(name: &UpstreamName, member: &mut Member, events: &mut Vec<Event>) {
    if !member.gone {
        member.gone = true;
        events.push(Event::Gone(name.clone()));
    }
}

/// Whether the announcements differ in more than what every renewal changes.
fn differs(old: &Announcement, new: &Announcement) -> bool {
    let renewed = Announcement {
        sequence: new.sequence,
        load: new.load,
        ..old.clone()
    };
    renewed != *new
}
