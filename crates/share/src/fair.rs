//! Max-min fair division of a limit among demands.

/// One party's claim on a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it would use.
    pub demand: u64,
}

/// Divides `limit`: nobody gets more than its demand until everybody has it, and of what is then
/// left each gets an equal part of one half, so that the other half stays free for new demand.
#[must_use]
pub fn fair_shares(limit: u64, claims: &[Claim]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_unstable_by_key(|&index| claims[index].demand);
    let mut shares = vec![0; claims.len()];
    let mut left = limit;
    for (rank, &index) in order.iter().enumerate() {
        let parties = (claims.len() - rank) as u64;
        shares[index] = claims[index].demand.min(left / parties);
        left -= shares[index];
    }
    let spare_each = left / 2 / (claims.len() as u64).max(1);
    let satisfied = claims
        .iter()
        .zip(&shares)
        .all(|(claim, share)| *share >= claim.demand);
    if satisfied {
        shares.iter_mut().for_each(|share| *share += spare_each);
    }
    shares
}
