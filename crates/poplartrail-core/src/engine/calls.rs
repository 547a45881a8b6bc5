//! The calls in progress on one node and what decides on them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    call::{Call, Refusal, RequestId, Share},
    engine::{
        CallKey, CallOptions, ClusterState, Event, EventKind, NodePhase, Output, ReplyHandle,
        live::{Live, Stage},
        timers::Timers,
    },
    gate::{Gate, GateOptions, GoodputController, GradientLimit, Limiter},
    keys::{IdempotencyKey, Ledger},
    member::Member,
    names::{InstanceName, RankName, ServiceName, VmName},
    policy::{Policy, RankIndex},
    retry::{RetryBudgetCache, RetryTokenBucket},
    route::{InstanceKey, Router},
    time::{Time, WallTime},
};

/// Requests whose repeats a node recognises.
const MAX_REPEATS: usize = 100_000;
/// Time for which a node recognises repeats.
const REPEAT_WINDOW: Duration = Duration::from_secs(60);
/// Time for which a computed path share serves.
const PATH_SHARE_FRESH: Duration = Duration::from_millis(5);
/// Time after the last call to a service for which its shares count.
const CALLED_WINDOW: Duration = Duration::from_secs(10);
/// Highest first limit, whatever the upstream says of itself.
const MAX_FIRST_LIMIT: usize = 64;

/// What a decision needs besides the calls themselves.
pub(crate) struct Cx<'a> {
    pub(crate) now: Time,
    pub(crate) wall: WallTime,
    pub(crate) life: &'a NodePhase,
    pub(crate) keeper: &'a ClusterState,
    pub(crate) out: &'a mut Vec<Output>,
}

impl Cx<'_> {
    pub(crate) fn note(
        &mut self,
        request: Option<RequestId>,
        rank: Option<RankName>,
        kind: EventKind,
    ) {
        self.out.push(Output::RecordEvent(Event { request_id: request, rank, kind }));
    }
}

#[derive(Debug, Clone)]
struct Called {
    service: ServiceName,
    ranks: Vec<Option<Time>>,
}

/// Calls in progress, the gate, the routes and the memory of keys.
#[derive(Debug)]
pub struct Calls {
    pub(crate) me: Member,
    pub(crate) policy: Arc<Policy>,
    pub(crate) options: CallOptions,
    pub(crate) gate: Gate,
    pub(crate) router: Router,
    pub(crate) ratio: RetryTokenBucket,
    pub(crate) repeats: RetryBudgetCache,
    pub(crate) ledger: Ledger,
    pub(crate) live: SlotMap<CallKey, Live>,
    pub(crate) tickets: HashMap<ReplyHandle, CallKey>,
    pub(crate) running_keys: HashMap<IdempotencyKey, CallKey>,
    pub(crate) followers: HashMap<CallKey, Vec<CallKey>>,
    pub(crate) timers: Timers,
    pub(crate) random: SmallRng,
    pub(crate) latest_accepted: WallTime,
    /// Earliest time of the next question for the holder of a slot.
    pub(crate) ask_holder_at: Time,
    pub(crate) upstream_down_until: Time,
    /// Why the own upstream takes no call, if it takes none.
    pub(crate) upstream_closed: Option<Refusal>,
    /// The instance that calls are dispatched to, if the upstream has named itself.
    pub(crate) instance_name: Option<InstanceName>,
    called: Vec<Called>,
    newly_called: Vec<ServiceName>,
    path_shares: Vec<(Time, Share)>,
    interval_at: Time,
    noted_limit: usize,
    pub(crate) is_site_ruled: bool,
    /// For each rank, what becomes of the whole requests that the own upstream runs.
    pub(crate) goodput: Vec<GoodputController>,
}

impl Calls {
    /// A node with no call in progress.
    pub fn new(me: Member, policy: Arc<Policy>, options: CallOptions) -> Self {
        let gate = new_gate(&options, &policy);
        let router = Router::new(me.zone.clone());
        let mut calls = Self {
            gate,
            router,
            ratio: RetryTokenBucket::new(policy.bounds.retry_ratio, policy.bounds.retry_burst),
            repeats: RetryBudgetCache::new(MAX_REPEATS),
            ledger: Ledger::new(options.ledger_bytes),
            live: SlotMap::with_key(),
            tickets: HashMap::new(),
            running_keys: HashMap::new(),
            followers: HashMap::new(),
            timers: Timers::default(),
            random: SmallRng::seed_from_u64(options.seed),
            latest_accepted: WallTime::default(),
            ask_holder_at: Time::ZERO,
            upstream_down_until: Time::ZERO,
            upstream_closed: None,
            instance_name: None,
            called: Vec::new(),
            newly_called: Vec::new(),
            path_shares: Vec::new(),
            interval_at: Time::ZERO,
            noted_limit: 0,
            is_site_ruled: false,
            goodput: Vec::new(),
            me,
            policy,
            options,
        };
        calls.router.set_uses_shares(calls.options.mechanisms.has_path_shares);
        calls
    }

    /// Number of calls in progress.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// The gate of the upstream.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// The routes.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The routes, to be changed by the fold of the log.
    pub(crate) fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// The memory of keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The policy in force.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Puts a policy in force. Calls in progress keep their deadlines and retries.
    pub(crate) fn set_policy(&mut self, now: Time, policy: Arc<Policy>) {
        let has_same_ranks = self.policy.ranks == policy.ranks;
        let has_same_queue = self.policy.bounds.queue_len == policy.bounds.queue_len;
        self.ratio.set_ratio(policy.bounds.retry_ratio);
        if !(has_same_ranks && has_same_queue) {
            self.gate.set_ranks(&policy.ranks, policy.bounds.queue_len);
            self.router.set_ranks(now, policy.ranks.len());
            self.called.clear();
            for live in self.live.values_mut() {
                live.rank = RankIndex(live.rank.0.min(policy.ranks.len() as u8 - 1));
            }
        }
        if !has_same_ranks {
            self.goodput = vec![GoodputController::default(); policy.ranks.len()];
        }
        self.path_shares.clear();
        self.policy = policy;
    }

    /// Starts the gate's law again, after the upstream has come back.
    pub(crate) fn restart_gate(&mut self, slots: Option<usize>) {
        let least = GradientLimit::INITIAL_LIMIT;
        let first = slots.map_or(least, |s| (s / 2).clamp(least, MAX_FIRST_LIMIT));
        if let Some(Limiter::Gradient(_)) = self.options.limiter {
            self.gate.set_limiter(Limiter::Gradient(GradientLimit::new(first)));
        }
    }

    /// The earliest time at which [`Calls::wake`] has something to do.
    pub(crate) fn next_wake(&self) -> Time {
        let interval = self.interval_at + self.policy.bounds.interval;
        self.timers.next().map_or(interval, |timer| timer.min(interval))
    }

    /// Ends what has passed its deadline, and the interval if it is over.
    pub(crate) fn wake(&mut self, cx: &mut Cx<'_>) {
        while let Some(key) = self.timers.pop_due(cx.now) {
            self.expire(cx, key);
        }
        if cx.now >= self.interval_at + self.policy.bounds.interval {
            self.end_interval(cx);
        }
    }

    pub(crate) fn end_interval(&mut self, cx: &mut Cx<'_>) {
        self.interval_at = cx.now;
        let before: Vec<Share> = self.own_shares();
        let mut steps = Vec::new();
        self.gate.end_interval(cx.now, &mut steps);
        self.take_steps(cx, steps);
        self.note_changes(cx, &before);
        self.repeats.evict_before(cx.now - REPEAT_WINDOW);
        self.ledger.expire_until(cx.wall - self.policy.bounds.key_window);
        if self.options.mechanisms.has_silence_detection
            && self.options.mechanisms.has_answer_watchdog
        {
            self.replace_silent(cx);
        }
        self.probe_unreachable(cx);
    }

    fn own_shares(&self) -> Vec<Share> {
        (0..self.policy.ranks.len()).map(|r| self.gate.share(RankIndex(r as u8))).collect()
    }

    fn note_changes(&mut self, cx: &mut Cx<'_>, before: &[Share]) {
        for (index, (from, to)) in before.iter().zip(self.own_shares()).enumerate() {
            if *from != to && (*from == Share::FULL || to == Share::FULL) {
                let rank = self.policy.ranks.get(RankIndex(index as u8)).name.clone();
                let kind = EventKind::ShareChanged { from: from.fraction(), to: to.fraction() };
                cx.note(None, Some(rank), kind);
            }
        }
        let limit = self.gate.limit();
        let is_notable = limit != usize::MAX && limit.abs_diff(self.noted_limit) * 4 > limit;
        if is_notable {
            cx.note(None, None, EventKind::LimitChanged { from: self.noted_limit, to: limit });
            self.noted_limit = limit;
        }
    }

    fn replace_silent(&mut self, cx: &mut Cx<'_>) {
        for key in self.router.poll_silent(cx.now) {
            self.replace_connection_of(cx, key);
        }
    }

    /// Replaces the connection to `vm`, over which nothing comes any longer.
    pub(crate) fn replace_connection(&mut self, cx: &mut Cx<'_>, vm: &VmName) {
        let key = self.router.get_by_vm(vm).map(|(key, _)| key);
        if let Some(key) = key.filter(|_| self.options.mechanisms.has_silence_detection) {
            self.replace_connection_of(cx, key);
        }
    }

    fn replace_connection_of(&mut self, cx: &mut Cx<'_>, key: InstanceKey) {
        let Some(instance) = self.router.get(key) else { return };
        let (vm, to) = (instance.vm.clone(), instance.addr);
        cx.note(None, None, EventKind::ConnectionSilent { vm: vm.clone() });
        cx.out.push(Output::Reconnect { vm, addr: to });
        self.lose_sent_to(cx, key);
    }

    /// Notes that a call of `rank` goes to `service`, whose shares then count for that rank.
    pub(crate) fn note_called(&mut self, now: Time, service: &ServiceName, rank: RankIndex) {
        let ranks = self.policy.ranks.len();
        let at = match self.called.iter().position(|c| c.service == *service) {
            Some(at) => at,
            None => {
                self.called.push(Called { service: service.clone(), ranks: vec![None; ranks] });
                self.newly_called.push(service.clone());
                self.called.len() - 1
            }
        };
        self.called[at].ranks[rank.index()] = Some(now);
    }

    /// Services to which calls went for the first time since the last question.
    pub(crate) fn take_newly_called(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.newly_called)
    }

    /// Fraction of `rank` that this gate and everything below it admit.
    pub fn path_share(&mut self, now: Time, rank: RankIndex) -> Share {
        let own = self.gate.share(rank);
        if !self.options.mechanisms.has_path_shares {
            return own;
        }
        let below = match self.path_shares.get(rank.index()) {
            Some((at, share)) if now.since(*at) < PATH_SHARE_FRESH && *at <= now => *share,
            _ => self.compute_path_share(now, rank),
        };
        own.min(below)
    }

    fn compute_path_share(&mut self, now: Time, rank: RankIndex) -> Share {
        let below = self
            .called
            .iter()
            .filter(|c| c.ranks[rank.index()].is_some_and(|at| now.since(at) < CALLED_WINDOW))
            .map(|c| self.router.share(now, &c.service, rank))
            .min()
            .unwrap_or(Share::FULL);
        let unset = (Time::ZERO, Share::FULL);
        self.path_shares.resize(self.policy.ranks.len(), unset);
        self.path_shares[rank.index()] = (now, below);
        below
    }

    /// A random number for a choice of route.
    pub(crate) fn random(&mut self) -> u64 {
        self.random.random()
    }

    /// Takes a call's stage out, to be replaced by the next one.
    pub(crate) fn take_stage(&mut self, key: CallKey) -> Option<Stage> {
        let live = self.live.get_mut(key)?;
        Some(std::mem::replace(&mut live.stage, Stage::Moving))
    }

    /// Takes a waiting call out of its stage.
    pub(crate) fn take_waiting(&mut self, key: CallKey) -> Option<Call<crate::call::Admitted>> {
        match self.take_stage(key)? {
            Stage::Waiting(call) => Some(call),
            other => {
                self.live[key].stage = other;
                None
            }
        }
    }
}

fn new_gate(options: &CallOptions, policy: &Policy) -> Gate {
    let options = GateOptions {
        limiter: options.limiter.clone(),
        divides_capacity: options.divides_capacity,
        enforces_deadlines: options.enforces_deadlines,
        max_queue_len: policy.bounds.queue_len,
    };
    Gate::new(options, &policy.ranks)
}
