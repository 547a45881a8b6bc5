//! Demand and share of one rank at a gate.

use std::time::Duration;

use crate::{call::Share, gate::AdmissionRequest, time::Time};

/// Weight of the newest interval in the moving average of a rank's arrival rate.
const DEMAND_SMOOTHING: f64 = 0.5;
/// An interval has its full weight if at least this many calls of the rank arrived in it.
const DEMAND_FULL_WEIGHT_ARRIVALS: f64 = 20.0;
/// Smallest factor on the weight of an interval, if few calls arrived in it.
const DEMAND_MIN_WEIGHT_FACTOR: f64 = 0.2;
/// Largest factor by which a rank's share grows from one interval to the next.
const MAX_SHARE_GROWTH: f64 = 2.0;
/// Share that a closed rank grows to in one interval, and the smallest share by which an arrival is
/// scaled up.
const MIN_GROWTH_SHARE: f64 = 1.0 / 32.0;
/// Weight of one call in the moving average of the hold time.
const HOLD_TIME_SMOOTHING: f64 = 0.05;
/// Time without a call after which the hold time is no longer known.
const HOLD_TIME_MAX_AGE: Duration = Duration::from_secs(10);

/// State of one rank.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankState {
    /// Calls that arrived in this interval.
    pub(crate) arrived: u32,
    /// Estimated arrivals of this interval if no gate on the path had shed any call.
    pub(crate) estimated_arrivals: f64,
    /// Arrivals a second.
    pub(crate) arrival_rate: f64,
    /// Share of the calls that the gate admits.
    pub(crate) share: Share,
    /// Average time in seconds for which a call holds its permit, and when the last one ended.
    hold: Option<(f64, Time)>,
}

impl Default for RankState {
    fn default() -> Self {
        Self {
            arrived: 0,
            estimated_arrivals: 0.0,
            arrival_rate: 0.0,
            share: Share::FULL,
            hold: None,
        }
    }
}

impl RankState {
    /// Records the time for which a call held its permit until `now`.
    pub(crate) fn record_hold(&mut self, now: Time, hold_time: Duration) {
        let secs = hold_time.as_secs_f64();
        let mean =
            self.mean_hold_secs(now).map_or(secs, |old| old + HOLD_TIME_SMOOTHING * (secs - old));
        self.hold = Some((mean, now));
    }

    /// Discards the recorded hold times.
    pub(crate) fn forget_holds(&mut self) {
        self.hold = None;
    }

    /// Returns the shortest time that a call is assumed to need: half of the mean hold time, or zero
    /// if that is not known.
    pub(crate) fn min_time_needed(&self, now: Time) -> Duration {
        Duration::from_secs_f64(self.mean_hold_secs(now).unwrap_or_default() * 0.5)
    }

    fn mean_hold_secs(&self, now: Time) -> Option<f64> {
        let (mean, at) = self.hold?;
        (now.since(at) <= HOLD_TIME_MAX_AGE).then_some(mean)
    }

    /// Counts a call together with the calls that earlier gates have shed of its rank.
    ///
    /// A call that arrives under an admitted share counts as the inverse of that share (Horvitz and
    /// Thompson, 1952). Otherwise a gate whose callers shed on its behalf would see no demand,
    /// admit everything, and be overrun as soon as its callers receive the new share.
    pub(crate) fn record_arrival(&mut self, request: &AdmissionRequest) {
        self.arrived += 1;
        self.estimated_arrivals += 1.0 / request.admitted_share.fraction().max(MIN_GROWTH_SHARE);
    }

    /// Updates the estimate of the rate at which calls would arrive if every gate on the path
    /// admitted everything.
    pub(crate) fn update_rate(&mut self, interval_secs: f64) {
        // An interval with few arrivals is a poor estimate, so it gets a low weight.
        let weight = (f64::from(self.arrived) / DEMAND_FULL_WEIGHT_ARRIVALS)
            .clamp(DEMAND_MIN_WEIGHT_FACTOR, 1.0);
        self.arrival_rate += DEMAND_SMOOTHING
            * weight
            * (self.estimated_arrivals / interval_secs - self.arrival_rate);
    }

    pub(crate) fn ramp_share_to(&mut self, target: Share) {
        let max_fraction = (self.share.fraction() * MAX_SHARE_GROWTH).max(MIN_GROWTH_SHARE);
        self.share = target.min(Share::from_fraction(max_fraction));
    }
}
