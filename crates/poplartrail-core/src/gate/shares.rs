//! Division of a gate's capacity among the ranks.

use crate::call::Share;

/// What one rank asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Calls a second that arrive, or would arrive if everything were admitted.
    pub rate: f64,
    /// Weight in the division.
    pub worth: f64,
    /// Whether the rank is served before all that are not urgent.
    pub is_urgent: bool,
}

/// Divides `capacity` calls a second: urgent ranks in their order, then weighted max-min by worth.
///
/// A rank that asks for less than its part leaves the rest to the others,
/// so a flood of one kind takes nothing from the fair part of another.
/// Waiting calls, which `backlog` calls a second would drain, go to the cost of ranks that are
/// not urgent: the urgent ones overtake them in the queue.
pub fn divide(capacity: f64, backlog: f64, demands: &[Demand]) -> Vec<Share> {
    let mut left = capacity.max(0.0);
    let mut shares = vec![Share::NONE; demands.len()];
    for (share, demand) in shares.iter_mut().zip(demands).filter(|(_, d)| d.is_urgent) {
        *share = part(left, demand.rate);
        left = (left - demand.rate).max(0.0);
        if *share < Share::FULL {
            left = 0.0;
        }
    }
    fill(left - backlog, demands, &mut shares);
    shares
}

fn part(granted: f64, rate: f64) -> Share {
    if rate <= granted { Share::FULL } else { Share::from_fraction(granted / rate) }
}

/// Weighted max-min by raising a common level until the capacity is spent.
fn fill(capacity: f64, demands: &[Demand], shares: &mut [Share]) {
    if capacity <= 0.0 {
        return;
    }
    let mut open: Vec<usize> = (0..demands.len()).filter(|&i| !demands[i].is_urgent).collect();
    open.sort_by(|&a, &b| {
        let need = |i: usize| demands[i].rate / demands[i].worth;
        need(a).total_cmp(&need(b))
    });
    let mut left = capacity;
    let mut worth: f64 = open.iter().map(|&i| demands[i].worth).sum();
    for i in open {
        let granted = left * demands[i].worth / worth;
        shares[i] = part(granted, demands[i].rate);
        left -= demands[i].rate.min(granted);
        worth -= demands[i].worth;
    }
}
