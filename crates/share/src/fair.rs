//! Divides a limit among demands: local entries first, each group by max-min fairness.

/// One participant in the division of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Participant {
    /// What it would use if nothing limited it, in the unit of the limit.
    pub demand: u64,
    /// Whether it is in the region that the limit is for. For a link every participant is.
    pub local: bool,
}

/// Divides `limit` among the participants; the shares are in the order of `participants`.
///
/// Local participants are served first, the others from what is left. Within each group nobody gets
/// more than an equal part until everybody has that or its demand. Of what nobody demands, one half
/// stays free for new demand and the other is divided equally among the local participants, or
/// among all when none is local.
#[must_use]
pub fn fair_shares(limit: u64, participants: &[Participant]) -> Vec<u64> {
    let mut shares = vec![0; participants.len()];
    let mut left = limit;
    for local in [true, false] {
        left = serve_group(left, participants, local, &mut shares);
    }
    share_spare(left / 2, participants, &mut shares);
    shares
}

/// Serves the local or the other participants by max-min fairness; returns what is left.
fn serve_group(limit: u64, participants: &[Participant], local: bool, shares: &mut [u64]) -> u64 {
    let mut by_demand: Vec<usize> = (0..participants.len())
        .filter(|&index| participants[index].local == local)
        .collect();
    by_demand.sort_unstable_by_key(|&index| participants[index].demand);
    let mut left = limit;
    for (rank, &index) in by_demand.iter().enumerate() {
        let unserved_count = (by_demand.len() - rank) as u64;
        shares[index] = participants[index].demand.min(left / unserved_count);
        left -= shares[index];
    }
    left
}

/// Divides `spare` equally among the local participants, or among all when none is local.
fn share_spare(spare: u64, participants: &[Participant], shares: &mut [u64]) {
    let local_count = participants
        .iter()
        .filter(|participant| participant.local)
        .count() as u64;
    let sharing_count = if local_count > 0 {
        local_count
    } else {
        participants.len() as u64
    };
    for (participant, share) in participants.iter().zip(shares) {
        if participant.local || local_count == 0 {
            *share += spare / sharing_count.max(1);
        }
    }
}
