use std::time::Duration;

use base::{ClockTime, ServiceName, TimeSpan, TokenCount, WorkspaceName};
use bytes::Bytes;
use entry::{
    BodyLease, CallFeatures, ConfigVersion, EngineSpec, PaceNeed, PlacementRequest, PlacementScope,
    RepeatPolicy, RouteRule, TargetLoad, WorkspaceIdentity, prefill_time,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, header};
use tokio::time::Instant;

use crate::coordinator::CapacityRequest;
use crate::state::CallTimes;
use crate::{CallerHeaders, GatewayCore};

/// Hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Time that an engine takes for one output token while it also serves other calls.
const OUTPUT_TOKEN_TIME: TimeSpan = TimeSpan::new(12);

/// Time that a generation takes until its first event beside reading the prompt: until the engine
/// begins with the prompt, and until the first event is made and relayed.
const FIRST_EVENT_DELAY: TimeSpan = TimeSpan::new(450);

/// A call that was read, matched to its route and admitted by its key.
pub struct AdmittedCall {
    /// Method of the request.
    pub method: Method,
    /// Host of the request, in lower case and without its port.
    pub host: String,
    /// Version of the configuration by which the call was admitted.
    pub config_version: ConfigVersion,
    /// Path and query as the caller sent them.
    pub path_and_query: PathAndQuery,
    /// Headers of the request without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whole body of the request.
    pub body: Bytes,
    /// Memory that the body takes, held as long as the call.
    pub _body_lease: BodyLease,
    /// Values read from the headers.
    pub caller_headers: CallerHeaders,
    /// Route that matches the call.
    pub route: RouteRule,
    /// Service that was chosen from the route.
    pub service: ServiceName,
    /// Capacity of the service's engines; `None` if its targets are instances of a plain service.
    pub engine: Option<EngineSpec>,
    /// Workspace of the caller, if its key belongs to one.
    pub workspace: Option<WorkspaceIdentity>,
    /// Scheduling priority; 0 is served first.
    pub priority: u8,
    /// When the call arrived.
    pub arrived_at: ClockTime,
    /// When the call times out: at the deadline of the caller or of the route, whichever is first.
    pub deadline: ClockTime,
    /// Features that can be blamed for crashes: the whole request, a hash of path, key and body, and the
    /// parts of its prompt.
    pub features: CallFeatures,
}

impl AdmittedCall {
    /// Time left until the deadline.
    pub fn remaining(&self, now: ClockTime) -> TimeSpan {
        self.deadline.since(now)
    }

    /// Deadline as an instant of the timer clock.
    pub fn deadline_instant(&self, now: ClockTime) -> Instant {
        Instant::now() + Duration::from(self.remaining(now))
    }

    /// How long the call may take if it begins now. The caller of an idempotent call can repeat it, so
    /// that its latency target is enough; others may run until their deadline.
    pub fn times(&self, now: ClockTime) -> CallTimes {
        match self.route.repeat {
            RepeatPolicy::Idempotent => {
                let span = self.route.latency_target.min(self.route.timeout);
                CallTimes::new(now + span)
            }
            RepeatPolicy::AtMostOnce => CallTimes::new(self.deadline),
            RepeatPolicy::Stream => CallTimes::new(self.deadline).with_likely(self.stream_time()),
        }
    }

    /// Time that the whole stream takes if it begins on time.
    fn stream_time(&self) -> TimeSpan {
        let latency = self.route.latency_target;
        let size = self.caller_headers.generation;
        let Some(size) = size.filter(|_| self.engine.is_some()) else {
            return latency;
        };
        // By the output limit, as the caller's estimate of the output is often far off.
        latency + OUTPUT_TOKEN_TIME * u64::from(size.output_limit.0)
    }

    /// Whether the output is expected to be short; plain calls always count as short.
    pub fn is_quick(&self) -> bool {
        let size = self
            .caller_headers
            .generation
            .filter(|_| self.engine.is_some());
        size.is_none_or(|size| size.output_estimate().is_quick())
    }

    /// Time from arrival within which the call has to get capacity to meet the latency target of
    /// its route.
    pub fn start_within(&self) -> TimeSpan {
        let target = self.route.latency_target;
        let Some(size) = self
            .caller_headers
            .generation
            .filter(|_| self.engine.is_some())
        else {
            return target;
        };
        let prefill = prefill_time(u64::from(size.prompt.0));
        target.saturating_sub(prefill + FIRST_EVENT_DELAY)
    }

    /// Load that the call puts on a target.
    pub fn load(&self) -> TargetLoad {
        let Some(size) = self
            .caller_headers
            .generation
            .filter(|_| self.engine.is_some())
        else {
            return TargetLoad {
                calls: 1,
                ..TargetLoad::default()
            };
        };
        TargetLoad {
            calls: 1,
            tokens: u64::from(size.prompt.0) + size.output_estimate().mean_held(),
            prefill: u64::from(size.prompt.0),
            incoming: 0,
        }
    }

    /// What the call requires of the pace of its engine after `events` of its events were relayed;
    /// `None` if its route has no pause limit.
    pub fn pace_need(&self, events: u32) -> Option<PaceNeed> {
        let pause_limit = self.route.pause_limit?;
        let (spec, size) = (self.engine?, self.caller_headers.generation?);
        let per_event = spec.event_tokens.max(1);
        let produced = TokenCount(events.saturating_mul(per_event));
        let expected = size.output_estimate().with_progress(produced).expected();
        let left = expected.0.saturating_sub(produced.0);
        Some(PaceNeed {
            pause_limit,
            latency_target: self.route.latency_target,
            events_left: left.div_ceil(per_event),
            start_by: self.arrived_at + self.start_within(),
        })
    }

    /// Request for capacity on a target that waits for at most `max_wait`.
    pub fn capacity_request(
        &self,
        placement: PlacementRequest,
        max_wait: TimeSpan,
    ) -> CapacityRequest {
        CapacityRequest {
            placement,
            priority: self.priority,
            arrived: self.arrived_at,
            start_within: self.start_within(),
            max_wait,
        }
    }

    /// Name of the caller's workspace within the fleet.
    pub fn workspace_name(&self) -> Option<WorkspaceName> {
        let identity = self.workspace.as_ref()?;
        Some(identity.name.clone())
    }

    /// Requirements on a target. A call that is suspected of crashing targets excludes those that
    /// run another suspect call.
    pub fn placement_request(&self, core: &GatewayCore) -> PlacementRequest {
        PlacementRequest {
            service: self.service.clone(),
            engine: self.engine,
            load: self.load(),
            is_quick: self.is_quick(),
            excluded: core.with_state(|state, now| {
                let verdict = state.facts.verdict(now, &self.features);
                match verdict.is_suspect(&self.features) {
                    true => state
                        .suspects
                        .occupied_targets(now, self.features.request()),
                    false => Vec::new(),
                }
            }),
            move_source: None,
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
            pace: self.pace_need(0),
            workspace: self.workspace_name(),
        }
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Host of a request in lower case and without its port; empty if there is none.
pub fn host_of(headers: &HeaderMap) -> String {
    let value = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = value.unwrap_or_default();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
