use std::sync::Arc;
use std::time::Duration;

use base::{ErrorKind, TimeSpan};
use http::Response;
use tokio::time::Instant;
use web::WebBody;

use super::AccessEntry;
use super::admitted_call::{AdmittedCall, SendWait, strip_hop_by_hop_headers};
use super::buffered_response::deliver_response;
use super::call_handler::refuse;
use super::crash_detection::record_broken_call;
use super::failure_response::{close_if_stopping, cut_off_response, failure_response};
use super::response_sender::ResponseSender;
use super::stream_relay::{RelayParts, StreamRelay};
use super::target_send::{ReadFailure, SendOutcome, TargetResponse, read_response, send_call};
use crate::coordinator::reserve_capacity;
use crate::forward::{
    CallRoute, ForwardOutcome, PeerResponse, choose_route, forward_call, relay_forwarded,
};
use crate::state::SendRefusal;
use crate::trial::CallTrial;
use crate::{CapacityReservation, GatewayCore};

/// Largest number of targets to which one stream is sent.
const MAX_TARGETS_TRIED: usize = 4;
/// A stream waits for capacity for at most this many times its latency target. Callers give up at
/// four times, and the prompt has to be read by then.
const CAPACITY_WAIT_FACTOR: u64 = 3;
/// `Retry-After` for streams that every target that was tried refused.
const REFUSED_RETRY: TimeSpan = TimeSpan::new(500);

/// Relays a call whose response is a stream of events: the response starts as soon as a target
/// sends its head, and a task relays the events.
pub async fn relay_stream(
    core: Arc<GatewayCore>,
    mut call: AdmittedCall,
    mut access_entry: AccessEntry,
) -> Response<WebBody> {
    let mut excluded = Vec::new();
    let mut trial = CallTrial::default();
    let mut tried = 0;
    while tried < MAX_TARGETS_TRIED {
        if let Err(kind) = call.update_admission(&core) {
            return *refuse(&core, &mut access_entry, kind);
        }
        match choose_route(&core, &call) {
            CallRoute::Direct => call.ensure_recorded(&core),
            CallRoute::ByPeer => {
                match forward_generation(&core, &call, &mut access_entry).await {
                    Ok(answered) => {
                        return relay_forwarded(&core, &call, access_entry, answered);
                    }
                    Err(None) => call.peers_refused = true,
                    Err(Some(response)) => return response,
                }
                continue;
            }
            CallRoute::Unreachable => {
                return *refuse(&core, &mut access_entry, ErrorKind::TargetsUnreachable);
            }
        }
        let deadline = call.deadline_instant(core.now());
        let capacity_wait = call.admission.route.latency_target * CAPACITY_WAIT_FACTOR;
        let capacity_deadline = call.arrived_at + capacity_wait;
        let now = core.now();
        let max_wait = capacity_deadline.since(now).min(call.remaining(now));
        let trial_deadline = Instant::now() + Duration::from(max_wait);
        let acquired = trial.acquire(&core, &call.features, trial_deadline);
        let acquired = match call.wait_to_send(&core, acquired).await {
            SendWait::Done(acquired) => acquired,
            SendWait::Stopping => return cut_off_response(&core, &mut access_entry, false),
            SendWait::AdmissionChanged | SendWait::PathLost => continue,
        };
        if let Err(retry) = acquired {
            access_entry.add_reason("other calls with a suspected feature of it run first");
            let kind = ErrorKind::CrashSuspect;
            return failure_response(&core, &mut access_entry, kind, Some(retry));
        }
        let mut placement = call.placement_request(&core);
        placement.excluded.extend_from_slice(&excluded);
        let capacity_request = call.capacity_request(placement, max_wait);
        let reserved = reserve_capacity(&core, capacity_request);
        let mut reservation = match call.wait_to_send(&core, reserved).await {
            SendWait::Done(Ok(reservation)) => reservation,
            SendWait::Done(Err(refusal)) => {
                access_entry.record_refusal(refusal);
                let retry = Some(refusal.retry_within(call.remaining(core.now())));
                return failure_response(&core, &mut access_entry, refusal.kind(), retry);
            }
            SendWait::Stopping => return cut_off_response(&core, &mut access_entry, false),
            SendWait::AdmissionChanged | SendWait::PathLost => continue,
        };
        access_entry.record_target(&reservation);
        let target = reservation.target.clone();
        let sent = send_call(&core, &call, &mut reservation, None, &trial, deadline);
        let Some(outcome) = core.until_cut_off(sent).await else {
            let was_sent = reservation.is_in_flight();
            return cut_off_response(&core, &mut access_entry, was_sent);
        };
        outcome.record_reason(&target, &mut access_entry);
        if let SendOutcome::Forbidden(refusal) = &outcome
            && refusal.allows_same_target()
        {
            continue;
        }
        excluded.push(target.clone());
        match outcome {
            SendOutcome::Unsent(_) | SendOutcome::Forbidden(SendRefusal::RateUsed { .. }) => {}
            SendOutcome::Response(response) if response.http.status().is_success() => {
                return start_stream(core, call, access_entry, reservation, *response);
            }
            SendOutcome::Response(response) => {
                return deliver_failure(
                    &core,
                    &call,
                    access_entry,
                    &mut reservation,
                    *response,
                    deadline,
                )
                .await;
            }
            SendOutcome::Forbidden(bar) => {
                if let Some((kind, retry)) = bar.caller_error() {
                    return failure_response(&core, &mut access_entry, kind, retry);
                }
            }
            SendOutcome::Refused(_) if core.take_retry(&call.admission.service) => tried += 1,
            SendOutcome::Refused(_) => break,
            SendOutcome::Lost(_) | SendOutcome::Recalled => {
                return failure_response(&core, &mut access_entry, ErrorKind::TargetLost, None);
            }
            SendOutcome::TimedOut => {
                return failure_response(
                    &core,
                    &mut access_entry,
                    ErrorKind::DeadlineExceeded,
                    None,
                );
            }
        }
    }
    failure_response(
        &core,
        &mut access_entry,
        ErrorKind::Overloaded,
        Some(REFUSED_RETRY),
    )
}

/// Forwards a generation that was not sent to any target yet.
///
/// # Errors
/// The response for the caller if the generation may have run; `None` if all peers refused it.
async fn forward_generation(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    access_entry: &mut AccessEntry,
) -> Result<PeerResponse, Option<Response<WebBody>>> {
    let forwarded = core.until_cut_off(forward_call(core, call, access_entry, 0));
    let kind = match forwarded.await {
        Some(Ok(answered)) => return Ok(answered),
        None => return Err(Some(cut_off_response(core, access_entry, true))),
        Some(Err(ForwardOutcome::Refused)) => return Err(None),
        Some(Err(ForwardOutcome::TimedOut)) => ErrorKind::DeadlineExceeded,
        Some(Err(_)) => ErrorKind::TargetLost,
    };
    Err(Some(failure_response(core, access_entry, kind, None)))
}

/// Starts the task that relays the stream, and returns the response that it feeds.
fn start_stream(
    core: Arc<GatewayCore>,
    call: AdmittedCall,
    mut access_entry: AccessEntry,
    reservation: CapacityReservation,
    response: TargetResponse,
) -> Response<WebBody> {
    let status = response.http.status();
    access_entry.set_outcome(status.as_u16(), "caller_gone");
    let mut headers = response.http.headers().clone();
    strip_hop_by_hop_headers(&mut headers);
    close_if_stopping(&core, &mut headers);
    let (sender, body) = ResponseSender::new();
    let stream = StreamRelay::new(RelayParts {
        core,
        call,
        access_entry,
        reservation,
        response,
        sender,
    });
    tokio::spawn(stream.run());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Passes on a target's response that is no success, as a whole and not as a stream.
async fn deliver_failure(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    mut access_entry: AccessEntry,
    reservation: &mut CapacityReservation,
    response: TargetResponse,
    deadline: tokio::time::Instant,
) -> Response<WebBody> {
    access_entry.record_first_byte();
    let read = core.until_cut_off(read_response(core, response, deadline));
    match read.await {
        None => {
            reservation.finish_send();
            cut_off_response(core, &mut access_entry, true)
        }
        Some(Ok(response)) => {
            reservation.finish_send();
            deliver_response(core, &mut access_entry, response)
        }
        Some(Err(ReadFailure::TooLarge(reason))) => {
            reservation.finish_send();
            access_entry.add_reason(reason);
            failure_response(core, &mut access_entry, ErrorKind::ResponseTooLarge, None)
        }
        Some(Err(ReadFailure::Broken(reason))) => {
            record_broken_call(core, call, reservation);
            access_entry.add_reason(reason);
            failure_response(core, &mut access_entry, ErrorKind::TargetLost, None)
        }
    }
}
