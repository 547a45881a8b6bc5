//! Hosted mode: routes requests by the site's configuration and follows the state of the local
//! upstream.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    call::{Idempotency, Refusal},
    engine::{
        Arrival, ConfigSource, Event, EventKind, Node, NodePhase, Origin, Output, UnroutedRequest,
        announcement::Announcement,
    },
    member::MemberState,
    names::RouteName,
    route::{Instance, InstanceState},
    site::{NestedRoutes, RankTable, SiteConfig, TrafficSplits},
    time::{Time, WallTime},
    upstream::{Deregistration, Heartbeat, HeartbeatError, UpstreamChange, UpstreamState},
};

/// State of a hosted node: the site's configuration, its routes and the local upstream.
#[derive(Debug)]
pub(crate) struct HostedState {
    /// Address of the local upstream; a heartbeat that states another one is refused.
    upstream_addr: SocketAddr,
    pub(super) upstream: UpstreamState,
    /// Time at which the registered upstream began to serve.
    pub(super) registered_at: Time,
    pub(super) announcement: Announcement,
    site: Option<Arc<SiteConfig>>,
    /// Ranks of the site's routes, computed once for each version of the configuration.
    ranks: RankTable,
    splits: TrafficSplits,
    nested_routes: NestedRoutes,
}

impl HostedState {
    fn new(upstream_addr: SocketAddr) -> Self {
        Self {
            upstream_addr,
            upstream: UpstreamState::default(),
            registered_at: Time::ZERO,
            announcement: Announcement::default(),
            site: None,
            ranks: RankTable::default(),
            splits: TrafficSplits::default(),
            nested_routes: NestedRoutes::default(),
        }
    }
}

impl Node {
    /// Switches the node to hosted mode: it routes requests by the site's configuration, and
    /// dispatches nothing until the upstream at `upstream` has sent a heartbeat.
    #[must_use]
    pub fn hosted(mut self, upstream: SocketAddr) -> Self {
        self.calls.set_hosted();
        self.hosted = Some(HostedState::new(upstream));
        self
    }

    /// The site's configuration in force; `None` before the first one, or if the node is not
    /// hosted.
    pub fn site_config(&self) -> Option<&Arc<SiteConfig>> {
        self.hosted.as_ref()?.site.as_ref()
    }

    /// State of the local upstream; `None` if the node is not hosted.
    pub fn upstream(&self) -> Option<&UpstreamState> {
        self.hosted.as_ref().map(|hosted| &hosted.upstream)
    }

    /// Finds the route of a request and handles the resulting call.
    pub(super) fn route_request(
        &mut self,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Output>,
        unrouted: UnroutedRequest,
    ) {
        let arrival = match self.resolve_route(now, &unrouted) {
            Ok(arrival) => arrival,
            Err(reason) => {
                let arrival = self.unrouted_arrival(now, unrouted);
                return self.with_calls(now, wall, out, |calls, cx| {
                    calls.refuse_on_arrival(cx, &arrival, reason);
                });
            }
        };
        self.with_calls(now, wall, out, |calls, cx| calls.handle_arrival(cx, arrival));
    }

    fn resolve_route(&mut self, now: Time, unrouted: &UnroutedRequest) -> Result<Arrival, Refusal> {
        if self.phase.is_closing() {
            return Err(Refusal::Draining);
        }
        let random = self.calls.random();
        let hosted = self.hosted.as_mut().ok_or(Refusal::Starting)?;
        let site = hosted.site.as_ref().ok_or(Refusal::Starting)?;
        let path = unrouted.payload.target.split('?').next().unwrap_or("/");
        let rule = site.routes.find(&unrouted.host, path).ok_or(Refusal::NoRoute)?;
        let service = hosted.splits.next_service(rule, random).ok_or(Refusal::NoInstance)?;
        // A request with the deadline of a call that the local upstream runs is taken as made for
        // that call. `NestedRoutes` averages this by route, and treats all requests of a route
        // alike.
        let has_parent =
            unrouted.deadline.map(|deadline| self.calls.has_running_call_until(deadline));
        let is_nested = hosted.nested_routes.observe(&rule.name, has_parent);
        let route_deadline = now + rule.timeout;
        let idempotency =
            if rule.is_idempotent { Idempotency::Idempotent } else { Idempotency::AtMostOnce };
        Ok(Arrival {
            reply_to: unrouted.reply_to,
            origin: Origin::Routed {
                max_attempts: rule.max_attempts,
                is_nested,
                caller: self.local_member.service.clone(),
            },
            service,
            request_id: unrouted.request_id,
            rank: hosted.ranks.rank_of(rule).cloned(),
            deadline: Some(
                unrouted.deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline)),
            ),
            idempotency,
            payload: unrouted.payload.clone(),
        })
    }

    /// Builds the arrival of a request that cannot be routed, only to refuse it. Its service and
    /// deadline are placeholders.
    fn unrouted_arrival(&self, now: Time, unrouted: UnroutedRequest) -> Arrival {
        Arrival {
            reply_to: unrouted.reply_to,
            origin: Origin::Routed {
                max_attempts: 1,
                is_nested: false,
                caller: self.local_member.service.clone(),
            },
            service: self.local_member.service.clone(),
            request_id: unrouted.request_id,
            rank: None,
            deadline: Some(now),
            idempotency: Idempotency::AtMostOnce,
            payload: unrouted.payload,
        }
    }

    /// Refuses all queued and new calls from now on, also requests of callers on this node's VM.
    ///
    /// Appends no draining record to the store: the nodes that call this one are notified directly,
    /// and a node that is started again while its upstream keeps running announces itself again.
    pub(super) fn close(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        self.phase.close();
        self.record_phase(out);
        self.announce_draining_to_peers(out);
        self.with_calls(now, wall, out, |calls, cx| calls.refuse_all_queued(cx));
    }

    /// Applies the operators' document if it is valid and newer than the one in force.
    pub(super) fn apply_site_document(
        &mut self,
        now: Time,
        document: &Bytes,
        source: ConfigSource,
        out: &mut Vec<Output>,
    ) {
        if self.site_config().is_some_and(|site| site.document == *document) {
            return;
        }
        let site = match self.policy_source.decode_site(document) {
            Ok(site) => site,
            Err(reason) => {
                return record_event(
                    out,
                    EventKind::SiteDocumentRefused { reason: reason.to_string() },
                );
            }
        };
        if self.site_config().is_some_and(|known| known.version >= site.version) {
            return;
        }
        let bounds = self.calls.policy().bounds.clone();
        let policy = match site.policy(bounds) {
            Ok(policy) => policy,
            Err(err) => {
                return record_event(
                    out,
                    EventKind::SiteDocumentRefused { reason: err.to_string() },
                );
            }
        };
        self.calls.set_policy(now, Arc::new(policy));
        self.cluster.set_site_version(site.version.0);
        record_event(out, EventKind::ConfigInForce { version: site.version.0, source });
        out.push(Output::CallerLimits(site.limits));
        if let Some(hosted) = &mut self.hosted {
            let is_kept = |name: &RouteName| site.routes.rules().any(|rule| rule.name == *name);
            hosted.splits.retain(is_kept);
            hosted.nested_routes.retain(is_kept);
            hosted.ranks = site.ranks();
            hosted.site = Some(Arc::new(site));
        }
        if matches!(self.phase, NodePhase::Starting(_)) {
            self.phase.serve();
            self.record_phase(out);
        }
    }

    /// Applies a heartbeat of the local upstream. Its content is in force once this returns.
    pub fn handle_heartbeat(
        &mut self,
        now: Time,
        wall: WallTime,
        heartbeat: &Heartbeat,
        out: &mut Vec<Output>,
    ) -> Result<(), HeartbeatError> {
        let service = self.local_member.service.clone();
        let Some(hosted) = &mut self.hosted else { return Ok(()) };
        let change = hosted.upstream.apply_heartbeat(heartbeat, &service, hosted.upstream_addr)?;
        self.handle_upstream_change(now, wall, change, out);
        Ok(())
    }

    /// Applies the message that the local upstream is about to exit.
    pub fn handle_deregistration(
        &mut self,
        now: Time,
        wall: WallTime,
        deregistration: &Deregistration,
        out: &mut Vec<Output>,
    ) {
        let Some(hosted) = &mut self.hosted else { return };
        let change = hosted.upstream.apply_deregistration(deregistration, wall);
        self.handle_upstream_change(now, wall, change, out);
    }

    pub(super) fn handle_upstream_change(
        &mut self,
        now: Time,
        wall: WallTime,
        change: UpstreamChange,
        out: &mut Vec<Output>,
    ) {
        let Some(hosted) = &self.hosted else { return };
        let instance = hosted.upstream.ready().map(|ready| ready.instance().clone());
        let state = hosted.upstream.label();
        match change {
            UpstreamChange::Unchanged => return self.announce_left(out),
            UpstreamChange::StartedServing => self.open_upstream(now, wall, out),
            UpstreamChange::StoppedServing => {
                self.calls.set_upstream_state(Err(Refusal::Draining));
                self.calls.upstream_incarnation = hosted.upstream.incarnation().cloned();
                self.with_calls(now, wall, out, |calls, cx| calls.refuse_all_queued(cx));
                self.announce_state(MemberState::Draining, out);
            }
        }
        record_event(out, EventKind::UpstreamChanged { instance, state });
    }

    fn open_upstream(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        let Some(hosted) = &mut self.hosted else { return };
        let Some(ready) = hosted.upstream.ready() else { return };
        let incarnation = ready.incarnation().clone();
        hosted.registered_at = now;
        let (instance_name, slots, started_at) =
            (ready.instance().clone(), ready.slots(), ready.started_at());
        self.calls.begin_incarnation(now, incarnation);
        // Other nodes see each start of the upstream as a new incarnation, also while the node
        // itself keeps running.
        self.local_member.incarnation =
            (self.local_member.incarnation + 1).max(started_at.as_millis());
        self.calls.local_member.incarnation = self.local_member.incarnation;
        self.calls.set_upstream_state(Ok((instance_name, slots)));
        let instance = Instance::new(
            now,
            self.local_member.vm.clone(),
            self.local_member.zone.clone(),
            self.local_member.addr,
            self.local_member.incarnation,
            self.calls.policy().ranks.len(),
        );
        let service = self.local_member.service.clone();
        self.calls.router_mut().set_local_instance(&service, instance);
        if !self.phase.is_draining() {
            self.announce_state(MemberState::Serving, out);
        }
        // Ending the interval dispatches queued calls to the slots that have just become available.
        self.with_calls(now, wall, out, |calls, cx| calls.end_interval(cx));
    }

    /// Announces the state of the local upstream to the other nodes through the store.
    pub(super) fn announce_state(&mut self, state: MemberState, out: &mut Vec<Output>) {
        if state == MemberState::Draining
            && let Some(instance) = self.calls.router().local_instance()
        {
            self.calls.router_mut().mark_draining(instance);
        }
        let mut record = self.calls.local_record();
        record.state = state;
        if let Some(hosted) = &mut self.hosted {
            record.upstream = hosted.upstream.incarnation().cloned();
            hosted.announcement.record_appended(&record);
        }
        out.push(Output::AppendMember(record));
    }

    /// Sets this node's part of the retries that the site allows at once (`Bounds::retry_burst`):
    /// the total divided by the number of known instances of all services.
    pub(super) fn divide_retries(&mut self) {
        if self.hosted.is_some() {
            let nodes = self.calls.router().len().max(1);
            self.calls.divide_retries(nodes);
        }
    }

    /// Converts the state in a member record to that of an instance in the router.
    pub(super) fn instance_state_of(state: MemberState) -> InstanceState {
        match state {
            MemberState::Serving => InstanceState::Serving,
            MemberState::Draining => InstanceState::Draining,
        }
    }
}

fn record_event(out: &mut Vec<Output>, kind: EventKind) {
    out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
}
