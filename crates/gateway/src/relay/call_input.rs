use std::time::Duration;

use base::{ClockTime, ServiceName, TimeSpan, WorkspaceName};
use bytes::Bytes;
use calls::{CrashPrint, CrashVerdict};
use entry::{
    ConfigVersion, EngineSpec, PlacementRequest, PlacementScope, RouteRule, TargetLoad,
    prefill_time,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, header};
use tokio::time::Instant;

use crate::desk::RoomWish;
use crate::{CallHead, GatewayCore};

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 9] = [
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

/// Time of an engine for one output token beside others.
const TOKEN_TIME: TimeSpan = TimeSpan::new(12);

/// Time until an engine begins with a prompt, and until its first event is made and relayed.
const ENGINE_DELAY: TimeSpan = TimeSpan::new(450);

/// A call that was read, matched with its route and admitted by key.
pub struct CallInput {
    /// Method of the request.
    pub method: Method,
    /// Host that the caller named, in lower case and without its port.
    pub host: String,
    /// Configuration by which the call was admitted.
    pub version: ConfigVersion,
    /// Path and query as the caller sent them.
    pub target: PathAndQuery,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the headers say.
    pub head: CallHead,
    /// Route of the call.
    pub route: RouteRule,
    /// Service that takes it.
    pub service: ServiceName,
    /// Sizes of its engines, if its targets are engines.
    pub engine: Option<EngineSpec>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When the call arrived.
    pub arrived: ClockTime,
    /// When the caller or the route gives up.
    pub deadline: ClockTime,
    /// Fingerprint of what the call makes a target do.
    pub print: CrashPrint,
}

impl CallInput {
    /// Time left until the deadline.
    pub fn remaining(&self, now: ClockTime) -> TimeSpan {
        self.deadline.since(now)
    }

    /// Deadline on the clock of timers.
    pub fn deadline_instant(&self, now: ClockTime) -> Instant {
        Instant::now() + Duration::from(self.remaining(now))
    }

    /// Longest time that the call is expected to take.
    pub fn expected_time(&self) -> TimeSpan {
        let latency = self.route.latency_target;
        let Some(size) = self.head.generation.filter(|_| self.engine.is_some()) else {
            return latency.min(self.route.timeout);
        };
        // The caller's estimate is often far off.
        let output = TOKEN_TIME * u64::from(size.output_limit.0);
        (latency + output).min(self.route.timeout)
    }

    /// Whether the output is short.
    pub fn is_quick(&self) -> bool {
        let size = self.head.generation.filter(|_| self.engine.is_some());
        size.is_none_or(|size| size.guess().is_quick())
    }

    /// Time after the arrival within which the call has to be placed to be on time.
    pub fn start_within(&self) -> TimeSpan {
        let target = self.route.latency_target;
        let Some(size) = self.head.generation.filter(|_| self.engine.is_some()) else {
            return target;
        };
        let reading = prefill_time(u64::from(size.prompt.0));
        target.saturating_sub(reading + ENGINE_DELAY)
    }

    /// Load that the call puts on a target.
    pub fn load(&self) -> TargetLoad {
        let Some(size) = self.head.generation.filter(|_| self.engine.is_some()) else {
            return TargetLoad {
                calls: 1,
                ..TargetLoad::default()
            };
        };
        TargetLoad {
            calls: 1,
            tokens: u64::from(size.prompt.0) + size.guess().mean_held(),
            prefill: u64::from(size.prompt.0),
            incoming: 0,
        }
    }

    /// The call as one that waits for room for at most `patience`.
    pub fn wish(&self, need: PlacementRequest, patience: TimeSpan) -> RoomWish {
        RoomWish {
            need,
            priority: self.priority,
            arrived: self.arrived,
            start_within: self.start_within(),
            patience,
        }
    }

    /// What the call needs of a target; targets where it must not run are excluded.
    pub fn need(&self, core: &GatewayCore) -> PlacementRequest {
        PlacementRequest {
            service: self.service.clone(),
            engine: self.engine,
            load: self.load(),
            is_quick: self.is_quick(),
            excluded: core.with_state(|state, now| match state.facts.judge(now, self.print) {
                CrashVerdict::Free => Vec::new(),
                CrashVerdict::Isolated | CrashVerdict::Condemned { .. } => {
                    state.suspects.occupied(now, self.print)
                }
            }),
            move_source: None,
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
        }
    }
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Host of a request in lower case and without its port.
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
