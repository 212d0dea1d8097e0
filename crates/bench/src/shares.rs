//! A leader's allocator of shares with a chosen number of holders.

use crate::at_ms;
use share::{Allocator, Grant, Holder, HolderId, Pool};

const VALID: &str = "valid by construction";
const LIMIT_SLOTS: u64 = 100_000;
const LONGEST_DEADLINE_MS: u64 = 2_000;

/// A leader's allocator of one pool, and the entries that hold grants of it.
#[derive(Debug)]
pub struct PoolWithHolders {
    allocator: Allocator,
    holders: Vec<(HolderId, Holder)>,
    pool: Pool,
    /// Asks so far; holders ask in turn.
    asks: usize,
    now_ms: u64,
}

impl PoolWithHolders {
    /// A pool with this number of holders, each of which has asked twice.
    #[must_use]
    pub fn new(holders: usize) -> Self {
        let pool = region_pool(0);
        let mut allocator = Allocator::new(1, at_ms(0), LONGEST_DEADLINE_MS);
        allocator.set_first_limit(&pool, LIMIT_SLOTS);
        let holder = |number| {
            let id = HolderId {
                entry: format!("entry-{number}").parse().expect(VALID),
                incarnation: 1,
            };
            (id, Holder::new())
        };
        let mut pool_holders = Self {
            allocator,
            holders: (0..holders).map(holder).collect(),
            pool,
            asks: 0,
            now_ms: 0,
        };
        for _ in 0..2 * holders {
            pool_holders.ask_next();
        }
        pool_holders
    }

    /// Lets the next holder ask for slots and apply the grant, if it gets one. A second passes
    /// with each round of all holders.
    pub fn ask_next(&mut self) -> Option<Grant> {
        let count = self.holders.len();
        let index = self.asks % count;
        self.asks += 1;
        if self.asks.is_multiple_of(count) {
            self.now_ms += 1_000;
        }
        let now_us = at_ms(self.now_ms);
        let (id, holder) = self.holders.get_mut(index)?;
        let demand = 50 + (self.asks % 7) as u64;
        let want = holder.want(now_us, &self.pool, 20, demand);
        let grant = self.allocator.answer_want(now_us, id, true, &want)?;
        holder.apply(now_us, now_us, &grant);
        Some(grant)
    }
}

/// The pool of the slots of a region.
#[must_use]
pub fn region_pool(number: usize) -> Pool {
    Pool::Region {
        region: format!("region-{number}").parse().expect(VALID),
    }
}

/// The pool of the rate of the link from a region into `region-0`.
#[must_use]
pub fn link_pool(number: usize) -> Pool {
    Pool::Link {
        from: format!("region-{number}").parse().expect(VALID),
        to: "region-0".parse().expect(VALID),
    }
}
