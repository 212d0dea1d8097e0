//! Division of a limit among demands: who stands there first, each group by max-min fairness.

/// One party's claim on a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it would use.
    pub demand: u64,
    /// Whether it stands where the limit holds.
    pub near: bool,
}

/// Divides `limit`.
///
/// Parties that stand there have their demand served first, the others from what is left; within
/// each group nobody gets more than an equal part until everybody has that or its demand. Of what
/// nobody demands, one half stays free for new demand and the other is spread: over those that
/// stand there, or over all where nobody does.
#[must_use]
pub fn fair_shares(limit: u64, claims: &[Claim]) -> Vec<u64> {
    let mut shares = vec![0; claims.len()];
    let mut left = limit;
    for near in [true, false] {
        left = serve(left, claims, near, &mut shares);
    }
    spread(left / 2, claims, &mut shares);
    shares
}

/// Serves one group by max-min fairness; returns what is left.
fn serve(limit: u64, claims: &[Claim], near: bool, shares: &mut [u64]) -> u64 {
    let mut order: Vec<usize> = (0..claims.len())
        .filter(|&index| claims[index].near == near)
        .collect();
    order.sort_unstable_by_key(|&index| claims[index].demand);
    let mut left = limit;
    for (rank, &index) in order.iter().enumerate() {
        let parties = (order.len() - rank) as u64;
        shares[index] = claims[index].demand.min(left / parties);
        left -= shares[index];
    }
    left
}

/// Spreads spare room equally.
fn spread(spare: u64, claims: &[Claim], shares: &mut [u64]) {
    let near = claims.iter().filter(|claim| claim.near).count() as u64;
    let parties = if near > 0 { near } else { claims.len() as u64 };
    for (claim, share) in claims.iter().zip(shares) {
        if claim.near || near == 0 {
            *share += spare / parties.max(1);
        }
    }
}
