//! An instance of a service as the calling node sees it.

use std::{net::SocketAddr, time::Duration};

use slotmap::new_key_type;

use crate::{
    call::Share,
    names::{VmName, ZoneName},
    policy::RankIndex,
    route::{AnswerWatchdog, GateReport},
    time::Time,
    upstream::UpstreamTerms,
};

new_key_type! {
    /// Key of an instance in the router.
    pub struct InstanceKey;
}

/// Age up to which a reported share is used unchanged.
const SHARE_MAX_AGE: Duration = Duration::from_millis(500);
/// Time in which an older share doubles.
const SHARE_DOUBLING_TIME: Duration = Duration::from_millis(100);
/// Smallest share that the doubling starts from.
const MIN_AGED_SHARE: f64 = 1.0 / 64.0;
/// Backoff after the first failure; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Half-life of a reported load; overload lasts for seconds.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time between the first two probes of an unreachable instance; about the duration of one failed
/// connection attempt. It doubles with each probe.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of the time between two probes, so that a node that is back serves within about a
/// second.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probe schedule of an instance to which no connection can be opened.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    probe_at: Time,
    probe_interval: Duration,
}

/// State of an instance, from its announcements and its replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Takes new calls.
    Serving,
    /// Takes no new calls and finishes those in progress.
    Draining,
}

/// Share of one rank that an instance admits, with the time of the report.
#[derive(Debug, Clone, Copy)]
struct ShareReport {
    share: Share,
    reported_at: Time,
}

/// State of one instance, from its announcement and from the replies to this node's calls.
#[derive(Debug, Clone)]
pub struct Instance {
    /// VM that the instance runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which the instance's node accepts calls of other nodes.
    pub addr: SocketAddr,
    /// Number that grows with each start of the instance's node.
    pub incarnation: u64,
    /// Whether the instance takes new calls.
    pub state: InstanceState,
    /// Calls sent by this node that the instance has not answered yet.
    pub outstanding: u32,
    /// Watchdog for the connection to the instance, which expires for lack of answers.
    pub answer_watchdog: AnswerWatchdog,
    /// Calls at the instance's gate in parts of 1 024 of its limit, by its last report.
    pub(crate) load: u16,
    unreachable: Option<Unreachable>,
    shares: Vec<ShareReport>,
    backoff_until: Time,
    failures: u32,
    last_answered_at: Option<Time>,
    /// Terms of the instance's upstream, with the time of the report. They are kept when the
    /// instance's node restarts, which has to learn them again.
    terms: Option<(UpstreamTerms, Time)>,
}

impl Instance {
    /// Creates the state of an instance that has been announced and not called yet.
    pub fn new(
        now: Time,
        vm: VmName,
        zone: ZoneName,
        addr: SocketAddr,
        incarnation: u64,
        ranks: usize,
    ) -> Self {
        let full = ShareReport { share: Share::FULL, reported_at: now };
        Self {
            vm,
            zone,
            addr,
            incarnation,
            state: InstanceState::Serving,
            outstanding: 0,
            answer_watchdog: AnswerWatchdog::new(now),
            load: 0,
            unreachable: None,
            shares: vec![full; ranks],
            backoff_until: Time::ZERO,
            failures: 0,
            last_answered_at: None,
            terms: None,
        }
    }

    /// Returns whether new calls may be sent to the instance: it is serving, reachable and not in
    /// backoff after a failure.
    pub fn is_available(&self, now: Time) -> bool {
        self.state == InstanceState::Serving
            && self.unreachable.is_none()
            && now >= self.backoff_until
    }

    /// Marks the instance as unreachable, so that it is probed before it is chosen again.
    pub(crate) fn mark_unreachable(&mut self, now: Time) {
        if self.unreachable.is_none() {
            self.unreachable =
                Some(Unreachable { probe_at: now, probe_interval: INITIAL_PROBE_INTERVAL });
        }
    }

    /// Marks the instance as reachable and ends its backoff, because a connection to it is open.
    pub(crate) fn mark_reachable(&mut self) {
        self.unreachable = None;
        self.backoff_until = Time::ZERO;
        self.failures = 0;
    }

    /// Returns whether a probe is due, and schedules the next one after twice the interval.
    pub(crate) fn poll_due_probe(&mut self, now: Time) -> bool {
        let Some(state) = &mut self.unreachable else { return false };
        if now < state.probe_at {
            return false;
        }
        state.probe_at = now + state.probe_interval;
        state.probe_interval = (state.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        true
    }

    /// Returns the share of `rank` that the instance is assumed to admit at `now`.
    ///
    /// A share that has not been reported again for `SHARE_MAX_AGE` doubles in every
    /// `SHARE_DOUBLING_TIME` from then on.
    pub fn share(&self, now: Time, rank: RankIndex) -> Share {
        let Some(report) = self.shares.get(rank.index()) else { return Share::FULL };
        let age = now.since(report.reported_at);
        if age <= SHARE_MAX_AGE || report.share == Share::FULL {
            return report.share;
        }
        let doublings = (age - SHARE_MAX_AGE).as_secs_f64() / SHARE_DOUBLING_TIME.as_secs_f64();
        let initial_share = report.share.fraction().max(MIN_AGED_SHARE);
        Share::from_fraction(initial_share * doublings.min(16.0).exp2())
    }

    /// Returns the calls at the instance's gate in parts of 1 024 of its limit, as estimated for
    /// `now`.
    ///
    /// The last reported load decays with a half-life of [`LOAD_HALF_LIFE`], so that an instance
    /// that was full is tried again.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let age = self.last_answered_at.map_or(Duration::ZERO, |at| now.since(at));
        let half_lives = age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        f64::from(self.load) * (-half_lives).exp2()
    }

    /// Returns the cost of sending one more call here, for the choice between two instances: this
    /// node's outstanding calls weighted by the load of the gate.
    pub fn cost(&self) -> f64 {
        f64::from(self.outstanding + 1) * (1.0 + f64::from(self.load) / 1024.0)
    }

    /// Returns the time of the last answer; `None` before the first.
    pub fn last_answered_at(&self) -> Option<Time> {
        self.last_answered_at
    }

    /// Applies a load report; `config_version` is that of this node.
    ///
    /// If both nodes have the same configuration, they have the same ranks, and the report on a
    /// call of one rank applies to all: a rank that is shed earlier on the path has few answers of
    /// its own. Otherwise it applies to `rank` only.
    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        rank: RankIndex,
        config_version: u64,
        report: &GateReport,
    ) {
        if report.config_version == config_version && report.shares.len() == self.shares.len() {
            for (slot, share) in self.shares.iter_mut().zip(&report.shares) {
                *slot = ShareReport { share: *share, reported_at: now };
            }
        } else if let Some(slot) = self.shares.get_mut(rank.index()) {
            *slot = ShareReport { share: report.share, reported_at: now };
        }
        self.load = report.load;
        self.failures = 0;
        self.last_answered_at = Some(now);
        if let Some(terms) = &report.terms {
            self.terms = Some((terms.clone(), now));
        }
        if report.is_draining {
            self.state = InstanceState::Draining;
        }
    }

    /// Returns the terms of the instance's upstream as of `now`; `None` if no limit is known
    /// and it is not known to leave.
    pub(crate) fn terms(&self, now: Time) -> Option<UpstreamTerms> {
        let (terms, reported_at) = self.terms.as_ref()?;
        let age = terms.age + now.since(*reported_at);
        Some(UpstreamTerms { age, ..terms.clone() })
    }

    /// Takes over what is known of the upstream from the previous process of the instance's node.
    pub(crate) fn inherit_terms(&mut self, previous: &Instance) {
        self.terms.clone_from(&previous.terms);
    }

    /// Discards the limit of the instance's upstream, which has answered without naming one.
    pub(crate) fn clear_limit(&mut self) {
        if let Some((terms, _)) = &mut self.terms {
            terms.limit = None;
        }
        self.terms.take_if(|(terms, _)| !terms.is_leaving);
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns the number of consecutive failures since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub(crate) fn set_ranks(&mut self, now: Time, ranks: usize) {
        self.shares.resize(ranks, ShareReport { share: Share::FULL, reported_at: now });
    }
}
