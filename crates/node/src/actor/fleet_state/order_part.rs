use std::net::SocketAddr;

use base::{ByteRate, ClockTime, TargetName, TimeSpan};
use orders::{
    ActualState, LoadState, LoadedVersion, OrderAction, OrderOutcome, ReconcilerAction, TargetOrder,
};

use super::fleet_actor::FleetActor;
use super::fleet_message::OrderAnswered;
use crate::{EngineFault, EngineHealth, EngineOrder, PeerBody};

/// Time between two ticks of the order board.
const BOARD_PERIOD: TimeSpan = TimeSpan::new(250);
/// Time between two messages to other domains about failed versions.
const FAILURE_PERIOD: TimeSpan = TimeSpan::from_secs(10);
/// Status of an engine that refuses an order with an old fencing number.
const CONFLICT: u16 = 409;
/// How engines begin the reason of a load that failed for lack of memory.
const MEMORY_FULL: &str = "memory full";

impl FleetActor {
    /// Lets the order board decide what the targets need.
    pub(super) fn tick_board(&mut self) {
        let now = self.now();
        if now < self.next_board {
            return;
        }
        self.next_board = now + BOARD_PERIOD;
        let live = self.member.live_nodes(&self.parts.identity.domain);
        self.board.on_live_nodes(now, live);
        for action in self.board.on_tick(now) {
            self.carry_out_board(action);
        }
        self.tell_failures(now);
    }

    /// Tells other domains of failed versions, so that a rollout stops there as well.
    fn tell_failures(&mut self, now: ClockTime) {
        let summaries = self.board.summaries();
        if now < self.next_failures || summaries.is_empty() {
            return;
        }
        self.next_failures = now + FAILURE_PERIOD;
        let own = self.parts.identity.clone();
        if !self.member.bridges(&own.domain).contains(&own.node) {
            return;
        }
        for (domain, reachable) in self.member.domains() {
            if domain == own.domain || !reachable {
                continue;
            }
            for node in self.member.live_nodes(&domain) {
                self.learn_address(&node);
                let body = PeerBody::Failures(summaries.clone());
                self.parts.peers.tell(node, body);
            }
        }
    }

    /// Tells the board what a probe found.
    pub(super) fn observe_actual(
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
        self.board.on_actual_state(actual);
    }

    fn carry_out_board(&mut self, action: ReconcilerAction) {
        match action {
            ReconcilerAction::Probe(target) => self.start_probe(target),
            ReconcilerAction::Order(order) => self.send_order(order),
            ReconcilerAction::Send { to, message } => {
                self.learn_address(&to);
                self.parts
                    .peers
                    .tell(to, PeerBody::Order(Box::new(message)));
            }
            ReconcilerAction::Log { kind, detail } => self.note(kind, detail),
        }
    }

    fn send_order(&mut self, order: TargetOrder) {
        let now = self.now();
        let address = self.parts.view.get().address(&order.target);
        let Some(address) = address.filter(|_| self.board.may_send(now, &order)) else {
            self.board.on_outcome(now, &order, &OrderOutcome::NotSent);
            return;
        };
        let engine = self.parts.engine.clone();
        self.spawn_for(async move {
            let outcome = give_order(&*engine, address, &order).await;
            OrderAnswered { order, outcome }
        });
    }
}

async fn give_order(
    engine: &dyn crate::EngineClient,
    address: SocketAddr,
    order: &TargetOrder,
) -> OrderOutcome {
    match engine.order(address, engine_order(order)).await {
        Ok(()) => OrderOutcome::Accepted,
        Err(EngineFault::Failed {
            status: CONFLICT, ..
        }) => OrderOutcome::Refused(None),
        Err(EngineFault::Refused | EngineFault::Unsent { .. }) => OrderOutcome::NotSent,
        Err(EngineFault::Failed { status, body }) => {
            let text = String::from_utf8_lossy(&body);
            OrderOutcome::Failed(format!("status {status}: {text}").into())
        }
        Err(_) => OrderOutcome::Unknown,
    }
}

fn engine_order(order: &TargetOrder) -> EngineOrder {
    let mut sent = EngineOrder {
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
            sent.model = Some(model.clone());
            sent.version = Some(version.clone());
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
            sent.model = Some(model.clone());
            sent.version = Some(version.clone());
            sent.adapter = Some(adapter.clone());
        }
        OrderAction::SetRole { role } => sent.role = Some(*role),
    }
    sent
}

fn load_state(ready: bool, failure: Option<&str>) -> LoadState {
    match (ready, failure) {
        (true, _) => LoadState::Ready,
        (false, None) => LoadState::Loading,
        (false, Some(reason)) if reason.starts_with(MEMORY_FULL) => LoadState::memory_full(reason),
        (false, Some(reason)) => LoadState::failed(reason),
    }
}
