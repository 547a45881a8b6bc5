//! Division of a gate's capacity among the ranks.

use crate::call::Share;

/// What one rank asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Calls a second that arrive, or would arrive if everything were admitted.
    pub rate: f64,
    /// Calls a second that its waiting calls take up.
    pub backlog: f64,
    /// Weight in the division.
    pub worth: f64,
    /// Whether the rank is served before all that are not urgent.
    pub is_urgent: bool,
}

impl Demand {
    fn whole(&self) -> f64 {
        self.rate + self.backlog
    }

    /// The share of what arrives, if `granted` calls a second go to the rank.
    fn share(&self, granted: f64) -> Share {
        if self.whole() <= granted {
            Share::FULL
        } else {
            Share::from_fraction((granted - self.backlog) / self.rate.max(f64::MIN_POSITIVE))
        }
    }
}

/// Divides `capacity` calls a second: urgent ranks in their order, then weighted max-min by worth.
///
/// A rank that asks for less than its part leaves the rest to the others,
/// so a flood of one kind takes nothing from the fair part of another.
/// Waiting calls count for their own rank only.
pub fn divide(capacity: f64, demands: &[Demand]) -> Vec<Share> {
    let mut left = capacity.max(0.0);
    let mut shares = vec![Share::NONE; demands.len()];
    for (share, demand) in shares.iter_mut().zip(demands).filter(|(_, d)| d.is_urgent) {
        *share = demand.share(left);
        left = if *share < Share::FULL { 0.0 } else { left - demand.whole() };
    }
    if left > 0.0 {
        fill(left, demands, &mut shares);
    }
    shares
}

/// Weighted max-min by raising a common level until the capacity is spent.
fn fill(capacity: f64, demands: &[Demand], shares: &mut [Share]) {
    let mut open: Vec<usize> = (0..demands.len()).filter(|&i| !demands[i].is_urgent).collect();
    open.sort_by(|&a, &b| {
        let need = |i: usize| demands[i].whole() / demands[i].worth;
        need(a).total_cmp(&need(b))
    });
    let mut left = capacity;
    let mut worth: f64 = open.iter().map(|&i| demands[i].worth).sum();
    for i in open {
        let granted = left * demands[i].worth / worth;
        shares[i] = demands[i].share(granted);
        left -= demands[i].whole().min(granted);
        worth -= demands[i].worth;
    }
}
