//! What the decisions are compared with.

use std::time::Duration;

use poplartrail_core::{
    engine::{CallOptions, Mechanisms},
    gate::{AimdLimit, FixedLimit, GradientLimit, Limiter, VegasLimit},
};

use crate::simulation::SimulationBuilder;

/// Own time over which a call is slow for AIMD; four times the mean of most services.
const AIMD_THRESHOLD: Duration = Duration::from_millis(200);
/// First limit of the laws that are compared.
const INITIAL_LIMIT: usize = 32;

/// A way without some of the mechanisms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Everything on.
    Full,
    /// No limit, no shares, no deadlines.
    NoLimit,
    /// A constant limit of each gate and a queue, nothing else.
    StaticLimit(usize),
    /// Each gate sheds by its own random choice, and nothing is carried back.
    IndependentShedding,
    /// Each hop retries by itself, refusals for overload too.
    IndependentRetries,
    /// Shares are not carried back to the entry.
    NoPathShares,
    /// No division among the ranks: the queue's order alone decides.
    NoShares,
    /// Silent connections are kept.
    NoSilenceWatch,
    /// Work whose deadline has passed is still begun and finished.
    NoDeadlines,
}

impl Baseline {
    /// All of them.
    pub const ALL: [Baseline; 8] = [
        Baseline::Full,
        Baseline::NoLimit,
        Baseline::StaticLimit(100),
        Baseline::IndependentShedding,
        Baseline::IndependentRetries,
        Baseline::NoPathShares,
        Baseline::NoShares,
        Baseline::NoDeadlines,
    ];

    /// Switches the mechanisms of a run.
    pub fn apply(self, builder: SimulationBuilder) -> SimulationBuilder {
        builder.call_options(|options| self.configure(options))
    }

    fn configure(self, calls: CallOptions) -> CallOptions {
        let on = Mechanisms::default();
        let off = Mechanisms { has_consistent_shedding: false, has_path_shares: false, ..on };
        let without_shares = |calls: CallOptions| {
            calls.divides_capacity(false).enforces_deadlines(false).mechanisms(off)
        };
        match self {
            Baseline::Full => calls,
            Baseline::NoLimit => without_shares(calls.limiter(None)),
            Baseline::StaticLimit(limit) => {
                without_shares(calls.limiter(Limiter::Fixed(FixedLimit::new(limit))))
            }
            Baseline::IndependentShedding => calls.mechanisms(off),
            Baseline::IndependentRetries => {
                calls.mechanisms(Mechanisms { has_request_retry_budget: false, ..on })
            }
            Baseline::NoPathShares => calls.mechanisms(Mechanisms { has_path_shares: false, ..on }),
            Baseline::NoSilenceWatch => {
                calls.mechanisms(Mechanisms { has_silence_detection: false, ..on })
            }
            Baseline::NoShares => calls.divides_capacity(false),
            Baseline::NoDeadlines => calls.enforces_deadlines(false),
        }
    }
}

/// The laws that are weighed against each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterKind {
    /// A constant, the true number of slots of most services.
    Fixed,
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// Vegas.
    Vegas,
    /// Gradient with experiments.
    Gradient,
}

impl LimiterKind {
    /// All of them.
    pub const ALL: [LimiterKind; 4] =
        [LimiterKind::Fixed, LimiterKind::Aimd, LimiterKind::Vegas, LimiterKind::Gradient];

    /// The law.
    pub fn limiter(self) -> Limiter {
        match self {
            LimiterKind::Fixed => Limiter::Fixed(FixedLimit::new(100)),
            LimiterKind::Aimd => Limiter::Aimd(AimdLimit::new(INITIAL_LIMIT, AIMD_THRESHOLD)),
            LimiterKind::Vegas => Limiter::Vegas(VegasLimit::new(INITIAL_LIMIT)),
            LimiterKind::Gradient => Limiter::Gradient(GradientLimit::default()),
        }
    }
}
