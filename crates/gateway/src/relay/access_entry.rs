use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, EventKind, NodeName, PartId, RequestId, TargetName};
use entry::{ConfigVersion, TargetLoad, TargetPace, WaitEstimate};
use metrics::{counter, histogram};
use smol_str::SmolStr;

use crate::forward::CallOrigin;
use crate::{CapacityReservation, GatewayCore, GenerationSize, PlacementRefusal};

/// Milliseconds in a second; metrics count in seconds.
const SECOND_MS: f64 = 1_000.0;

/// Largest number of prompt parts that a log line names.
const LOGGED_PARTS: usize = 8;

/// Access log entry of one call: collects what decided its outcome, and writes one log line and the
/// call metrics when it is dropped at the end of the call.
pub struct AccessEntry {
    core: Arc<GatewayCore>,
    arrived_at: ClockTime,
    /// Identifier of the request, as the caller gave it.
    pub request_id: Option<RequestId>,
    /// Name of the matched route.
    pub route: Option<SmolStr>,
    /// Version of the configuration by which the call was admitted.
    pub config_version: ConfigVersion,
    /// Targets on which the call got capacity, in order.
    pub targets: Vec<TargetName>,
    /// Coordinator that chose the last target; `None` if this node did.
    pub coordinator: Option<SocketAddr>,
    /// Peer to which the call was forwarded.
    pub forwarded_to: Option<SocketAddr>,
    /// Whether a peer forwarded the call to this node.
    pub is_forwarded: bool,
    /// Milliseconds from arrival until there was capacity on the first target.
    pub placed_ms: Option<u64>,
    /// Size of the generation as stated by the caller.
    pub size: Option<GenerationSize>,
    /// Parts of the prompt that other calls may share.
    pub shared_parts: Vec<PartId>,
    /// Load that the call puts on its last target.
    pub load: TargetLoad,
    /// Load of other calls on the last target when it was chosen.
    pub load_seen: TargetLoad,
    /// Pace of the last target when it was chosen, as known to this node.
    pub pace: TargetPace,
    /// Milliseconds from arrival until the first byte of the response.
    pub first_byte_ms: Option<u64>,
    /// Number of stream events relayed.
    pub events: u32,
    /// Longest time between two consecutive events, in milliseconds.
    pub longest_pause_ms: u64,
    last_event_at: Option<ClockTime>,
    /// Number of moves to other engines.
    pub moves: u32,
    /// Estimate of the wait because of which the call was refused.
    pub refused_by: Option<WaitEstimate>,
    status: u16,
    outcome: &'static str,
    reason: String,
}

impl AccessEntry {
    /// Starts the entry of a call that has just arrived; the outcome is `caller_gone` until another
    /// one is set.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            arrived_at: core.now(),
            core,
            request_id: None,
            route: None,
            config_version: ConfigVersion::default(),
            targets: Vec::new(),
            coordinator: None,
            forwarded_to: None,
            is_forwarded: false,
            placed_ms: None,
            size: None,
            shared_parts: Vec::new(),
            load: TargetLoad::default(),
            load_seen: TargetLoad::default(),
            pace: TargetPace::default(),
            first_byte_ms: None,
            events: 0,
            longest_pause_ms: 0,
            last_event_at: None,
            moves: 0,
            refused_by: None,
            status: 0,
            outcome: "caller_gone",
            reason: String::new(),
        }
    }

    /// Returns the entry of a call from there; one that was forwarded arrived at the first node.
    #[must_use]
    pub fn with_origin(mut self, origin: &CallOrigin) -> Self {
        if let Some(ticket) = origin.ticket() {
            self.is_forwarded = true;
            self.arrived_at = self.arrived_at.saturating_sub(ticket.waited);
        }
        self
    }

    /// When the call arrived.
    pub fn arrived_at(&self) -> ClockTime {
        self.arrived_at
    }

    /// Milliseconds since the call arrived.
    pub fn elapsed_ms(&self) -> u64 {
        self.core.now().since(self.arrived_at).as_millis()
    }

    /// Records that the call got capacity on a target.
    pub fn record_target(&mut self, reservation: &CapacityReservation) {
        if self.placed_ms.is_none() {
            self.placed_ms = Some(self.elapsed_ms());
        }
        self.coordinator = reservation.coordinator;
        self.load = reservation.load();
        self.load_seen = reservation.other_load;
        self.pace = reservation.pace;
        self.targets.push(reservation.target.clone());
    }

    /// Records why the call got no capacity.
    pub fn record_refusal(&mut self, refusal: PlacementRefusal) {
        self.refused_by = refusal.estimate();
        if self.refused_by.is_some() {
            self.add_reason("expected to wait for too long");
        }
    }

    /// Records the arrival of the first byte of the response; later calls have no effect.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_ms.is_none() {
            self.first_byte_ms = Some(self.elapsed_ms());
        }
    }

    /// Records one relayed event of a stream.
    pub fn record_event(&mut self) {
        let now = self.core.now();
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_pause_ms = self.longest_pause_ms.max(now.since(last).as_millis());
        }
        self.events += 1;
    }

    /// Appends a reason for the outcome to the message of the log line.
    pub fn add_reason(&mut self, reason: impl AsRef<str>) {
        if !self.reason.is_empty() {
            self.reason.push_str("; ");
        }
        self.reason.push_str(reason.as_ref());
    }

    /// Sets the status sent to the caller and the outcome.
    pub fn set_outcome(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
    }

    /// Sets the outcome of a stream whose status was set before.
    pub fn set_stream_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    fn event_kind(&self) -> EventKind {
        match self.outcome {
            "answered" => EventKind::RequestFinished,
            "caller_gone" => EventKind::CallerGone,
            _ if self.targets.is_empty() => EventKind::RequestRefused,
            _ => EventKind::RequestFailed,
        }
    }

    fn record_metrics(&self) {
        let node = self.core.node().to_string();
        let route = self.route.as_deref().unwrap_or("none").to_owned();
        let labels = [("node", node), ("route", route)];
        counter!("gateway_calls_total", "node" => labels[0].1.clone(), "outcome" => self.outcome)
            .increment(1);
        histogram!("gateway_call_seconds", &labels).record(self.elapsed_ms() as f64 / SECOND_MS);
        if let Some(first) = self.first_byte_ms {
            histogram!("gateway_first_byte_seconds", &labels).record(first as f64 / SECOND_MS);
        }
    }
}

impl Drop for AccessEntry {
    fn drop(&mut self) {
        self.record_metrics();
        let (view_age_ms, is_store_lost, newest) = self.core.with_state(|state, now| {
            let view_age_ms = now.since(state.view.targets_at).as_millis();
            let newest = state.view.config_lag.newest().max(state.view.version());
            (view_age_ms, state.view.guard.is_store_lost(), newest)
        });
        let targets: Vec<_> = self.targets.iter().map(TargetName::as_str).collect();
        let node: &NodeName = self.core.node();
        log::info!(
            event = self.event_kind().number(),
            node = node.as_str(),
            request = self.request_id.as_ref().map_or("", RequestId::as_str),
            route = self.route.as_deref().unwrap_or(""),
            version = self.config_version.0,
            newest_version = newest.0,
            targets = targets.join(",").as_str(),
            desk = self.coordinator.map_or_else(String::new, |at| at.to_string()).as_str(),
            forwarded = self.is_forwarded,
            forwarded_to = self.forwarded_to.map_or_else(String::new, |at| at.to_string()).as_str(),
            placed_ms = self.placed_ms.unwrap_or_default(),
            prompt = self.size.map_or(0, |size| size.prompt.0),
            output_limit = self.size.map_or(0, |size| size.output_limit.0),
            output_hint = self.size.and_then(|size| size.output_hint).map_or(0, |hint| hint.0),
            parts = join_parts(&self.shared_parts).as_str(),
            load_tokens = self.load.tokens,
            seen_calls = self.load_seen.calls,
            seen_tokens = self.load_seen.tokens,
            seen_prefill = self.load_seen.prefill,
            pace = self.pace.ratio,
            late_share = self.pace.late_share,
            first_ms = self.first_byte_ms.unwrap_or_default(),
            total_ms = self.elapsed_ms(),
            events = self.events,
            pause_ms = self.longest_pause_ms,
            moves = self.moves,
            queue_ahead = self.refused_by.map_or(0, |estimate| estimate.ahead),
            queue_rate = self.refused_by.map_or_else(String::new, |estimate| estimate.rate.to_string()).as_str(),
            queue_wait_ms = self.refused_by.map_or(0, |estimate| estimate.wait.as_millis()),
            status = self.status,
            outcome = self.outcome,
            view_age_ms = view_age_ms,
            store_lost = is_store_lost;
            "{}", self.reason
        );
    }
}

/// The first parts of a prompt, separated by commas.
fn join_parts(parts: &[PartId]) -> String {
    let shown: Vec<_> = parts
        .iter()
        .take(LOGGED_PARTS)
        .map(PartId::as_str)
        .collect();
    shown.join(",")
}
