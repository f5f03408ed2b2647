use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, EventKind, NodeName, RequestId, TargetName};
use entry::{ConfigVersion, TargetLoad};
use metrics::{counter, histogram};
use smol_str::SmolStr;

use crate::{GatewayCore, GenerationSize, PlaceHold};

/// Milliseconds in a second, as metrics count seconds.
const SECOND_MS: f64 = 1_000.0;

/// What decided the outcome of one call; written as one log line when the call ends.
pub struct CallAudit {
    core: Arc<GatewayCore>,
    arrived: ClockTime,
    /// Identifier that the caller gave.
    pub request: Option<RequestId>,
    /// Route that was taken.
    pub route: Option<SmolStr>,
    /// Configuration that decided.
    pub version: ConfigVersion,
    /// Targets to which the call was sent, in order.
    pub targets: Vec<TargetName>,
    /// Desk that chose the last target; `None` if this node did.
    pub desk: Option<SocketAddr>,
    /// Time until there was room on the first target.
    pub placed_ms: Option<u64>,
    /// Size of the generation as its caller states it.
    pub size: Option<GenerationSize>,
    /// Load that the call puts on a target.
    pub load: TargetLoad,
    /// Load of others on the last target when it was chosen.
    pub load_seen: TargetLoad,
    /// Time until the first byte of the answer.
    pub first_ms: Option<u64>,
    /// Events that were relayed.
    pub events: u32,
    /// Longest time between two events, in milliseconds.
    pub pause_ms: u64,
    last_event: Option<ClockTime>,
    /// Moves to other engines.
    pub moves: u32,
    status: u16,
    outcome: &'static str,
    reason: String,
}

impl CallAudit {
    /// Starts the audit of a call that has just arrived.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            arrived: core.now(),
            core,
            request: None,
            route: None,
            version: ConfigVersion::default(),
            targets: Vec::new(),
            desk: None,
            placed_ms: None,
            size: None,
            load: TargetLoad::default(),
            load_seen: TargetLoad::default(),
            first_ms: None,
            events: 0,
            pause_ms: 0,
            last_event: None,
            moves: 0,
            status: 0,
            outcome: "caller_gone",
            reason: String::new(),
        }
    }

    /// When the call arrived.
    pub fn arrived(&self) -> ClockTime {
        self.arrived
    }

    /// Milliseconds since the call arrived.
    pub fn elapsed(&self) -> u64 {
        self.core.now().since(self.arrived).as_millis()
    }

    /// Notes that the call has room on a target.
    pub fn note_target(&mut self, hold: &PlaceHold) {
        if self.placed_ms.is_none() {
            self.placed_ms = Some(self.elapsed());
        }
        self.desk = hold.desk;
        self.load = hold.load();
        self.load_seen = hold.load_seen;
        self.targets.push(hold.target.clone());
    }

    /// Notes the first byte of the answer.
    pub fn note_first(&mut self) {
        if self.first_ms.is_none() {
            self.first_ms = Some(self.elapsed());
        }
    }

    /// Notes an event of a stream.
    pub fn note_event(&mut self) {
        let now = self.core.now();
        if let Some(last) = self.last_event.replace(now) {
            self.pause_ms = self.pause_ms.max(now.since(last).as_millis());
        }
        self.events += 1;
    }

    /// Adds what explains the outcome.
    pub fn explain(&mut self, reason: impl AsRef<str>) {
        if !self.reason.is_empty() {
            self.reason.push_str("; ");
        }
        self.reason.push_str(reason.as_ref());
    }

    /// Notes how the call ended; without it, the caller went away.
    pub fn finish(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
    }

    /// Notes how a stream ended whose status was noted before.
    pub fn end_stream(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    fn event(&self) -> EventKind {
        match self.outcome {
            "answered" => EventKind::RequestFinished,
            "caller_gone" => EventKind::CallerGone,
            _ if self.targets.is_empty() => EventKind::RequestRefused,
            _ => EventKind::RequestFailed,
        }
    }

    fn count(&self) {
        let node = self.core.node().to_string();
        let route = self.route.as_deref().unwrap_or("none").to_owned();
        let labels = [("node", node), ("route", route)];
        counter!("gateway_calls_total", "node" => labels[0].1.clone(), "outcome" => self.outcome)
            .increment(1);
        histogram!("gateway_call_seconds", &labels).record(self.elapsed() as f64 / SECOND_MS);
        if let Some(first) = self.first_ms {
            histogram!("gateway_first_byte_seconds", &labels).record(first as f64 / SECOND_MS);
        }
    }
}

impl Drop for CallAudit {
    fn drop(&mut self) {
        self.count();
        let (age, lost) = self.core.with_state(|state, now| {
            let age = now.since(state.view.targets_at).as_millis();
            (age, state.view.guard.is_lost())
        });
        let targets: Vec<_> = self.targets.iter().map(TargetName::as_str).collect();
        let node: &NodeName = self.core.node();
        log::info!(
            event = self.event().number(),
            node = node.as_str(),
            request = self.request.as_ref().map_or("", RequestId::as_str),
            route = self.route.as_deref().unwrap_or(""),
            version = self.version.0,
            targets = targets.join(",").as_str(),
            desk = self.desk.map_or_else(String::new, |desk| desk.to_string()).as_str(),
            placed_ms = self.placed_ms.unwrap_or_default(),
            prompt = self.size.map_or(0, |size| size.prompt.0),
            output_limit = self.size.map_or(0, |size| size.output_limit.0),
            output_hint = self.size.and_then(|size| size.output_hint).map_or(0, |hint| hint.0),
            load_tokens = self.load.tokens,
            seen_calls = self.load_seen.calls,
            seen_tokens = self.load_seen.tokens,
            seen_prefill = self.load_seen.prefill,
            first_ms = self.first_ms.unwrap_or_default(),
            total_ms = self.elapsed(),
            events = self.events,
            pause_ms = self.pause_ms,
            moves = self.moves,
            status = self.status,
            outcome = self.outcome,
            view_age_ms = age,
            store_lost = lost;
            "{}", self.reason
        );
    }
}
