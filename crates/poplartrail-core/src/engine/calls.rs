//! The calls in progress on one node, and the components that decide on them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    call::{Call, Refusal, RequestId, Share},
    engine::{
        CallKey, CallOptions, ClusterState, Event, EventKind, NodePhase, Output, ReplyHandle,
        active_call::{ActiveCall, Stage},
        timers::Timers,
    },
    gate::{Gate, GateOptions, GoodputController, GradientLimit, Limiter, RejectionRate},
    keys::{IdempotencyKey, Ledger},
    member::Member,
    names::{InstanceName, RankName, ServiceName, VmName},
    policy::{Policy, RankIndex},
    retry::{RetryBudgetCache, ServiceTokens},
    route::{InstanceKey, Router},
    time::{Time, WallTime},
    upstream::{CallLimit, UpstreamIncarnation},
};

/// Maximum number of requests for which a node remembers the retry budget between repeats.
const MAX_TRACKED_REQUESTS: usize = 100_000;
/// Time for which a node remembers the retry budget of a request.
const REPEAT_WINDOW: Duration = Duration::from_secs(60);
/// Time for which the computed share of all callees is reused.
const CALLEE_SHARE_MAX_AGE: Duration = Duration::from_millis(5);
/// Time since the last call to a service during which the service counts towards the path share.
const CALLEE_WINDOW: Duration = Duration::from_secs(10);
/// Upper bound of the initial limit, whatever number of slots the upstream states.
const MAX_INITIAL_LIMIT: usize = 64;

/// State besides [`Calls`] that a decision reads, and the outputs that it appends to.
pub(crate) struct DecisionContext<'a> {
    pub(crate) now: Time,
    pub(crate) wall: WallTime,
    pub(crate) phase: &'a NodePhase,
    pub(crate) cluster: &'a ClusterState,
    pub(crate) out: &'a mut Vec<Output>,
}

impl DecisionContext<'_> {
    pub(crate) fn record_event(
        &mut self,
        request_id: Option<RequestId>,
        rank: Option<RankName>,
        kind: EventKind,
    ) {
        self.out.push(Output::RecordEvent(Event { request_id, rank, kind }));
    }
}

#[derive(Debug, Clone)]
struct Callee {
    service: ServiceName,
    /// Time of the last call of each rank; `None` if there was none.
    last_called_at: Vec<Option<Time>>,
}

/// The calls in progress, with the gate, the router, the retry budgets and the ledger that decide
/// on them.
#[derive(Debug)]
pub struct Calls {
    pub(crate) local_member: Member,
    pub(crate) policy: Arc<Policy>,
    pub(crate) options: CallOptions,
    pub(crate) gate: Gate,
    pub(crate) rejections: RejectionRate,
    pub(crate) router: Router,
    pub(crate) retry_tokens: ServiceTokens,
    pub(crate) retry_budgets: RetryBudgetCache,
    pub(crate) ledger: Ledger,
    pub(crate) active_calls: SlotMap<CallKey, ActiveCall>,
    pub(crate) awaited_replies: HashMap<ReplyHandle, CallKey>,
    /// Idempotency keys in progress, with the call that runs each.
    pub(crate) running_keys: HashMap<IdempotencyKey, CallKey>,
    /// Calls that wait for the outcome of a running call with the same key.
    pub(crate) followers: HashMap<CallKey, Vec<CallKey>>,
    pub(crate) timers: Timers,
    pub(crate) rng: SmallRng,
    /// Latest mint time of all idempotency keys accepted here.
    pub(crate) last_accepted: WallTime,
    /// Earliest time of the next request for the holder of a key slot.
    pub(crate) next_ask_holder_at: Time,
    pub(crate) upstream_down_until: Time,
    /// Reason for which the local upstream takes no calls; `None` while it takes them.
    pub(crate) upstream_refusal: Option<Refusal>,
    /// Instance that calls are dispatched to; `None` until the upstream has stated its name.
    pub(crate) upstream_instance: Option<InstanceName>,
    /// Incarnation of the local upstream that calls are dispatched to; `None` before the first.
    pub(crate) upstream_incarnation: Option<UpstreamIncarnation>,
    /// Limit on the rate of calls that this incarnation names.
    pub(crate) call_limit: CallLimit,
    callees: Vec<Callee>,
    new_callees: Vec<ServiceName>,
    callee_shares: Vec<(Time, Share)>,
    interval_started_at: Time,
    reported_limit: usize,
    pub(crate) is_hosted: bool,
    /// Controllers, one per rank, that admit whole requests by the fraction that succeeds in the
    /// local upstream. Empty until the ranks change for the first time.
    pub(crate) goodput: Vec<GoodputController>,
}

impl Calls {
    /// Creates the calls of a node, with none in progress.
    pub fn new(local_member: Member, policy: Arc<Policy>, options: CallOptions) -> Self {
        let gate = new_gate(&options, &policy);
        let router = Router::new(local_member.zone.clone());
        let mut calls = Self {
            gate,
            rejections: RejectionRate::default(),
            router,
            retry_tokens: ServiceTokens::new(policy.bounds.retry_ratio, policy.bounds.retry_burst),
            retry_budgets: RetryBudgetCache::new(MAX_TRACKED_REQUESTS),
            ledger: Ledger::new(options.ledger_bytes),
            active_calls: SlotMap::with_key(),
            awaited_replies: HashMap::new(),
            running_keys: HashMap::new(),
            followers: HashMap::new(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            last_accepted: WallTime::default(),
            next_ask_holder_at: Time::ZERO,
            upstream_down_until: Time::ZERO,
            upstream_refusal: None,
            upstream_instance: None,
            upstream_incarnation: None,
            call_limit: CallLimit::default(),
            callees: Vec::new(),
            new_callees: Vec::new(),
            callee_shares: Vec::new(),
            interval_started_at: Time::ZERO,
            reported_limit: 0,
            is_hosted: false,
            goodput: Vec::new(),
            local_member,
            policy,
            options,
        };
        calls.router.set_uses_shares(calls.options.mechanisms.has_path_shares);
        calls
    }

    /// Number of calls in progress, queued ones included.
    pub fn len(&self) -> usize {
        self.active_calls.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.active_calls.is_empty()
    }

    /// Admission to the local upstream.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Known instances of all services, and the choice among them.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The router, for updates from the log and from other nodes.
    pub(crate) fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Outcomes of the idempotency keys that this node has accepted.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The policy in force.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Applies a new policy. Calls in progress keep their deadlines and retry budgets.
    pub(crate) fn set_policy(&mut self, now: Time, policy: Arc<Policy>) {
        let has_same_ranks = self.policy.ranks == policy.ranks;
        let has_same_queue = self.policy.bounds.queue_len == policy.bounds.queue_len;
        self.retry_tokens.set_ratio(policy.bounds.retry_ratio);
        if !(has_same_ranks && has_same_queue) {
            self.gate.set_ranks(&policy.ranks, policy.bounds.queue_len);
            self.router.set_ranks(now, policy.ranks.len());
            self.callees.clear();
            for active_call in self.active_calls.values_mut() {
                active_call.rank = RankIndex(active_call.rank.0.min(policy.ranks.len() as u8 - 1));
            }
        }
        if !has_same_ranks {
            self.goodput = vec![GoodputController::default(); policy.ranks.len()];
        }
        self.callee_shares.clear();
        self.policy = policy;
    }

    /// Restarts a gradient limiter after the upstream has restarted, from half the stated `slots`.
    pub(crate) fn restart_limiter(&mut self, slots: Option<usize>) {
        let min_limit = GradientLimit::INITIAL_LIMIT;
        let initial_limit =
            slots.map_or(min_limit, |s| (s / 2).clamp(min_limit, MAX_INITIAL_LIMIT));
        if let Some(Limiter::Gradient(_)) = self.options.limiter {
            self.gate.set_limiter(Limiter::Gradient(GradientLimit::new(initial_limit)));
        }
    }

    /// Returns the earliest time at which [`Calls::wake`] has something to do.
    pub(crate) fn next_wake(&self) -> Time {
        let interval = self.interval_started_at + self.policy.bounds.interval;
        let others = [self.timers.next(), self.gate.next_dispatch_at()];
        others.into_iter().flatten().fold(interval, Time::min)
    }

    /// Ends the calls whose deadline has passed, dispatches those that waited for the rate of calls,
    /// and ends the gate's interval when it is over.
    pub(crate) fn wake(&mut self, cx: &mut DecisionContext<'_>) {
        while let Some(key) = self.timers.pop_due(cx.now) {
            self.expire(cx, key);
        }
        if self.gate.next_dispatch_at().is_some_and(|at| at <= cx.now) {
            self.dispatch_due(cx);
        }
        if cx.now >= self.interval_started_at + self.policy.bounds.interval {
            self.end_interval(cx);
        }
    }

    pub(crate) fn dispatch_due(&mut self, cx: &mut DecisionContext<'_>) {
        let mut decisions = Vec::new();
        self.gate.poll(cx.now, &mut decisions);
        self.apply_gate_decisions(cx, decisions);
    }

    pub(crate) fn end_interval(&mut self, cx: &mut DecisionContext<'_>) {
        self.interval_started_at = cx.now;
        let before: Vec<Share> = self.local_shares();
        let mut decisions = Vec::new();
        self.gate.end_interval(cx.now, &mut decisions);
        self.apply_gate_decisions(cx, decisions);
        self.record_gate_changes(cx, &before);
        self.retry_budgets.evict_before(cx.now - REPEAT_WINDOW);
        self.ledger.expire_until(cx.wall - self.policy.bounds.key_window);
        if self.options.mechanisms.has_silence_detection
            && self.options.mechanisms.has_answer_watchdog
        {
            self.replace_silent_connections(cx);
        }
        self.probe_unreachable(cx);
    }

    fn local_shares(&self) -> Vec<Share> {
        (0..self.policy.ranks.len()).map(|r| self.gate.share(RankIndex(r as u8))).collect()
    }

    fn record_gate_changes(&mut self, cx: &mut DecisionContext<'_>, before: &[Share]) {
        for (index, (from, to)) in before.iter().zip(self.local_shares()).enumerate() {
            if *from != to && (*from == Share::FULL || to == Share::FULL) {
                let rank = self.policy.ranks.get(RankIndex(index as u8)).name.clone();
                let kind = EventKind::ShareChanged { from: from.fraction(), to: to.fraction() };
                cx.record_event(None, Some(rank), kind);
            }
        }
        let limit = self.gate.limit();
        let is_notable = limit != usize::MAX && limit.abs_diff(self.reported_limit) * 4 > limit;
        if is_notable {
            cx.record_event(
                None,
                None,
                EventKind::LimitChanged { from: self.reported_limit, to: limit },
            );
            self.reported_limit = limit;
        }
    }

    fn replace_silent_connections(&mut self, cx: &mut DecisionContext<'_>) {
        for key in self.router.poll_silent(cx.now) {
            self.replace_connection_to(cx, key);
        }
    }

    /// Replaces the connection to `vm`, over which nothing arrives any more.
    pub(crate) fn replace_connection(&mut self, cx: &mut DecisionContext<'_>, vm: &VmName) {
        let key = self.router.get_by_vm(vm).map(|(key, _)| key);
        if let Some(key) = key.filter(|_| self.options.mechanisms.has_silence_detection) {
            self.replace_connection_to(cx, key);
        }
    }

    fn replace_connection_to(&mut self, cx: &mut DecisionContext<'_>, key: InstanceKey) {
        let Some(instance) = self.router.get(key) else { return };
        let (vm, addr) = (instance.vm.clone(), instance.addr);
        cx.record_event(None, None, EventKind::ConnectionSilent { vm: vm.clone() });
        cx.out.push(Output::Disconnect { vm, addr });
        self.fail_calls_to(cx, key);
    }

    /// Records that a call of `rank` goes to `service`, whose shares then count for that rank.
    pub(crate) fn record_callee(&mut self, now: Time, service: &ServiceName, rank: RankIndex) {
        let ranks = self.policy.ranks.len();
        let index = match self.callees.iter().position(|c| c.service == *service) {
            Some(index) => index,
            None => {
                self.callees
                    .push(Callee { service: service.clone(), last_called_at: vec![None; ranks] });
                self.new_callees.push(service.clone());
                self.callees.len() - 1
            }
        };
        self.callees[index].last_called_at[rank.index()] = Some(now);
    }

    /// Removes and returns the services recorded as new callees since this function last ran.
    ///
    /// After a change of the ranks or of the queue length, every callee counts as new again.
    pub(crate) fn drain_new_callees(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.new_callees)
    }

    /// Fraction of `rank` that this gate and all services below it admit.
    pub fn path_share(&mut self, now: Time, rank: RankIndex) -> Share {
        let local = self.gate.share(rank);
        if !self.options.mechanisms.has_path_shares {
            return local;
        }
        let below = match self.callee_shares.get(rank.index()) {
            Some((at, share)) if now.since(*at) < CALLEE_SHARE_MAX_AGE && *at <= now => *share,
            _ => self.compute_callee_share(now, rank),
        };
        local.min(below)
    }

    fn compute_callee_share(&mut self, now: Time, rank: RankIndex) -> Share {
        let below = self
            .callees
            .iter()
            .filter(|c| {
                c.last_called_at[rank.index()].is_some_and(|at| now.since(at) < CALLEE_WINDOW)
            })
            .map(|c| self.router.share(now, &c.service, rank))
            .min()
            .unwrap_or(Share::FULL);
        let unset = (Time::ZERO, Share::FULL);
        self.callee_shares.resize(self.policy.ranks.len(), unset);
        self.callee_shares[rank.index()] = (now, below);
        below
    }

    /// Returns a random number for a routing choice.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng.random()
    }

    /// Replaces the stage of a call by [`Stage::InTransition`] and returns the previous one.
    pub(crate) fn begin_transition(&mut self, key: CallKey) -> Option<Stage> {
        let active_call = self.active_calls.get_mut(key)?;
        Some(std::mem::replace(&mut active_call.stage, Stage::InTransition))
    }

    /// Returns the time at which a call was dispatched to the local upstream; `None` unless it is
    /// in progress there.
    pub(crate) fn dispatched_at(&self, key: CallKey) -> Option<Time> {
        match &self.active_calls.get(key)?.stage {
            Stage::Running(call) => Some(call.state().dispatched_at),
            _ => None,
        }
    }

    /// Removes a queued call from its stage; leaves a call in any other stage as it is.
    pub(crate) fn dequeue(&mut self, key: CallKey) -> Option<Call<crate::call::Admitted>> {
        match self.begin_transition(key)? {
            Stage::Queued(call) => Some(call),
            other => {
                self.active_calls[key].stage = other;
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
