//! A leader's ledger and the stocks of many gateways under the load of many tenants, and what their
//! messages cost.

use crate::at_ms;
use share::{HolderId, Ledger, QuotaLimit, QuotaTerms, Stock, Taken, TokenAnswer, TokenReport};

const VALID: &str = "valid by construction";

/// The time that passes at once, in milliseconds.
const STEP_MS: u64 = 10;

/// The delay of a message in one direction, in milliseconds: between regions.
const DELAY_MS: u64 = 12;

/// How long a request waits for a token, in milliseconds.
const WAIT_MS: u64 = 300;

/// The bound of the deployment with tenants.
const TERMS: QuotaTerms = QuotaTerms {
    window_ms: 5_000,
    overage_milli: 100,
    slack_milli: 20_000,
};

/// What some seconds of load cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaCost {
    /// Requests.
    pub requests: u64,
    /// Those that waited for a token.
    pub waited: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Reports of all gateways, in polls that were due anyway or not.
    pub reports: u64,
    /// The bytes of reports and answers as JSON text, without the rest of polls.
    pub bytes: u64,
}

/// A request that waits for a token.
struct Waiting {
    tenant: usize,
    until_ms: u64,
}

struct Gateway {
    id: HolderId,
    stock: Stock,
    waiting: Vec<Waiting>,
    next_poll_ms: u64,
}

/// Gateways, a leader, and tenants of which the n-th sends an n-th of what the first one sends.
pub struct QuotaLoad {
    gateways: Vec<Gateway>,
    ledger: Ledger,
    tenants: Vec<String>,
    /// The sums of the tenants' parts of the load, in thousandths of the first one's.
    part_sums: Vec<u64>,
    reports: Vec<(u64, usize, TokenReport)>,
    answers: Vec<(u64, usize, TokenAnswer)>,
    poll_ms: u64,
    now_ms: u64,
    random: u64,
    cost: QuotaCost,
}

impl QuotaLoad {
    /// A world of this size. The tenants' limits are `limit_percent` of what they send of `per_s`
    /// requests a second.
    #[must_use]
    pub fn new(gateways: usize, tenants: usize, per_s: u64, limit_percent: u64) -> Self {
        let parts = (1..=tenants as u64).map(|rank| (1_000 / rank).max(1));
        let part_sums: Vec<u64> = parts
            .clone()
            .scan(0, |sum, part| {
                *sum += part;
                Some(*sum)
            })
            .collect();
        let total = part_sums.last().copied().unwrap_or(1);
        let limits: Vec<QuotaLimit> = parts
            .map(|part| QuotaLimit {
                rate_milli_per_s: part * per_s * limit_percent * 10 / total,
                burst: part * per_s * limit_percent / 100 / total + 1,
            })
            .collect();
        let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{n}")).collect();
        let limits = || names.iter().map(String::as_str).zip(limits.iter().copied());
        let mut ledger = Ledger::new(1, TERMS, at_ms(0));
        ledger.set_limits(limits(), at_ms(0));
        // As control::gateway_poll_interval_ms.
        let poll_ms = (400 + 4 * gateways as u64).min(1_000);
        let gateway = |n: usize| {
            let mut stock = Stock::new(1, TERMS, at_ms(0));
            stock.set_limits(limits(), at_ms(0));
            Gateway {
                id: HolderId {
                    entry: format!("10.1.{}.{}", n / 250, n % 250)
                        .parse()
                        .expect(VALID),
                    incarnation: 1,
                },
                stock,
                waiting: Vec::new(),
                next_poll_ms: n as u64 * poll_ms / gateways as u64,
            }
        };
        Self {
            gateways: (0..gateways).map(gateway).collect(),
            ledger,
            part_sums,
            reports: Vec::new(),
            answers: Vec::new(),
            poll_ms,
            now_ms: 0,
            random: 7,
            cost: QuotaCost::default(),
            tenants: names,
        }
    }

    /// Runs for some seconds with this many requests a second, at random gateways; returns what the
    /// time cost.
    pub fn run(&mut self, seconds: u64, per_s: u64) -> QuotaCost {
        self.cost = QuotaCost::default();
        let per_step = per_s * STEP_MS / 1_000;
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            self.deliver();
            (0..per_step).for_each(|_| self.request());
            (0..self.gateways.len()).for_each(|index| self.run_gateway(index));
        }
        self.cost
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        const FACTOR: u64 = 6_364_136_223_846_793_005;
        self.random = self.random.wrapping_mul(FACTOR).wrapping_add(1);
        (self.random >> 33) % limit
    }

    fn request(&mut self) {
        let part = self.random_below(self.part_sums.last().copied().unwrap_or(1));
        let tenant = self.part_sums.partition_point(|sum| *sum <= part);
        let index = self.random_below(self.gateways.len() as u64) as usize;
        let (name, now_us) = (&self.tenants[tenant], at_ms(self.now_ms));
        let gateway = &mut self.gateways[index];
        self.cost.requests += 1;
        gateway.stock.record_request(name, now_us);
        match gateway.stock.take(name, now_us) {
            Taken::Token(_) => {}
            Taken::Wait => {
                self.cost.waited += 1;
                gateway.stock.begin_wait(name);
                let until_ms = self.now_ms + WAIT_MS;
                gateway.waiting.push(Waiting { tenant, until_ms });
            }
            Taken::Refused { .. } => self.cost.refused += 1,
        }
    }

    /// Serves the requests that wait, before any new one, and refuses those that have waited for long.
    fn decide_waiting(&mut self, index: usize) {
        let (now_ms, now_us) = (self.now_ms, at_ms(self.now_ms));
        let gateway = &mut self.gateways[index];
        let stock = &mut gateway.stock;
        for waiting in std::mem::take(&mut gateway.waiting) {
            let name = &self.tenants[waiting.tenant];
            if stock.must_wait(name, now_us) && waiting.until_ms > now_ms {
                gateway.waiting.push(waiting);
                continue;
            }
            stock.end_wait(name);
            if !matches!(stock.take(name, now_us), Taken::Token(_)) {
                self.cost.refused += 1;
            }
        }
    }

    fn run_gateway(&mut self, index: usize) {
        self.decide_waiting(index);
        let (now_ms, now_us) = (self.now_ms, at_ms(self.now_ms));
        let gateway = &mut self.gateways[index];
        let stock = &mut gateway.stock;
        let is_due = gateway.next_poll_ms <= now_ms;
        if is_due {
            gateway.next_poll_ms = now_ms + self.poll_ms;
        }
        if !is_due && !stock.is_report_due(now_us) {
            return;
        }
        if let Some(report) = stock.report(now_us) {
            self.cost.reports += 1;
            self.cost.bytes += json_bytes(&report);
            self.reports.push((now_ms + DELAY_MS, index, report));
        }
    }

    fn deliver(&mut self) {
        let (now_ms, now_us) = (self.now_ms, at_ms(self.now_ms));
        let count = self.gateways.len();
        let reports = std::mem::take(&mut self.reports);
        let (due, later): (Vec<_>, Vec<_>) = reports.into_iter().partition(|it| it.0 <= now_ms);
        self.reports = later;
        for (_, index, report) in due {
            let id = &self.gateways[index].id;
            let answer = self.ledger.answer(id, count, &report, now_us);
            if let Some(answer) = answer {
                self.cost.bytes += json_bytes(&answer);
                self.answers.push((now_ms + DELAY_MS, index, answer));
            }
        }
        let answers = std::mem::take(&mut self.answers);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|it| it.0 <= now_ms);
        self.answers = later;
        for (_, index, answer) in due {
            let stock = &mut self.gateways[index].stock;
            stock.record_gateways(count, now_us);
            stock.record_leader(now_us);
            stock.apply(&answer, now_us);
            self.decide_waiting(index);
        }
    }
}

fn json_bytes<T: serde::Serialize>(message: &T) -> u64 {
    serde_json::to_vec(message).expect(VALID).len() as u64
}
