use std::sync::Arc;

use base::{ByteCount, EventKind, TargetName, TimeSpan};
use entry::{SendPermit, TargetOutcome};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use metrics::counter;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use web::{BodyBuffer, BodyError, PooledConnection, ReusePolicy, full_body};

use super::AccessEntry;
use super::admitted_call::{AdmittedCall, strip_hop_by_hop_headers};
use super::buffered_response::{BufferedResponse, LeasedBody};
use super::crash_detection::record_broken_call;
use super::target_run::TargetRun;
use crate::rate::await_permit;
use crate::state::{AdmissionCheck, SendCheck, SendRefusal};
use crate::trial::CallTrial;
use crate::{CapacityReservation, GatewayCore, ResumePoint, TargetHeaders};

/// Longest time for which a generation that resumes waits for a permit.
const RESUME_PERMIT_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// Urgency value sent to engines for calls of priority 0; each lower priority adds 2, and engines
/// serve lower values first.
const BASE_URGENCY: u8 = 3;
/// Highest urgency value, which engines serve last.
const LAST_URGENCY: u8 = 9;

/// Outcome of sending a call to a target, up to the head of the response.
pub enum SendOutcome {
    /// The target sent the head of its response.
    Response(Box<TargetResponse>),
    /// The target stated that it did not run the call.
    Refused(StatusCode),
    /// Nothing was sent, for example because the target could not be reached.
    Unsent(String),
    /// Nothing was sent, as the call must no longer be sent to this target.
    Forbidden(SendRefusal),
    /// The call was sent and may have run, but no response of the target arrived.
    Lost(String),
    /// No response head arrived in time; the call may have run.
    TimedOut,
    /// The call was recalled, as it would likely have crashed the target; it may have run.
    Recalled,
}

impl SendOutcome {
    /// Adds to the access log entry why there is no response.
    pub fn record_reason(&self, target: &TargetName, access_entry: &mut AccessEntry) {
        match self {
            Self::Response(_) => {}
            Self::Refused(status) => {
                access_entry.add_reason(format!("{target} refused with {status}"))
            }
            Self::Unsent(reason) => {
                access_entry.add_reason(format!("{target} could not be reached: {reason}"))
            }
            Self::Forbidden(bar) => access_entry.add_reason(format!("not sent to {target}: {bar}")),
            Self::Lost(reason) => {
                access_entry.add_reason(format!("no usable response from {target}: {reason}"))
            }
            Self::TimedOut => access_entry.add_reason(format!("no response from {target} in time")),
            Self::Recalled => access_entry.add_reason(format!("recalled from {target}")),
        }
    }
}

/// Response of a target whose body is not read yet, with the connection on which it arrives.
pub struct TargetResponse {
    /// Head of the response and its unread body.
    pub http: Response<Incoming>,
    /// Connection of the response, kept open until the body is read.
    pub connection: PooledConnection,
    /// Run of the target that responded.
    pub run: TargetRun,
}

impl TargetResponse {
    /// Whether the body is framed, so that its end can be told from a broken connection.
    pub fn is_framed(&self) -> bool {
        let headers = self.http.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Sends a call to the target of `reservation` on a connection of its own, so that late or extra
/// bytes of another response can't be taken for its response.
pub async fn send_call(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    reservation: &mut CapacityReservation,
    resume: Option<&ResumePoint>,
    trial: &CallTrial,
    deadline: Instant,
) -> SendOutcome {
    let is_resume = resume.is_some();
    if let Err(bar) = check_send(core, call, reservation, resume, trial, None) {
        return SendOutcome::Forbidden(bar);
    }
    let permit = match take_permit(core, reservation, is_resume).await {
        Ok(permit) => permit,
        Err(bar) => return SendOutcome::Forbidden(bar),
    };
    let began_at = core.now();
    let connected = timeout_at(
        deadline,
        core.pool.connect(reservation.address, ReusePolicy::NewOnly),
    )
    .await;
    let mut connection = match connected {
        Ok(Ok(connection)) => {
            core.record_connection(&reservation.target);
            connection
        }
        Ok(Err(error)) => {
            reservation.record_outcome(TargetOutcome::Unreachable);
            core.record_connect_failure(&reservation.target, began_at);
            return SendOutcome::Unsent(error.to_string());
        }
        Err(_) => return SendOutcome::Unsent("no time left to connect".to_owned()),
    };
    // What is known may have changed while the connection was made.
    if let Err(bar) = check_send(core, call, reservation, resume, trial, Some(permit)) {
        return SendOutcome::Forbidden(bar);
    }
    let sent_at = core.now();
    let mut blame = core.watch_blame();
    reservation.begin_send(&call.features, trial.features().to_vec());
    let request = build_request(core, call, reservation, resume);
    let sent = tokio::select! {
        biased;
        sent = timeout_at(deadline, connection.send(request)) => sent,
        () = until_dangerous(core, call, &mut blame), if !is_resume && !reservation.is_trial() => {
            log_recall(core, call, &reservation.target);
            return SendOutcome::Recalled;
        }
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err((error, Some(_)))) => {
            reservation.finish_send();
            reservation.record_outcome(TargetOutcome::Unreachable);
            return SendOutcome::Unsent(error.to_string());
        }
        Ok(Err((error, None))) => {
            record_broken_call(core, call, reservation);
            return SendOutcome::Lost(error.to_string());
        }
        Err(_) => {
            record_broken_call(core, call, reservation);
            return SendOutcome::TimedOut;
        }
    };
    let status = response.status();
    let codec = &core.ports.headers;
    let headers =
        codec.read_response_headers(&call.caller_headers.request_id, status, response.headers());
    let run = TargetRun::of(reservation);
    run.apply_headers(core, &headers, sent_at);
    if headers.is_refused {
        reservation.finish_send();
        if headers.is_misdirected {
            core.end_target_run(&run.target, run.incarnation, "answer of another run");
        }
        if headers.backoff.is_none() {
            reservation.record_outcome(TargetOutcome::Refused);
        }
        core.with_state(|state, now| state.balancer.record_room_refusal(now, &run.target));
        return SendOutcome::Refused(status);
    }
    if !headers.is_genuine {
        record_broken_call(core, call, reservation);
        return SendOutcome::Lost(format!(
            "response with status {status} is not marked as the target's own"
        ));
    }
    reservation.record_outcome(TargetOutcome::Responded);
    SendOutcome::Response(Box::new(TargetResponse {
        http: response,
        connection,
        run,
    }))
}

/// Waits until the call, which was sent and has not begun to answer, is likely to crash its target.
pub async fn until_dangerous(
    core: &GatewayCore,
    call: &AdmittedCall,
    blame: &mut watch::Receiver<u64>,
) {
    loop {
        if core.with_state(|state, now| state.facts.is_dangerous(now, &call.features)) {
            return;
        }
        if blame.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Logs and counts that a call was recalled from its target.
pub fn log_recall(core: &GatewayCore, call: &AdmittedCall, target: &TargetName) {
    counter!("gateway_recalls_total").increment(1);
    log::info!(
        event = EventKind::CallRecalled.number(),
        node = core.node().as_str(),
        request = call.caller_headers.request_id.as_str(),
        target = target.as_str();
        "recalled before its answer began: the same request, or a part of its prompt, crashed targets"
    );
}

/// Takes a permit for sending to the target of `reservation`, if that names a rate. A generation that
/// resumes waits for one, as it would be lost otherwise.
async fn take_permit(
    core: &Arc<GatewayCore>,
    reservation: &CapacityReservation,
    is_resume: bool,
) -> Result<SendPermit, SendRefusal> {
    let max_wait = match is_resume {
        true => RESUME_PERMIT_WAIT,
        false => TimeSpan::ZERO,
    };
    let (target, incarnation) = (&reservation.target, reservation.incarnation);
    await_permit(core, target, incarnation, max_wait).await
}

/// Checks whether the call may be sent according to the current state of this node.
fn check_send(
    core: &GatewayCore,
    call: &AdmittedCall,
    reservation: &CapacityReservation,
    resume: Option<&ResumePoint>,
    trial: &CallTrial,
    permit: Option<SendPermit>,
) -> Result<(), SendRefusal> {
    let check = SendCheck {
        features: &call.features,
        is_trial: trial.is_valid(core.now()),
        target: &reservation.target,
        admission: resume.is_none().then(|| AdmissionCheck {
            route: (&call.host, call.path_and_query.path()),
            key: call.caller_headers.key.as_ref(),
            version: call.admission.version,
            service: &call.admission.service,
            workspace: call.admission.workspace.as_ref(),
        }),
        times: call.times(core.now()),
        is_resume: resume.is_some(),
        is_source: resume.is_some_and(|point| point.source == reservation.address),
        permit,
    };
    core.with_state(|state, now| state.check_send(now, &check))
}

/// Why a response was not read to its end.
pub enum ReadFailure {
    /// It is larger than the limit or the memory left; the call has run.
    TooLarge(String),
    /// It broke off, or did not end in time.
    Broken(String),
}

impl From<BodyError> for ReadFailure {
    fn from(error: BodyError) -> Self {
        let reason = error.to_string();
        match error {
            BodyError::TooLarge { .. } | BodyError::NoRoom => Self::TooLarge(reason),
            BodyError::TimedOut | BodyError::Broken { .. } | BodyError::Aborted { .. } => {
                Self::Broken(reason)
            }
        }
    }
}

/// Reads the whole body of a response.
///
/// # Errors
/// If it is too large or not complete.
pub async fn read_response(
    core: &Arc<GatewayCore>,
    response: TargetResponse,
    deadline: Instant,
) -> Result<BufferedResponse, ReadFailure> {
    let (mut parts, mut body) = response.http.into_parts();
    let connection = response.connection;
    let mut buffer = BodyBuffer::new(core.settings.response_limit.0 as usize);
    let mut lease = core.bodies.new_lease();
    let mut has_room = |bytes: usize| lease.try_grow_to(ByteCount(bytes as u64));
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|error| ReadFailure::Broken(error.to_string()))?,
            Ok(None) => break,
            Err(_) => {
                let reason = "response not complete in time".to_owned();
                return Err(ReadFailure::Broken(reason));
            }
        };
        match frame.into_data() {
            Ok(data) => buffer.push(&data, &mut has_room)?,
            Err(frame) => {
                if let Some(trailers) = frame.trailers_ref() {
                    response.run.apply_trailers(core, trailers);
                }
            }
        }
    }
    drop(connection);
    strip_hop_by_hop_headers(&mut parts.headers);
    Ok(BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body: LeasedBody::new(buffer.into_bytes(), lease).into_bytes(),
    })
}

/// Builds the request to the target from the caller's request.
fn build_request(
    core: &GatewayCore,
    call: &AdmittedCall,
    reservation: &CapacityReservation,
    resume: Option<&ResumePoint>,
) -> Request<web::WebBody> {
    let mut headers = call.headers.clone();
    let urgency = call.admission.engine.map(|_| {
        let value = BASE_URGENCY.saturating_add(call.admission.priority.saturating_mul(2));
        value.min(LAST_URGENCY)
    });
    let target_headers = TargetHeaders {
        remaining: call.remaining(core.now()),
        target: &reservation.target,
        workspace: call
            .admission
            .workspace
            .as_ref()
            .map(|identity| identity.label.as_str()),
        urgency,
        resume,
    };
    core.ports
        .headers
        .write_target_headers(&mut headers, &target_headers);
    let mut request = Request::new(full_body(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path_and_query.clone());
    *request.headers_mut() = headers;
    request
}
