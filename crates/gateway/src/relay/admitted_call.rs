use std::time::Duration;

use base::{ClockTime, ErrorKind, TimeSpan, TokenCount, WorkspaceName};
use bytes::Bytes;
use entry::{
    BodyLease, CallFeatures, PaceNeed, PlacementRequest, PlacementScope, RepeatPolicy, ServeConfig,
    TargetLoad, prefill_time,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, header};
use tokio::time::Instant;

use super::call_admission::CallAdmission;
use crate::coordinator::CapacityRequest;
use crate::forward::CallOrigin;
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

/// How the wait of a call to be sent ended.
pub enum SendWait<T> {
    /// The work is done.
    Done(T),
    /// This node stops, and the call might not end before that.
    Stopping,
    /// The configuration in force admits the call for another service or workspace, or not at all.
    AdmissionChanged,
    /// This node has no path to the targets, and a peer may have one.
    PathLost,
}

/// A call that was read, matched to its route and admitted by its key.
pub struct AdmittedCall {
    /// Method of the request.
    pub method: Method,
    /// Host of the request, in lower case and without its port.
    pub host: String,
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
    /// What the configuration says of the call.
    pub admission: CallAdmission,
    /// From whom this node got the call.
    pub origin: CallOrigin,
    /// Whether all peers that may have a path to the targets refused the call.
    pub peers_refused: bool,
    /// Whether the call was counted for the retry budget of its service.
    pub is_recorded: bool,
    /// When the call arrived at the first node.
    pub arrived_at: ClockTime,
    /// When the call times out: at the deadline of the caller or of the route, whichever is first.
    pub deadline: ClockTime,
    /// Features that can be blamed for crashes: the whole request, a hash of path, key and body, and the
    /// parts of its prompt.
    pub features: CallFeatures,
}

impl AdmittedCall {
    /// Whether a peer forwarded the call.
    pub fn is_forwarded(&self) -> bool {
        self.origin.ticket().is_some()
    }

    /// Whether the call may be forwarded to a peer.
    pub fn may_forward(&self) -> bool {
        !self.is_forwarded() && !self.peers_refused
    }

    /// Number of targets that may have run the call before this node got it.
    pub fn earlier_runs(&self) -> u32 {
        self.origin.ticket().map_or(0, |ticket| ticket.earlier_runs)
    }

    /// Counts the call for the retry budget of its service, unless that was done; the node that sends a
    /// call counts it.
    pub fn ensure_recorded(&mut self, core: &GatewayCore) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let service = &self.admission.service;
        core.with_state(|state, now| state.retry_share.record_call(now, service));
    }

    /// Admits the call by the configuration in force, if that has changed.
    ///
    /// # Errors
    /// If it no longer admits the call, or no longer handles it in the same way.
    pub fn update_admission(&mut self, core: &GatewayCore) -> Result<(), ErrorKind> {
        let Some(config) = core.config() else {
            return Ok(());
        };
        if let Some(admission) = self.admission_by(&config)? {
            self.deadline = self.deadline.min(self.arrived_at + admission.route.timeout);
            self.admission = admission;
        }
        Ok(())
    }

    /// Makes the workspace and priority those of the key in the configuration in force, if that still
    /// has the key. A generation that runs goes on without it.
    pub fn update_workspace(&mut self, core: &GatewayCore) {
        let Some(config) = core.config() else {
            return;
        };
        if let Ok(Some(admission)) = self.admission_by(&config) {
            self.admission.workspace = admission.workspace;
            self.admission.priority = admission.priority;
        }
    }

    /// Admission of the call by a configuration; `None` if that has the version of the present one.
    fn admission_by(&self, config: &ServeConfig) -> Result<Option<CallAdmission>, ErrorKind> {
        if config.version == self.admission.version {
            return Ok(None);
        }
        let route = config.route(&self.host, self.path_and_query.path());
        let route = route.ok_or(ErrorKind::NotFound)?;
        if route.repeat != self.admission.route.repeat {
            // The call is relayed by the other policy already.
            return Err(ErrorKind::NoTarget);
        }
        let key = self.caller_headers.key.as_deref();
        CallAdmission::new(config, route, key, Some(&self.admission)).map(Some)
    }

    /// Runs `work`, in which the call waits to be sent, to its end, unless the call can't be sent any
    /// more as it stands.
    pub async fn wait_to_send<T>(
        &self,
        core: &GatewayCore,
        work: impl Future<Output = T>,
    ) -> SendWait<T> {
        let waited = core.while_sendable(self.times(core.now()), work);
        tokio::select! {
            biased;
            waited = waited => waited.map_or(SendWait::Stopping, SendWait::Done),
            () = self.admission_change(core) => SendWait::AdmissionChanged,
            () = core.until_helped(&self.admission.service), if self.may_forward() => {
                SendWait::PathLost
            }
        }
    }

    /// Waits until a configuration is in force that no longer admits the call, or for another service
    /// or workspace.
    async fn admission_change(&self, core: &GatewayCore) {
        let mut changes = core.watch_config();
        loop {
            let admission = core.config().map(|config| self.admission_by(&config));
            match admission {
                Some(Ok(Some(admission))) if !admission.is_sent_alike(&self.admission) => return,
                Some(Err(_)) => return,
                Some(Ok(_)) | None => {}
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

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
        match self.admission.route.repeat {
            RepeatPolicy::Idempotent => {
                let span = self
                    .admission
                    .route
                    .latency_target
                    .min(self.admission.route.timeout);
                CallTimes::new(now + span)
            }
            RepeatPolicy::AtMostOnce => CallTimes::new(self.deadline),
            RepeatPolicy::Stream => CallTimes::new(self.deadline).with_likely(self.stream_time()),
        }
    }

    /// Time that the whole stream takes if it begins on time.
    fn stream_time(&self) -> TimeSpan {
        let latency = self.admission.route.latency_target;
        let size = self.caller_headers.generation;
        let Some(size) = size.filter(|_| self.admission.engine.is_some()) else {
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
            .filter(|_| self.admission.engine.is_some());
        size.is_none_or(|size| size.output_estimate().is_quick())
    }

    /// Time from arrival within which the call has to get capacity to meet the latency target of
    /// its route.
    pub fn start_within(&self) -> TimeSpan {
        let target = self.admission.route.latency_target;
        let Some(size) = self
            .caller_headers
            .generation
            .filter(|_| self.admission.engine.is_some())
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
            .filter(|_| self.admission.engine.is_some())
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
        let pause_limit = self.admission.route.pause_limit?;
        let (spec, size) = (self.admission.engine?, self.caller_headers.generation?);
        let per_event = spec.event_tokens.max(1);
        let produced = TokenCount(events.saturating_mul(per_event));
        let expected = size.output_estimate().with_progress(produced).expected();
        let left = expected.0.saturating_sub(produced.0);
        Some(PaceNeed {
            pause_limit,
            latency_target: self.admission.route.latency_target,
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
            priority: self.admission.priority,
            arrived: self.arrived_at,
            start_within: self.start_within(),
            max_wait,
        }
    }

    /// Name of the caller's workspace within the fleet.
    pub fn workspace_name(&self) -> Option<WorkspaceName> {
        let identity = self.admission.workspace.as_ref()?;
        Some(identity.name.clone())
    }

    /// Requirements on a target. A call that is suspected of crashing targets excludes those that
    /// run another suspect call.
    pub fn placement_request(&self, core: &GatewayCore) -> PlacementRequest {
        let service = &self.admission.service;
        let (engine, load) = match self.admission.engine {
            Some(spec) => (Some(spec), self.load()),
            None => core
                .with_state(|state, now| state.plain_placement(now, service))
                .map_or((None, self.load()), |(spec, load)| (Some(spec), load)),
        };
        PlacementRequest {
            service: service.clone(),
            engine,
            load,
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
