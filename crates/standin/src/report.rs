//! The output of the demo: a table of outcomes and latencies by service, and the summary line.

use crate::{
    checker::{Invariant, Verdict},
    record::Request,
};
use hdrhistogram::Histogram;
use std::{collections::BTreeMap, fmt};
use types::{Outcome, ServiceName};

/// Significant decimal digits of a latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

#[derive(Debug)]
struct Row {
    sent: u64,
    finished: u64,
    not_run: u64,
    unknown: u64,
    latency_us: Option<Histogram<u64>>,
}

impl Row {
    fn new() -> Self {
        Self {
            sent: 0,
            finished: 0,
            not_run: 0,
            unknown: 0,
            latency_us: Histogram::new(SIGNIFICANT_DIGITS).ok(),
        }
    }

    fn add(&mut self, request: &Request) {
        self.sent += 1;
        match request.outcome() {
            Outcome::Finished => {
                self.finished += 1;
                if let Some(latency_us) = self.latency_us.as_mut() {
                    let _ = latency_us.record(request.latency_us());
                }
            }
            Outcome::DidNotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    fn latency_ms(&self, quantile: f64) -> f64 {
        let latency_us = self.latency_us.as_ref();
        let value_us = latency_us.map_or(0, |latency_us| latency_us.value_at_quantile(quantile));
        value_us as f64 / US_PER_MS
    }
}

/// Request counts and latencies of each service, printed as text columns.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<ServiceName, Row>,
}

impl Table {
    /// Counts the callers' records by service. Latencies are of finished requests only.
    #[must_use]
    pub fn new(requests: &[Request]) -> Self {
        let mut rows: BTreeMap<ServiceName, Row> = BTreeMap::new();
        for request in requests {
            let row = rows.entry(request.service.clone()).or_insert_with(Row::new);
            row.add(request);
        }
        Self { rows }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>8} {:>9} {:>11} {:>8} {:>8} {:>8}",
            "service", "sent", "finished", "did not run", "unknown", "p50 ms", "p99 ms"
        )?;
        for (service, row) in &self.rows {
            writeln!(
                f,
                "{:<12} {:>8} {:>9} {:>11} {:>8} {:>8.1} {:>8.1}",
                service.as_str(),
                row.sent,
                row.finished,
                row.not_run,
                row.unknown,
                row.latency_ms(0.5),
                row.latency_ms(0.99),
            )?;
        }
        Ok(())
    }
}

/// The last line of the demo: counts of requests by outcome, and of two kinds of violations.
#[must_use]
pub fn summary(verdict: &Verdict) -> String {
    format!(
        "demo: sent={} finished={} not_run={} unknown={} run_twice={} cut_off={}",
        verdict.sent,
        verdict.finished,
        verdict.not_run,
        verdict.unknown,
        verdict.count(Invariant::RunTwice),
        verdict.count(Invariant::CutOff),
    )
}
