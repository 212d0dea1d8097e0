//! Wants and grants among holders in any number.

use crate::at_ms;
use share::{Allocator, Grant, Holder, HolderId, Pool};

const VALID: &str = "valid by construction";
const LIMIT: u64 = 100_000;
const DEADLINE_MS: u64 = 2_000;

/// A leader's allocator of one pool and its holders.
#[derive(Debug)]
pub struct Sharing {
    allocator: Allocator,
    holders: Vec<(HolderId, Holder)>,
    pool: Pool,
    turn: usize,
    now_ms: u64,
}

impl Sharing {
    /// So many holders, each with a grant.
    #[must_use]
    pub fn new(holders: usize) -> Self {
        let pool = region_pool(0);
        let mut allocator = Allocator::new(1, at_ms(0), DEADLINE_MS);
        allocator.set_first_limit(&pool, LIMIT);
        let holder = |number| {
            let id = HolderId {
                entry: format!("entry-{number}").parse().expect(VALID),
                incarnation: 1,
            };
            (id, Holder::new())
        };
        let mut sharing = Self {
            allocator,
            holders: (0..holders).map(holder).collect(),
            pool,
            turn: 0,
            now_ms: 0,
        };
        for _ in 0..2 * holders {
            sharing.ask();
        }
        sharing
    }

    /// The next holder asks and takes its grant.
    pub fn ask(&mut self) -> Option<Grant> {
        let count = self.holders.len();
        let turn = self.turn % count;
        self.turn += 1;
        if self.turn.is_multiple_of(count) {
            self.now_ms += 1_000;
        }
        let now_us = at_ms(self.now_ms);
        let (id, holder) = self.holders.get_mut(turn)?;
        let demand = 50 + (self.turn % 7) as u64;
        let want = holder.want(now_us, &self.pool, 20, demand);
        let grant = self.allocator.ask(now_us, id, true, &want)?;
        holder.apply(now_us, now_us, &grant);
        Some(grant)
    }
}

/// A region's slots.
#[must_use]
pub fn region_pool(number: usize) -> Pool {
    Pool::Region {
        region: format!("region-{number}").parse().expect(VALID),
    }
}

/// A link's rate into the first region.
#[must_use]
pub fn link_pool(number: usize) -> Pool {
    Pool::Link {
        from: format!("region-{number}").parse().expect(VALID),
        to: "region-0".parse().expect(VALID),
    }
}
