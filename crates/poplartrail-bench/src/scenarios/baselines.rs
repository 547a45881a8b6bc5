//! Baselines that lack some mechanisms, and limit algorithms to compare.

use std::time::Duration;

use poplartrail_core::{
    engine::{CallOptions, Mechanisms},
    gate::{AimdLimit, FixedLimit, GradientLimit, Limiter, VegasLimit},
};

use crate::simulation::SimulationBuilder;

/// Self time above which AIMD counts a call as slow: four times the mean self time of most
/// services.
const AIMD_THRESHOLD: Duration = Duration::from_millis(200);
/// Limit from which AIMD and Vegas start.
const INITIAL_LIMIT: usize = 32;

/// Set of enabled mechanisms; the variant's name labels the rows of the printed tables.
///
/// A share is the fraction of a rank's requests that a gate admits. Each gate sets the shares when
/// it divides its capacity among the ranks, and carries them back to the entry node, which then
/// refuses requests that a deeper gate would refuse. All gates shed requests in one common order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// All mechanisms.
    Full,
    /// No concurrency limit, no division of capacity among the ranks, no shares carried back to the
    /// entry node, no common order of shedding and no deadlines.
    NoLimit,
    /// A constant concurrency limit and a queue in each gate, and none of the other mechanisms that
    /// `NoLimit` lacks.
    StaticLimit(usize),
    /// Each gate sheds in a random order of its own, and shares of deeper gates are not carried
    /// back to the entry node.
    IndependentShedding,
    /// Each hop retries on its own, even after a refusal for overload; the hops share no retry
    /// budget per request.
    IndependentRetries,
    /// Shares of deeper gates are not carried back to the entry node.
    NoPathShares,
    /// Capacity is not divided among the ranks; only the order of the queue decides.
    NoShares,
    /// Silent connections are not replaced.
    NoSilenceWatch,
    /// Calls are started and finished even if their deadline has passed.
    NoDeadlines,
}

impl Baseline {
    /// Baselines for runs under overload. [`Baseline::NoSilenceWatch`] is left out because it only
    /// matters if connections fall silent.
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

    /// Sets the mechanisms of a simulation.
    pub fn apply(self, builder: SimulationBuilder) -> SimulationBuilder {
        builder.call_options(|options| self.configure(options))
    }

    fn configure(self, options: CallOptions) -> CallOptions {
        let all = Mechanisms::default();
        let uncoordinated =
            Mechanisms { has_consistent_shedding: false, has_path_shares: false, ..all };
        let without_control = |options: CallOptions| {
            options.divides_capacity(false).enforces_deadlines(false).mechanisms(uncoordinated)
        };
        match self {
            Baseline::Full => options,
            Baseline::NoLimit => without_control(options.limiter(None)),
            Baseline::StaticLimit(limit) => {
                without_control(options.limiter(Limiter::Fixed(FixedLimit::new(limit))))
            }
            Baseline::IndependentShedding => options.mechanisms(uncoordinated),
            Baseline::IndependentRetries => {
                options.mechanisms(Mechanisms { has_request_retry_budget: false, ..all })
            }
            Baseline::NoPathShares => {
                options.mechanisms(Mechanisms { has_path_shares: false, ..all })
            }
            Baseline::NoSilenceWatch => {
                options.mechanisms(Mechanisms { has_silence_detection: false, ..all })
            }
            Baseline::NoShares => options.divides_capacity(false),
            Baseline::NoDeadlines => options.enforces_deadlines(false),
        }
    }
}

/// Limit algorithm; the variant's name labels the rows of the printed tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterKind {
    /// A constant limit of 100, the true number of slots of most services.
    Fixed,
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// Vegas: a limit that keeps a small backlog in the upstream.
    Vegas,
    /// Gradient: compares the self time of calls with a reference that the gate measures from time
    /// to time at a reduced limit; the default of a node.
    Gradient,
}

impl LimiterKind {
    /// All kinds, in the order of the printed tables.
    pub const ALL: [LimiterKind; 4] =
        [LimiterKind::Fixed, LimiterKind::Aimd, LimiterKind::Vegas, LimiterKind::Gradient];

    /// Returns the limiter with the parameters that are compared.
    pub fn limiter(self) -> Limiter {
        match self {
            LimiterKind::Fixed => Limiter::Fixed(FixedLimit::new(100)),
            LimiterKind::Aimd => Limiter::Aimd(AimdLimit::new(INITIAL_LIMIT, AIMD_THRESHOLD)),
            LimiterKind::Vegas => Limiter::Vegas(VegasLimit::new(INITIAL_LIMIT)),
            LimiterKind::Gradient => Limiter::Gradient(GradientLimit::default()),
        }
    }
}
