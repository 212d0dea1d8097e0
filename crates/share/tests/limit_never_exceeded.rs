//! Random schedules of lost and delayed messages, paused entries, leader changes and clocks of
//! different rates: the sum of what entries may use and do use never exceeds the configured limit.

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, proptest};
use share::{Allocator, Grant, Holder, HolderId, Pool, Want};
use types::TimeUs;

const LIMIT: u64 = 40;
const ENTRIES: usize = 5;
const DEADLINE_MS: u64 = 4_000;
const STEP_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Action {
    /// The entry sends a want; the want and the grant are delayed by this long.
    Ask {
        entry: usize,
        demand: u64,
        want_delay_ms: u64,
        grant_delay_ms: u64,
    },
    /// The entry starts as much of `work` as its share allows.
    Admit {
        entry: usize,
        work: u64,
        run_time_ms: u64,
    },
    /// The entry sends, applies and admits nothing for this long; work in flight continues.
    Pause { entry: usize, duration_ms: u64 },
    /// Another replica becomes the leader, with an empty allocator.
    ChangeLeader,
    /// Time passes and due messages are delivered.
    Wait { duration_ms: u64 },
}

fn delay_ms() -> impl Strategy<Value = u64> {
    prop::strategy::Union::new_weighted(vec![(4, 0_u64..50), (1, 0_u64..3_500)])
}

fn demand() -> impl Strategy<Value = u64> {
    prop::strategy::Union::new(vec![0_u64..3, 20..60])
}

fn wait_ms() -> impl Strategy<Value = u64> {
    prop::strategy::Union::new_weighted(vec![(4, 0_u64..400), (1, 1_000..4_000)])
}

fn action() -> impl Strategy<Value = Action> {
    let entry = 0..ENTRIES;
    prop::strategy::Union::new_weighted(vec![
        (
            8,
            (entry.clone(), demand(), delay_ms(), delay_ms())
                .prop_map(
                    |(entry, demand, want_delay_ms, grant_delay_ms)| Action::Ask {
                        entry,
                        demand,
                        want_delay_ms,
                        grant_delay_ms,
                    },
                )
                .boxed(),
        ),
        (
            4,
            (entry.clone(), 1_u64..60, DEADLINE_MS / 2..=DEADLINE_MS)
                .prop_map(|(entry, work, run_time_ms)| Action::Admit {
                    entry,
                    work,
                    run_time_ms,
                })
                .boxed(),
        ),
        (
            1,
            (entry, 0_u64..6_000)
                .prop_map(|(entry, duration_ms)| Action::Pause { entry, duration_ms })
                .boxed(),
        ),
        (1, any::<()>().prop_map(|()| Action::ChangeLeader).boxed()),
        (
            6,
            wait_ms()
                .prop_map(|duration_ms| Action::Wait { duration_ms })
                .boxed(),
        ),
    ])
}

struct Entry {
    id: HolderId,
    holder: Holder,
    /// When each piece of work ends, in true time; it is in flight until then.
    work_until_ms: Vec<u64>,
    paused_until_ms: u64,
    /// Rate of the entry's clock, in percent of true time.
    clock_percent: u64,
}

enum Message {
    Want {
        entry: usize,
        want: Want,
        sent_us: TimeUs,
        grant_delay_ms: u64,
    },
    Grant {
        entry: usize,
        grant: Grant,
        sent_us: TimeUs,
    },
}

struct World {
    now_ms: u64,
    pool: Pool,
    entries: Vec<Entry>,
    leader: Allocator,
    leader_clock_percent: u64,
    term: u64,
    /// Messages with the true time of their delivery, in milliseconds.
    in_flight: Vec<(u64, Message)>,
}

/// The time of a clock that runs at `percent` of true time.
fn clock_us(now_ms: u64, percent: u64) -> TimeUs {
    TimeUs((now_ms + 100_000) * 10 * percent)
}

impl World {
    fn new(clocks: &[u64]) -> Self {
        let pool = Pool::Region {
            region: "gauteng".parse().expect("valid name"),
        };
        let entries = (0..ENTRIES).map(|index| Entry {
            id: HolderId {
                entry: format!("entry-{index}").parse().expect("valid name"),
                incarnation: 1,
            },
            holder: Holder::new(),
            work_until_ms: Vec::new(),
            paused_until_ms: 0,
            clock_percent: clocks[index],
        });
        let start_us = clock_us(0, clocks[ENTRIES]);
        let mut leader = Allocator::new(1, start_us, DEADLINE_MS);
        leader.set_first_limit(&pool, LIMIT);
        Self {
            now_ms: 0,
            pool,
            entries: entries.collect(),
            leader,
            leader_clock_percent: clocks[ENTRIES],
            term: 1,
            in_flight: Vec::new(),
        }
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Ask {
                entry,
                demand,
                want_delay_ms,
                grant_delay_ms,
            } => {
                self.ask(entry, demand, want_delay_ms, grant_delay_ms);
            }
            Action::Admit {
                entry,
                work,
                run_time_ms,
            } => self.admit(entry, work, run_time_ms),
            Action::Pause { entry, duration_ms } => {
                self.entries[entry].paused_until_ms = self.now_ms + duration_ms;
            }
            Action::ChangeLeader => {
                self.term += 1;
                let now_us = clock_us(self.now_ms, self.leader_clock_percent);
                self.leader = Allocator::new(self.term, now_us, DEADLINE_MS);
                self.leader.set_limit(&self.pool, LIMIT);
            }
            Action::Wait { duration_ms } => {
                let until_ms = self.now_ms + duration_ms;
                while self.now_ms < until_ms {
                    self.now_ms += STEP_MS;
                    self.deliver();
                }
            }
        }
    }

    fn ask(&mut self, index: usize, demand: u64, want_delay_ms: u64, grant_delay_ms: u64) {
        let entry = &mut self.entries[index];
        if entry.paused_until_ms > self.now_ms {
            return;
        }
        let sent_us = clock_us(self.now_ms, entry.clock_percent);
        let in_use = entry.in_use(self.now_ms);
        let want = entry.holder.want(sent_us, &self.pool, in_use, demand);
        let message = Message::Want {
            entry: index,
            want,
            sent_us,
            grant_delay_ms,
        };
        self.in_flight.push((self.now_ms + want_delay_ms, message));
        self.deliver();
    }

    fn admit(&mut self, index: usize, work: u64, run_time_ms: u64) {
        let entry = &mut self.entries[index];
        let now_us = clock_us(self.now_ms, entry.clock_percent);
        let (amount, until_us) = entry.holder.usable(&self.pool);
        if entry.paused_until_ms > self.now_ms || until_us.reached(now_us) {
            return;
        }
        let room = amount.saturating_sub(entry.in_use(self.now_ms));
        let until_ms = self.now_ms + run_time_ms * 100 / 103;
        entry
            .work_until_ms
            .extend((0..work.min(room)).map(|_| until_ms));
    }

    fn deliver(&mut self) {
        self.in_flight
            .sort_by_key(|(deliver_at_ms, _)| *deliver_at_ms);
        while self
            .in_flight
            .first()
            .is_some_and(|(deliver_at_ms, _)| *deliver_at_ms <= self.now_ms)
        {
            let (_, message) = self.in_flight.remove(0);
            match message {
                Message::Want {
                    entry,
                    want,
                    sent_us,
                    grant_delay_ms,
                } => {
                    let now_us = clock_us(self.now_ms, self.leader_clock_percent);
                    let id = &self.entries[entry].id;
                    let Some(grant) = self.leader.answer_want(now_us, id, entry % 2 == 0, &want)
                    else {
                        continue;
                    };
                    let deliver_at_ms = self.now_ms + grant_delay_ms;
                    self.in_flight.push((
                        deliver_at_ms,
                        Message::Grant {
                            entry,
                            grant,
                            sent_us,
                        },
                    ));
                    self.in_flight
                        .sort_by_key(|(deliver_at_ms, _)| *deliver_at_ms);
                }
                Message::Grant {
                    entry,
                    grant,
                    sent_us,
                } => {
                    let entry = &mut self.entries[entry];
                    if entry.paused_until_ms <= self.now_ms {
                        let now_us = clock_us(self.now_ms, entry.clock_percent);
                        entry.holder.apply(now_us, sent_us, &grant);
                    }
                }
            }
        }
    }

    /// The sum over all entries of what they may use now or, when larger, do use.
    fn used(&self) -> u64 {
        let used = self.entries.iter().map(|entry| {
            let (amount, until_us) = entry.holder.usable(&self.pool);
            let expired = until_us.reached(clock_us(self.now_ms, entry.clock_percent));
            entry
                .in_use(self.now_ms)
                .max(if expired { 0 } else { amount })
        });
        used.sum()
    }
}

impl Entry {
    fn in_use(&self, now_ms: u64) -> u64 {
        self.work_until_ms
            .iter()
            .filter(|until_ms| **until_ms > now_ms)
            .count() as u64
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn shares_never_exceed_the_limit(
        actions in prop::collection::vec(action(), 1..120),
        clocks in prop::collection::vec(99_u64..=101, ENTRIES + 1),
    ) {
        let mut world = World::new(&clocks);
        for action in &actions {
            world.apply(action);
            prop_assert!(world.used() <= LIMIT, "{} of {LIMIT} used", world.used());
        }
    }
}
