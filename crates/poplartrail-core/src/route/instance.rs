//! One instance of a service as a caller-side node sees it.

use std::{net::SocketAddr, time::Duration};

use slotmap::new_key_type;

use crate::{
    call::Share,
    names::{VmName, ZoneName},
    policy::RankIndex,
    route::{GateReport, Silence},
    time::Time,
};

new_key_type! {
    /// Key of an instance in the router.
    pub struct InstanceKey;
}

/// Time after which a share that is not refreshed begins to age.
const SHARE_FRESH: Duration = Duration::from_millis(500);
/// Time in which an aged share doubles.
const SHARE_DOUBLING: Duration = Duration::from_millis(100);
/// Least share that ageing starts from.
const SHARE_START: f64 = 1.0 / 64.0;
/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures in a row.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Time in which a report of load loses half of its weight; floods last for seconds.
const LOAD_HALVING: Duration = Duration::from_secs(1);
/// Pause after the first try to reach an instance again; about the length of one failed try.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries: a node that is back must serve within a second or so.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// An instance to which no connection works.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    probe_at: Time,
    pause: Duration,
}

/// Whether an instance may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// It takes calls.
    Serving,
    /// It finishes what it has.
    Draining,
}

/// Fraction of one rank that an instance admits, with the time of the report.
#[derive(Debug, Clone, Copy)]
struct ShareReport {
    share: Share,
    at: Time,
}

/// What is known of one instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// VM of the instance.
    pub vm: VmName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address of its node for other nodes.
    pub addr: SocketAddr,
    /// Number that grows with each start of its node.
    pub incarnation: u64,
    /// Whether it may get new work.
    pub state: InstanceState,
    /// Calls of this node in progress there.
    pub outstanding: u32,
    /// Watch for the lack of answers.
    pub silence: Silence,
    /// Calls at its gate as parts of 1 024 of the limit, by its last report.
    pub(crate) load: u16,
    unreachable: Option<Unreachable>,
    shares: Vec<ShareReport>,
    paused_until: Time,
    failures: u32,
    last_heard: Option<Time>,
}

impl Instance {
    /// An instance of which only its announcement is known.
    pub fn new(
        now: Time,
        vm: VmName,
        zone: ZoneName,
        addr: SocketAddr,
        incarnation: u64,
        ranks: usize,
    ) -> Self {
        let full = ShareReport { share: Share::FULL, at: now };
        Self {
            vm,
            zone,
            addr,
            incarnation,
            state: InstanceState::Serving,
            outstanding: 0,
            silence: Silence::new(now),
            load: 0,
            unreachable: None,
            shares: vec![full; ranks],
            paused_until: Time::ZERO,
            failures: 0,
            last_heard: None,
        }
    }

    /// Whether the instance may be chosen.
    pub fn is_available(&self, now: Time) -> bool {
        self.state == InstanceState::Serving
            && self.unreachable.is_none()
            && now >= self.paused_until
    }

    /// Notes that no connection to the instance works, so that one is tried before it is chosen.
    pub(crate) fn note_unreachable(&mut self, now: Time) {
        if self.unreachable.is_none() {
            self.unreachable = Some(Unreachable { probe_at: now, pause: FIRST_PROBE_PAUSE });
        }
    }

    /// Notes that a connection to the instance is open.
    pub(crate) fn mark_reachable(&mut self) {
        self.unreachable = None;
        self.paused_until = Time::ZERO;
        self.failures = 0;
    }

    /// Whether a connection is to be tried now; each try doubles the pause before the next.
    pub(crate) fn is_probe_due(&mut self, now: Time) -> bool {
        let Some(state) = &mut self.unreachable else { return false };
        if now < state.probe_at {
            return false;
        }
        state.probe_at = now + state.pause;
        state.pause = (state.pause * 2).min(MAX_PROBE_PAUSE);
        true
    }

    /// Fraction of `rank` that the instance admits, as far as is known now.
    pub fn share(&self, now: Time, rank: RankIndex) -> Share {
        let Some(report) = self.shares.get(rank.index()) else { return Share::FULL };
        let age = now.since(report.at);
        if age <= SHARE_FRESH || report.share == Share::FULL {
            return report.share;
        }
        let doublings = (age - SHARE_FRESH).as_secs_f64() / SHARE_DOUBLING.as_secs_f64();
        let start = report.share.fraction().max(SHARE_START);
        Share::from_fraction(start * doublings.min(16.0).exp2())
    }

    /// Calls at its gate as parts of 1 024 of the limit, as far as is known now.
    ///
    /// A report loses half of its weight in every [`LOAD_HALVING`], so that an instance which was
    /// full is tried again.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let age = self.last_heard.map_or(Duration::ZERO, |at| now.since(at));
        let halvings = age.as_secs_f64() / LOAD_HALVING.as_secs_f64();
        f64::from(self.load) * (-halvings).exp2()
    }

    /// Cost of one more call, for the choice between two instances.
    pub fn cost(&self) -> f64 {
        f64::from(self.outstanding + 1) * (1.0 + f64::from(self.load) / 1024.0)
    }

    /// Time at which the instance last answered.
    pub fn last_answered_at(&self) -> Option<Time> {
        self.last_heard
    }

    /// Takes in a report; `config` is the configuration of the node that reads it.
    ///
    /// Under the same configuration both know the same ranks, and an answer to a call of one
    /// rank tells of all: a rank that is shed above hardly has answers of its own.
    pub(crate) fn note_report(
        &mut self,
        now: Time,
        rank: RankIndex,
        config: u64,
        report: &GateReport,
    ) {
        if report.config_version == config && report.shares.len() == self.shares.len() {
            for (slot, share) in self.shares.iter_mut().zip(&report.shares) {
                *slot = ShareReport { share: *share, at: now };
            }
        } else if let Some(slot) = self.shares.get_mut(rank.index()) {
            *slot = ShareReport { share: report.share, at: now };
        }
        self.load = report.load;
        self.failures = 0;
        self.last_heard = Some(now);
        if report.is_draining {
            self.state = InstanceState::Draining;
        }
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Consecutive failures since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub(crate) fn set_ranks(&mut self, now: Time, ranks: usize) {
        self.shares.resize(ranks, ShareReport { share: Share::FULL, at: now });
    }
}
