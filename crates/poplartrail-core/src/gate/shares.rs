//! Division of a gate's capacity among the ranks.

use crate::call::Share;

/// Capacity that one rank asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Calls a second that would arrive if no gate on the path shed any.
    pub arrival_rate: f64,
    /// Calls a second of capacity that the rank's queued calls take up.
    pub backlog_rate: f64,
    /// Weight of the rank among those that are not urgent.
    pub worth: f64,
    /// Whether the rank is served before all ranks that are not urgent.
    pub is_urgent: bool,
}

impl Demand {
    fn total_rate(&self) -> f64 {
        self.arrival_rate + self.backlog_rate
    }

    /// Returns the share of arriving calls to admit if the rank gets `granted_rate` calls a second.
    fn share(&self, granted_rate: f64) -> Share {
        if self.total_rate() <= granted_rate {
            Share::FULL
        } else {
            Share::from_fraction(
                (granted_rate - self.backlog_rate) / self.arrival_rate.max(f64::MIN_POSITIVE),
            )
        }
    }
}

/// Divides `capacity` calls a second among the ranks and returns the share of each.
///
/// Urgent ranks are served first, in their order. The others get weighted max-min fair parts by
/// worth: a rank that asks for less than its fair part leaves the remainder to the others, so
/// overload in one rank takes nothing from the fair part of another. Queued calls count against
/// their own rank only.
pub fn allocate_shares(capacity: f64, demands: &[Demand]) -> Vec<Share> {
    let mut capacity_left = capacity.max(0.0);
    let mut shares = vec![Share::NONE; demands.len()];
    for (share, demand) in shares.iter_mut().zip(demands).filter(|(_, d)| d.is_urgent) {
        *share = demand.share(capacity_left);
        capacity_left =
            if *share < Share::FULL { 0.0 } else { capacity_left - demand.total_rate() };
    }
    if capacity_left > 0.0 {
        water_fill(capacity_left, demands, &mut shares);
    }
    shares
}

/// Divides `capacity` by weighted max-min fairness: raises a common level of calls a second per
/// unit of worth until the capacity is used up (water-filling).
fn water_fill(capacity: f64, demands: &[Demand], shares: &mut [Share]) {
    let mut unfilled: Vec<usize> = (0..demands.len()).filter(|&i| !demands[i].is_urgent).collect();
    unfilled.sort_by(|&a, &b| {
        let level = |i: usize| demands[i].total_rate() / demands[i].worth;
        level(a).total_cmp(&level(b))
    });
    let mut capacity_left = capacity;
    let mut worth: f64 = unfilled.iter().map(|&i| demands[i].worth).sum();
    for i in unfilled {
        let granted_rate = capacity_left * demands[i].worth / worth;
        shares[i] = demands[i].share(granted_rate);
        capacity_left -= demands[i].total_rate().min(granted_rate);
        worth -= demands[i].worth;
    }
}
