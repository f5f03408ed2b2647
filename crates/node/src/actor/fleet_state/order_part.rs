use std::net::SocketAddr;

use base::{ByteRate, ClockTime, TargetName, TimeSpan};
use orders::{
    ActualState, LoadState, LoadedVersion, OrderAction, OrderOutcome, ReconcilerAction, TargetOrder,
};

use super::fleet_actor::FleetActor;
use super::fleet_message::OrderCompleted;
use crate::{EngineError, EngineHealth, EngineOrder, PeerMessage};

/// Time between two ticks of the reconciler.
const RECONCILER_PERIOD: TimeSpan = TimeSpan::new(250);
/// Time between two reports to other domains about failed versions.
const FAILURE_PERIOD: TimeSpan = TimeSpan::from_secs(10);
/// HTTP status with which an engine refuses an order that has an old fencing number.
const CONFLICT_STATUS: u16 = 409;
/// Prefix of the failure reason that engines give for a load that lacked memory.
const MEMORY_FULL_PREFIX: &str = "memory full";

impl FleetActor {
    /// Runs the reconciler, which decides on the orders to targets, and executes its actions.
    pub(super) fn tick_reconciler(&mut self) {
        let now = self.now();
        if now < self.next_reconciler_tick {
            return;
        }
        self.next_reconciler_tick = now + RECONCILER_PERIOD;
        let live = self.membership.live_nodes(&self.parts.identity.domain);
        self.reconciler.on_live_nodes(now, live);
        for action in self.reconciler.on_tick(now) {
            self.execute_reconciler_action(action);
        }
        self.send_failures(now);
    }

    /// Reports failed versions to the other domains, so that a rollout stops there as well. Only
    /// the bridge nodes of the domain send them.
    fn send_failures(&mut self, now: ClockTime) {
        let summaries = self.reconciler.summaries();
        if now < self.next_failures_at || summaries.is_empty() {
            return;
        }
        self.next_failures_at = now + FAILURE_PERIOD;
        let own = self.parts.identity.clone();
        if !self.membership.bridges(&own.domain).contains(&own.node) {
            return;
        }
        for (domain, reachable) in self.membership.domains() {
            if domain == own.domain || !reachable {
                continue;
            }
            for node in self.membership.live_nodes(&domain) {
                self.update_address_book(&node);
                let body = PeerMessage::Failures(summaries.clone());
                self.parts.peers.tell(node, body);
            }
        }
    }

    /// Reports the actual state of a target, as read by a probe, to the reconciler.
    pub(super) fn report_actual_state(
        &mut self,
        target: &TargetName,
        health: &EngineHealth,
        observed_at: ClockTime,
    ) {
        let mut actual = ActualState::new(target.clone(), health.incarnation, observed_at);
        actual.leaving = health.leaving;
        actual.role = health.role;
        actual.fencing = health.fencing.as_ref().and_then(|text| text.parse().ok());
        for loaded in &health.loaded {
            let state = load_state(loaded.ready, loaded.failure.as_deref());
            let (model, version) = (loaded.model.clone(), loaded.version.clone());
            let mut entry = LoadedVersion::new(model, version, state);
            entry.adapters.clone_from(&loaded.adapters);
            entry.load_rate = loaded.load_rate.map(ByteRate);
            actual = actual.with_version(entry);
        }
        self.reconciler.on_actual_state(actual);
    }

    fn execute_reconciler_action(&mut self, action: ReconcilerAction) {
        match action {
            ReconcilerAction::Probe(target) => self.start_probe(target),
            ReconcilerAction::Order(order) => self.send_order(order),
            ReconcilerAction::Send { to, message } => {
                self.update_address_book(&to);
                self.parts
                    .peers
                    .tell(to, PeerMessage::Order(Box::new(message)));
            }
            ReconcilerAction::Log { kind, detail } => self.record_event(kind, detail),
        }
    }

    /// Sends an order to its target, unless the reconciler no longer allows it or the address is
    /// unknown.
    fn send_order(&mut self, order: TargetOrder) {
        let now = self.now();
        let address = self.parts.view.get().target_address(&order.target);
        let Some(address) = address.filter(|_| self.reconciler.may_send(now, &order)) else {
            self.reconciler
                .on_outcome(now, &order, &OrderOutcome::NotSent);
            return;
        };
        let engine = self.parts.engine.clone();
        self.spawn_and_report(async move {
            let outcome = send_to_engine(&*engine, address, &order).await;
            OrderCompleted { order, outcome }
        });
    }
}

/// Sends an order to an engine and maps the response to an outcome.
async fn send_to_engine(
    engine: &dyn crate::EngineClient,
    address: SocketAddr,
    order: &TargetOrder,
) -> OrderOutcome {
    match engine.order(address, engine_order(order)).await {
        Ok(()) => OrderOutcome::Accepted,
        Err(EngineError::ErrorResponse {
            status: CONFLICT_STATUS,
            ..
        }) => OrderOutcome::Refused(None),
        Err(EngineError::Refused | EngineError::Unsent { .. }) => OrderOutcome::NotSent,
        Err(EngineError::ErrorResponse { status, body }) => {
            let text = String::from_utf8_lossy(&body);
            OrderOutcome::Failed(format!("status {status}: {text}").into())
        }
        Err(_) => OrderOutcome::Unknown,
    }
}

fn engine_order(order: &TargetOrder) -> EngineOrder {
    let mut body = EngineOrder {
        fencing: order.fencing.to_string(),
        action: order.action.name().to_owned(),
        model: None,
        version: None,
        adapter: None,
        role: None,
        rate: order.rate.map(|rate| rate.0),
    };
    match &order.action {
        OrderAction::Load { model, version } | OrderAction::Unload { model, version } => {
            body.model = Some(model.clone());
            body.version = Some(version.clone());
        }
        OrderAction::LoadAdapter {
            model,
            version,
            adapter,
        }
        | OrderAction::UnloadAdapter {
            model,
            version,
            adapter,
        } => {
            body.model = Some(model.clone());
            body.version = Some(version.clone());
            body.adapter = Some(adapter.clone());
        }
        OrderAction::SetRole { role } => body.role = Some(*role),
    }
    body
}

fn load_state(ready: bool, failure: Option<&str>) -> LoadState {
    match (ready, failure) {
        (true, _) => LoadState::Ready,
        (false, None) => LoadState::Loading,
        (false, Some(reason)) if reason.starts_with(MEMORY_FULL_PREFIX) => {
            LoadState::memory_full(reason)
        }
        (false, Some(reason)) => LoadState::failed(reason),
    }
}
