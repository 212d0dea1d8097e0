//! A tenant's requests at gateways, a leader, and messages between them that take time or get lost.

#![allow(dead_code)]

use share::{
    HolderId, Ledger, QuotaLimit, QuotaTerms, Stock, Taken, Token, TokenAnswer, TokenReport,
};
use types::TimeUs;

/// The time that passes at once, in milliseconds.
pub const STEP_MS: u64 = 10;

/// The interval of polls, in milliseconds.
const POLL_MS: u64 = 400;

/// How long a request waits for a token, in milliseconds.
const WAIT_MS: u64 = 300;

const TENANT: &str = "acme";

/// The most copies of one message.
const COPIES_MAX: u64 = 3;

#[derive(Clone, Debug)]
enum Message {
    Report(TokenReport),
    Answer(TokenAnswer),
}

#[derive(Clone, Debug)]
struct InFlight {
    at_ms: u64,
    gateway: usize,
    incarnation: u64,
    message: Message,
}

/// A token of a request that will turn out not to have run.
#[derive(Clone, Copy, Debug)]
struct Unrun {
    at_ms: u64,
    token: Token,
}

pub struct Gateway {
    stock: Stock,
    incarnation: u64,
    next_poll_ms: u64,
    /// When each waiting request gives up.
    held_until_ms: Vec<u64>,
    unrun: Vec<Unrun>,
    /// The gateway does nothing until then.
    pub frozen_until_ms: u64,
    /// No message of or to it arrives until then.
    pub cut_until_ms: u64,
    pub ran: u64,
    pub refused: u64,
    pub reports: u64,
}

pub struct World {
    pub now_ms: u64,
    terms: QuotaTerms,
    limit: QuotaLimit,
    pub gateways: Vec<Gateway>,
    /// None while no replica certainly leads.
    ledger: Option<Ledger>,
    term: u64,
    /// Delay of a message in one direction.
    pub delay_ms: u64,
    /// Of so many messages one is lost, and one comes twice; 0 for none.
    pub fault_every: u64,
    messages: u64,
    in_flight: Vec<InFlight>,
    /// When each request ran, in order.
    pub ran_ms: Vec<u64>,
    /// From when on each limit is in force.
    limits: Vec<(u64, QuotaLimit)>,
}

/// The clock of a process: each has an origin of its own.
fn clock_us(now_ms: u64, process: usize) -> TimeUs {
    TimeUs((now_ms + 1_000 + 777 * process as u64) * 1_000)
}

/// The leader's number among the processes.
const LEADER: usize = 900;

impl World {
    pub fn new(gateways: usize, limit: QuotaLimit, terms: QuotaTerms) -> Self {
        let mut world = Self {
            now_ms: 0,
            terms,
            limit,
            gateways: Vec::new(),
            ledger: None,
            term: 0,
            delay_ms: 12,
            fault_every: 0,
            messages: 0,
            in_flight: Vec::new(),
            ran_ms: Vec::new(),
            limits: vec![(0, limit)],
        };
        for index in 0..gateways {
            let gateway = world.new_gateway(index);
            world.gateways.push(gateway);
        }
        world.elect();
        world
    }

    fn new_gateway(&self, index: usize) -> Gateway {
        let now_us = clock_us(self.now_ms, index);
        let incarnation = self.now_ms + 1;
        let mut stock = Stock::new(incarnation, self.terms, now_us);
        stock.set_limits([(TENANT, self.limit)].into_iter(), now_us);
        Gateway {
            stock,
            incarnation,
            // Gateways poll at different times.
            next_poll_ms: self.now_ms + (index as u64 * 37) % POLL_MS,
            held_until_ms: Vec::new(),
            unrun: Vec::new(),
            frozen_until_ms: 0,
            cut_until_ms: 0,
            ran: 0,
            refused: 0,
            reports: 0,
        }
    }

    /// Another replica leads from now on.
    pub fn elect(&mut self) {
        self.term += 1;
        // Each replica's clock has another origin.
        let now_us = self.leader_us();
        let mut ledger = Ledger::new(self.term, self.terms, now_us);
        ledger.set_limits([(TENANT, self.limit)].into_iter(), now_us);
        self.ledger = Some(ledger);
    }

    /// Nobody leads from now on.
    pub fn depose(&mut self) {
        self.ledger = None;
    }

    fn leader_us(&self) -> TimeUs {
        clock_us(self.now_ms, LEADER + self.term as usize)
    }

    pub fn restart(&mut self, gateway: usize) {
        let (ran, refused) = (self.gateways[gateway].ran, self.gateways[gateway].refused);
        self.gateways[gateway] = Gateway {
            ran,
            refused,
            ..self.new_gateway(gateway)
        };
    }

    /// Changes the limit everywhere.
    pub fn set_limit(&mut self, limit: QuotaLimit) {
        self.limit = limit;
        self.limits.push((self.now_ms, limit));
        let now_us = self.leader_us();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_limits([(TENANT, limit)].into_iter(), now_us);
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let now_us = clock_us(self.now_ms, index);
            gateway
                .stock
                .set_limits([(TENANT, limit)].into_iter(), now_us);
        }
    }

    /// A new request at a gateway. When `runs_not`, its upstream says some time later that it did not
    /// run it.
    pub fn request(&mut self, gateway: usize, runs_not: Option<u64>) {
        let now_ms = self.now_ms;
        let at = &mut self.gateways[gateway];
        if at.frozen_until_ms > now_ms {
            return;
        }
        let now_us = clock_us(now_ms, gateway);
        at.stock.record_request(TENANT, now_us);
        match at.stock.take(TENANT, now_us) {
            Taken::Token(token) => match runs_not {
                Some(after_ms) => at.unrun.push(Unrun {
                    at_ms: now_ms + after_ms,
                    token,
                }),
                None => {
                    at.ran += 1;
                    self.ran_ms.push(now_ms);
                }
            },
            Taken::Wait => {
                at.stock.begin_wait(TENANT);
                at.held_until_ms.push(now_ms + WAIT_MS);
            }
            Taken::Refused { retry_after_ms } => {
                assert!(retry_after_ms > 0);
                at.refused += 1;
            }
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        for index in 0..self.gateways.len() {
            if self.gateways[index].frozen_until_ms <= self.now_ms {
                self.run_gateway(index);
            }
        }
    }

    fn run_gateway(&mut self, index: usize) {
        let (now_ms, now_us) = (self.now_ms, clock_us(self.now_ms, index));
        let gateway = &mut self.gateways[index];
        let (due, unrun) = gateway
            .unrun
            .drain(..)
            .partition(|unrun| unrun.at_ms <= now_ms);
        gateway.unrun = unrun;
        let due: Vec<Unrun> = due;
        for unrun in due {
            gateway.stock.give_back(TENANT, unrun.token, now_us);
        }
        let held = std::mem::take(&mut gateway.held_until_ms);
        for until_ms in held {
            if gateway.stock.must_wait(TENANT, now_us) && until_ms > now_ms {
                gateway.held_until_ms.push(until_ms);
                continue;
            }
            gateway.stock.end_wait(TENANT);
            match gateway.stock.take(TENANT, now_us) {
                Taken::Token(_) => {
                    gateway.ran += 1;
                    self.ran_ms.push(now_ms);
                }
                Taken::Wait | Taken::Refused { .. } => gateway.refused += 1,
            }
        }
        let is_due = gateway.next_poll_ms <= now_ms;
        if !is_due && !gateway.stock.is_report_due(now_us) {
            return;
        }
        if is_due {
            gateway.next_poll_ms = now_ms + POLL_MS;
        }
        gateway.reports += 1;
        if let Some(report) = gateway.stock.report(now_us) {
            let report = through_json(&report);
            self.send(index, Message::Report(report));
        }
    }

    /// Sends a message, which is lost, late or repeated at times.
    fn send(&mut self, gateway: usize, message: Message) {
        self.messages += 1;
        let is_faulty = |n: u64| self.fault_every > 0 && self.messages % self.fault_every == n;
        let copies = match (is_faulty(0), is_faulty(1)) {
            (true, _) => 0,
            (_, true) => 2 + self.messages % (COPIES_MAX - 1),
            (false, false) => 1,
        };
        let late_ms = u64::from(is_faulty(2)) * 900;
        let incarnation = self.gateways[gateway].incarnation;
        for copy in 0..copies {
            let at_ms = self.now_ms + self.delay_ms + late_ms + copy * 270;
            self.in_flight.push(InFlight {
                at_ms,
                gateway,
                incarnation,
                message: message.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = self
            .in_flight
            .drain(..)
            .partition(|it| it.at_ms <= self.now_ms);
        self.in_flight = later;
        for InFlight {
            gateway,
            incarnation,
            message,
            ..
        } in due
        {
            if self.gateways[gateway].cut_until_ms > self.now_ms {
                continue;
            }
            match message {
                Message::Report(report) => self.answer(gateway, &report),
                Message::Answer(answer) => {
                    let at = &mut self.gateways[gateway];
                    let now_us = clock_us(self.now_ms, gateway);
                    if at.incarnation == incarnation && at.frozen_until_ms <= self.now_ms {
                        at.stock.record_leader(now_us);
                        at.stock.apply(&answer, now_us);
                    }
                }
            }
        }
    }

    fn answer(&mut self, gateway: usize, report: &TokenReport) {
        let count = self.gateways.len();
        let now_us = self.leader_us();
        let id = HolderId {
            entry: format!("gateway-{gateway}").parse().expect("a valid name"),
            incarnation: report.incarnation,
        };
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        if let Some(answer) = ledger.answer(&id, count, report, now_us) {
            self.send(gateway, Message::Answer(through_json(&answer)));
        }
    }

    /// Lets every gateway know how many there are, as any answer of a replica does.
    pub fn tell_gateways(&mut self) {
        let count = self.gateways.len();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.cut_until_ms <= self.now_ms {
                let now_us = clock_us(self.now_ms, index);
                gateway.stock.record_gateways(count, now_us);
            }
        }
    }

    /// The first window in which more ran than may, with how many did and how many may.
    pub fn excess(&self) -> Option<(u64, usize, f64)> {
        let mut ran_ms = self.ran_ms.clone();
        ran_ms.sort_unstable();
        let window_ms = self.terms.window_ms;
        let mut end = 0;
        for (start, start_ms) in ran_ms.iter().enumerate() {
            while end < ran_ms.len() && ran_ms[end] <= start_ms + window_ms {
                end += 1;
            }
            let bound = self.bound_at(*start_ms);
            if (end - start) as f64 > bound + 1e-6 {
                return Some((*start_ms, end - start, bound));
            }
        }
        None
    }

    /// The most that may run in a window that begins at `start_ms`: by the highest rate and burst of the
    /// limits that are in force in it, or were until one window before. A lowered limit holds from then
    /// on.
    fn bound_at(&self, start_ms: u64) -> f64 {
        let window_ms = self.terms.window_ms;
        let ends_ms = self.limits.iter().skip(1).map(|(from_ms, _)| *from_ms);
        let ends_ms = ends_ms.chain([u64::MAX - window_ms]);
        let limits = self.limits.iter().zip(ends_ms);
        let in_force = limits.filter(|((from_ms, _), end_ms)| {
            start_ms < *end_ms + window_ms && start_ms + window_ms >= *from_ms
        });
        let highest = in_force.fold((0, 0), |(rate, burst), ((_, limit), _)| {
            (rate.max(limit.rate_milli_per_s), burst.max(limit.burst))
        });
        self.terms.window_tokens_max(QuotaLimit {
            rate_milli_per_s: highest.0,
            burst: highest.1,
        })
    }

    pub fn refused(&self) -> u64 {
        self.gateways.iter().map(|gateway| gateway.refused).sum()
    }

    pub fn reports(&self) -> u64 {
        self.gateways.iter().map(|gateway| gateway.reports).sum()
    }
}

/// The message as the receiver decodes it.
fn through_json<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let text = serde_json::to_string(message).expect("it can be encoded");
    serde_json::from_str(&text).expect("it can be decoded")
}
