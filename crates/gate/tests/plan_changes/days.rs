//! Random days: requests arrive, wait, run and end between changes of the plan.

use crate::{
    CHANGES, ENDINGS, TICK_MS, Terms, WAIT_MS, grant, next_answer, request, serving,
    support::{REPLICA, at_ms},
};
use gate::{Arrival, Decision, Ending, Gate, NextStep, Target};
use plan::RetrySafety;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A step of a random day.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        timeout_ms: u64,
    },
    Change(usize),
    /// Ends the attempt of one of the requests in flight.
    End {
        which: usize,
        ending: usize,
    },
    /// The client of one of the requests leaves.
    Leave {
        which: usize,
    },
    Grant {
        tokens: u64,
    },
    Suspend {
        ms: u64,
    },
    Pass {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..4_000_u64).prop_map(|timeout_ms| Step::Arrive { timeout_ms }),
        3 => (0..CHANGES.len()).prop_map(Step::Change),
        3 => (any::<usize>(), 0..ENDINGS.len())
            .prop_map(|(which, ending)| Step::End { which, ending }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (0..4_u64).prop_map(|tokens| Step::Grant { tokens }),
        1 => (1..3_000_u64).prop_map(|ms| Step::Suspend { ms }),
        3 => (1..400_u64).prop_map(|ms| Step::Pass { ms }),
    ];
    prop::collection::vec(step, 1..60)
}

/// A gateway with its clients, as the actor and the tasks of connections drive it.
struct Day {
    gate: Gate,
    ms: u64,
    suspended_ms: u64,
    version: u64,
    terms: Terms,
    /// By request: until when a decision must come.
    waiting: BTreeMap<u64, u64>,
    /// By request: the attempt, and the deadline in milliseconds.
    at_upstream: BTreeMap<u64, (Target, u64)>,
    /// By request: its deadline in milliseconds.
    deadlines: BTreeMap<u64, u64>,
    ended: BTreeSet<u64>,
}

impl Day {
    fn new(terms: Terms) -> Self {
        Self {
            gate: serving(terms),
            ms: 1,
            suspended_ms: 0,
            version: 1,
            terms,
            waiting: BTreeMap::new(),
            at_upstream: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive { timeout_ms } => {
                let arrival = Arrival {
                    timeout_ms: Some(timeout_ms),
                    ..request()
                };
                let request = arrival.request;
                self.deadlines.insert(request, self.ms + timeout_ms);
                match self.gate.handle_arrival(&arrival, at_ms(self.ms)) {
                    Decision::Wait => {
                        let until_ms = self.ms + WAIT_MS.min(timeout_ms / 3);
                        self.waiting.insert(request, until_ms);
                    }
                    decision => self.decide(request, decision),
                }
            }
            Step::Change(index) => {
                self.version += 1;
                let answer = next_answer(self.terms, CHANGES[index], self.version);
                self.gate
                    .handle_poll_answer(REPLICA, answer, at_ms(self.ms));
                self.take_decided();
            }
            Step::End { which, ending } => {
                if let Some(request) = nth(&self.at_upstream, which) {
                    self.end(request, ENDINGS[ending]);
                }
            }
            Step::Leave { which } => {
                if let Some(request) = nth(&self.waiting, which) {
                    self.waiting.remove(&request);
                    assert!(!self.gate.client_left(request, at_ms(self.ms)));
                    self.record_end(request);
                } else if let Some(request) = nth(&self.at_upstream, which) {
                    self.at_upstream.remove(&request);
                    assert!(self.gate.client_left(request, at_ms(self.ms)));
                    self.record_end(request);
                }
            }
            Step::Grant { tokens } => {
                grant(&mut self.gate, tokens, self.ms);
                self.take_decided();
            }
            Step::Suspend { ms } => {
                self.suspended_ms += ms;
                self.gate.set_suspended_us(self.suspended_ms * 1_000);
            }
            Step::Pass { ms } => self.pass(ms),
        }
        assert_eq!(
            self.gate.in_flight(),
            self.waiting.len() + self.at_upstream.len()
        );
    }

    /// Lets time pass in ticks, and attempts time out at their deadlines.
    fn pass(&mut self, ms: u64) {
        let end_ms = self.ms + ms;
        while self.ms < end_ms {
            self.ms = (self.ms + TICK_MS).min(end_ms);
            self.gate.tick(at_ms(self.ms));
            self.take_decided();
            let late = self
                .waiting
                .iter()
                .find(|(_, until_ms)| **until_ms + TICK_MS < self.ms);
            assert_eq!(late, None, "not decided at {} ms", self.ms);
            let due = self.at_upstream.iter();
            let due: Vec<u64> = due
                .filter(|(_, (_, deadline_ms))| *deadline_ms <= self.ms)
                .map(|(request, _)| *request)
                .collect();
            for request in due {
                self.end(request, Ending::TimedOut);
                assert!(
                    self.ended.contains(&request),
                    "{request} outlives its deadline"
                );
            }
        }
    }

    fn take_decided(&mut self) {
        for (request, decision) in self.gate.take_decided(at_ms(self.ms)) {
            assert!(
                self.waiting.remove(&request).is_some(),
                "{request} is decided twice"
            );
            self.decide(request, decision);
        }
    }

    fn decide(&mut self, request: u64, decision: Decision) {
        match decision {
            Decision::Wait => panic!("{request} is told to wait twice"),
            Decision::Forward(target) => self.send(target),
            Decision::NoRoute | Decision::Unauthorized | Decision::Refuse { .. } => {
                self.record_end(request);
            }
        }
    }

    fn send(&mut self, target: Target) {
        let deadline_ms = self.deadlines[&target.request];
        assert!(
            target.deadline_us <= at_ms(deadline_ms),
            "a deadline is moved"
        );
        assert!(
            target.deadline_us > at_ms(self.ms),
            "sent at its deadline or later"
        );
        let known = self
            .at_upstream
            .insert(target.request, (target, deadline_ms));
        assert!(known.is_none(), "sent twice at once");
    }

    fn end(&mut self, request: u64, ending: Ending) {
        let (target, _) = self.at_upstream.remove(&request).expect("in flight");
        match self
            .gate
            .attempt_ended(request, ending, None, at_ms(self.ms))
        {
            NextStep::Retry(next) => {
                assert_eq!(next.deadline_us, target.deadline_us);
                self.send(next);
            }
            NextStep::Deliver | NextStep::GiveUp(_) => self.record_end(request),
        }
    }

    fn record_end(&mut self, request: u64) {
        assert!(self.ended.insert(request), "{request} ends twice");
    }
}

/// One of the requests of a map.
fn nth<T>(map: &BTreeMap<u64, T>, which: usize) -> Option<u64> {
    let index = which.checked_rem(map.len())?;
    map.keys().nth(index).copied()
}

fn terms() -> impl Strategy<Value = Terms> {
    let repeat = prop::sample::select(vec![RetrySafety::Idempotent, RetrySafety::AtMostOnce]);
    let rate_milli_per_s = prop::sample::select(vec![0, 1_000, 100_000]);
    (repeat, rate_milli_per_s).prop_map(|(repeat, rate_milli_per_s)| Terms {
        repeat,
        rate_milli_per_s,
    })
}

proptest! {
    // Guards against a request that is lost between two plans: it never ends, or ends twice, or after its
    // deadline.
    #[test]
    fn every_request_ends_once_and_by_its_deadline(steps in steps(), terms in terms()) {
        let mut day = Day::new(terms);
        for step in steps {
            day.run(step);
        }
        day.pass(4_500);
        prop_assert_eq!(day.gate.in_flight(), 0);
        prop_assert_eq!(day.ended.len(), day.deadlines.len());
        prop_assert!(day.gate.take_decided(at_ms(day.ms + 60_000)).is_empty());
    }
}
