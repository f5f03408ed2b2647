use std::sync::Arc;
use std::time::Duration;

use base::{ErrorKind, TimeSpan};
use entry::{RepeatPolicy, TargetOutcome};
use http::Response;
use tokio::time::Instant;
use web::WebBody;

use super::AccessEntry;
use super::admitted_call::{AdmittedCall, SendWait};
use super::buffered_response::{BufferedResponse, deliver_response};
use super::call_handler::retry_elsewhere;
use super::crash_detection::{record_broken_call, record_response};
use super::failure_response::{cut_off_response, failure_response};
use super::target_send::{ReadFailure, SendOutcome, read_response, send_call};
use crate::coordinator::reserve_capacity;
use crate::forward::{CallRoute, ForwardOutcome, choose_route, forward_plain};
use crate::state::SendRefusal;
use crate::trial::CallTrial;
use crate::{CapacityReservation, GatewayCore};

/// Largest number of targets to which one call is sent.
const MAX_TARGETS_TRIED: usize = 4;
/// An attempt that may be followed by another one times out after this many times the latency
/// target of the route.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 2;
/// `Retry-After` for calls that every target that was tried refused.
const REFUSED_RETRY: TimeSpan = TimeSpan::new(250);

/// Outcome of one attempt to send the call to a target.
enum AttemptOutcome {
    /// The target gave a response for the caller.
    Deliver(BufferedResponse),
    /// The target answered with a server error; another target may succeed.
    ServerError(BufferedResponse),
    /// Nothing was sent; another target may be tried.
    Unsent,
    /// Nothing was sent, as the rate that the target names is used up; another one may be tried.
    RateUsed,
    /// Nothing was sent, as the call has to be placed anew, maybe on the same target.
    Outdated,
    /// The call must no longer be sent to any target; the error and `Retry-After` for the caller.
    Forbidden(ErrorKind, Option<TimeSpan>),
    /// The target refused the call, which did not run.
    Refused,
    /// The call ran, and its response is too large to be passed on.
    TooLarge,
    /// The call may have run, and no complete response arrived.
    Lost,
    /// No response arrived in time; the call may have run.
    TimedOut,
}

/// Relays a call whose response is sent to the caller only when it is complete.
///
/// A call that was not sent, or that a target refused, goes to another target. A call that may have
/// run is sent again only if its route declares it idempotent, up to the attempts of the route and
/// within the retry budget of the service.
pub async fn relay_plain(
    core: &Arc<GatewayCore>,
    mut call: AdmittedCall,
    mut access_entry: AccessEntry,
) -> Response<WebBody> {
    let mut excluded = Vec::new();
    let mut trial = CallTrial::default();
    let mut runs = call.earlier_runs();
    let mut failed = None;
    let mut tried = 0;
    while tried < MAX_TARGETS_TRIED {
        if let Err(kind) = call.update_admission(core) {
            let refusal = (kind, retry_elsewhere(kind));
            return end_unsent(core, &mut access_entry, failed, runs, refusal);
        }
        match choose_route(core, &call) {
            CallRoute::Direct => call.ensure_recorded(core),
            CallRoute::ByPeer => {
                let forwarded = forward_plain(core, &call, &mut access_entry, runs);
                return match core.until_cut_off(forwarded).await {
                    Some(ForwardOutcome::Refused) => {
                        call.peers_refused = true;
                        continue;
                    }
                    Some(outcome) => end_forwarded(core, &mut access_entry, failed, runs, outcome),
                    None => cut_off(core, &mut access_entry, failed, runs + 1),
                };
            }
            CallRoute::Unreachable => {
                let kind = ErrorKind::TargetsUnreachable;
                let refusal = (kind, retry_elsewhere(kind));
                return end_unsent(core, &mut access_entry, failed, runs, refusal);
            }
        }
        let deadline = call.deadline_instant(core.now());
        let max_wait = call
            .admission
            .route
            .latency_target
            .min(call.remaining(core.now()));
        let trial_deadline = Instant::now() + Duration::from(max_wait);
        let acquired = trial.acquire(core, &call.features, trial_deadline);
        match call.wait_to_send(core, acquired).await {
            SendWait::Done(Ok(_)) => {}
            SendWait::Done(Err(retry)) => {
                let refusal = (ErrorKind::CrashSuspect, Some(retry));
                return end_unsent(core, &mut access_entry, failed, runs, refusal);
            }
            SendWait::Stopping => return cut_off(core, &mut access_entry, failed, runs),
            SendWait::AdmissionChanged | SendWait::PathLost => continue,
        }
        let mut placement = call.placement_request(core);
        placement.excluded.extend_from_slice(&excluded);
        let capacity_request = call.capacity_request(placement, max_wait);
        let reserved = reserve_capacity(core, capacity_request);
        let mut reservation = match call.wait_to_send(core, reserved).await {
            SendWait::Done(Ok(reservation)) => reservation,
            SendWait::Done(Err(refusal)) => {
                access_entry.record_refusal(refusal);
                let retry = refusal.retry_within(call.remaining(core.now()));
                let refusal = (refusal.kind(), Some(retry));
                return end_unsent(core, &mut access_entry, failed, runs, refusal);
            }
            SendWait::Stopping => return cut_off(core, &mut access_entry, failed, runs),
            SendWait::AdmissionChanged | SendWait::PathLost => continue,
        };
        access_entry.record_target(&reservation);
        let may_repeat = call.admission.route.repeat == RepeatPolicy::Idempotent;
        let may_send_again = may_repeat && runs + 1 < call.admission.route.max_attempts;
        let attempt_deadline = match may_send_again {
            true => attempt_timeout_at(&call).min(deadline),
            false => deadline,
        };
        let attempted = attempt(
            core,
            &call,
            &mut reservation,
            &trial,
            attempt_deadline,
            &mut access_entry,
        );
        let Some(outcome) = core.until_cut_off(attempted).await else {
            runs += u32::from(reservation.is_in_flight());
            return cut_off(core, &mut access_entry, failed, runs);
        };
        if matches!(outcome, AttemptOutcome::Outdated) {
            continue;
        }
        excluded.push(reservation.target.clone());
        drop(reservation);
        let was_sent = !matches!(outcome, AttemptOutcome::Unsent | AttemptOutcome::RateUsed);
        tried += usize::from(was_sent);
        let is_past_deadline = Instant::now() >= deadline;
        match outcome {
            AttemptOutcome::Deliver(response) => {
                return deliver_response(core, &mut access_entry, response);
            }
            // Another run would have the same response.
            AttemptOutcome::TooLarge => {
                return failure_response(
                    core,
                    &mut access_entry,
                    ErrorKind::ResponseTooLarge,
                    None,
                );
            }
            AttemptOutcome::Unsent | AttemptOutcome::RateUsed if !is_past_deadline => continue,
            AttemptOutcome::Forbidden(kind, retry) => {
                return end_unsent(core, &mut access_entry, failed, runs, (kind, retry));
            }
            AttemptOutcome::Unsent
            | AttemptOutcome::RateUsed
            | AttemptOutcome::Outdated
            | AttemptOutcome::Refused => {}
            AttemptOutcome::ServerError(response) => {
                runs += 1;
                failed = Some(response);
            }
            AttemptOutcome::Lost | AttemptOutcome::TimedOut => runs += 1,
        }
        let may_continue = runs == 0 || (may_repeat && runs < call.admission.route.max_attempts);
        if is_past_deadline || !may_continue || !core.take_retry(&call.admission.service) {
            return match (failed, runs, is_past_deadline) {
                (Some(response), _, _) => deliver_response(core, &mut access_entry, response),
                (None, 0, _) => {
                    let kind = ErrorKind::Overloaded;
                    failure_response(core, &mut access_entry, kind, Some(REFUSED_RETRY))
                }
                (None, _, true) => {
                    failure_response(core, &mut access_entry, ErrorKind::DeadlineExceeded, None)
                }
                (None, _, false) => {
                    failure_response(core, &mut access_entry, ErrorKind::TargetLost, None)
                }
            };
        }
    }
    let refusal = (ErrorKind::NoTarget, Some(REFUSED_RETRY));
    end_unsent(core, &mut access_entry, failed, runs, refusal)
}

/// Ends a call that is not sent any more: with the failure that a target responded with, with
/// `refusal` if the call never ran, or as lost.
fn end_unsent(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    failed: Option<BufferedResponse>,
    runs: u32,
    refusal: (ErrorKind, Option<TimeSpan>),
) -> Response<WebBody> {
    let (kind, retry) = refusal;
    match (failed, runs) {
        (Some(response), _) => deliver_response(core, access_entry, response),
        (None, 0) => failure_response(core, access_entry, kind, retry),
        (None, _) => failure_response(core, access_entry, ErrorKind::TargetLost, None),
    }
}

/// Ends a call that was forwarded to peers.
fn end_forwarded(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    failed: Option<BufferedResponse>,
    runs: u32,
    outcome: ForwardOutcome,
) -> Response<WebBody> {
    let kind = match outcome {
        ForwardOutcome::Answered(response) => return response,
        ForwardOutcome::Refused => {
            let kind = ErrorKind::TargetsUnreachable;
            let refusal = (kind, retry_elsewhere(kind));
            return end_unsent(core, access_entry, failed, runs, refusal);
        }
        ForwardOutcome::Lost => ErrorKind::TargetLost,
        ForwardOutcome::TimedOut => ErrorKind::DeadlineExceeded,
        ForwardOutcome::TooLarge => ErrorKind::ResponseTooLarge,
    };
    failure_response(core, access_entry, kind, None)
}

/// Ends a call that is in progress when the process stops.
fn cut_off(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    failed: Option<BufferedResponse>,
    runs: u32,
) -> Response<WebBody> {
    match failed {
        Some(response) => deliver_response(core, access_entry, response),
        None => cut_off_response(core, access_entry, runs > 0),
    }
}

/// When an attempt times out that starts now and may be followed by another one.
fn attempt_timeout_at(call: &AdmittedCall) -> Instant {
    Instant::now() + Duration::from(call.admission.route.latency_target * ATTEMPT_TIMEOUT_FACTOR)
}

/// Sends the call to the target of `reservation` and reads the whole response.
async fn attempt(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    reservation: &mut CapacityReservation,
    trial: &CallTrial,
    deadline: Instant,
    access_entry: &mut AccessEntry,
) -> AttemptOutcome {
    let target = reservation.target.clone();
    let outcome = send_call(core, call, reservation, None, trial, deadline).await;
    outcome.record_reason(&target, access_entry);
    let response = match outcome {
        SendOutcome::Response(response) => response,
        SendOutcome::Refused(_) => return AttemptOutcome::Refused,
        SendOutcome::Unsent(_) => return AttemptOutcome::Unsent,
        SendOutcome::Forbidden(SendRefusal::RateUsed { .. }) => return AttemptOutcome::RateUsed,
        SendOutcome::Forbidden(refusal) if refusal.allows_same_target() => {
            return AttemptOutcome::Outdated;
        }
        SendOutcome::Forbidden(bar) => {
            return match bar.caller_error() {
                Some((kind, retry)) => AttemptOutcome::Forbidden(kind, retry),
                None => AttemptOutcome::Unsent,
            };
        }
        SendOutcome::Lost(_) | SendOutcome::Recalled => return AttemptOutcome::Lost,
        SendOutcome::TimedOut => return AttemptOutcome::TimedOut,
    };
    access_entry.record_first_byte();
    match read_response(core, *response, deadline).await {
        Ok(response) if response.status.is_server_error() => {
            reservation.finish_send();
            reservation.record_outcome(TargetOutcome::Failed);
            access_entry.add_reason(format!("{target} failed with {}", response.status));
            AttemptOutcome::ServerError(response)
        }
        Ok(response) => {
            record_response(core, call, reservation, response.status);
            AttemptOutcome::Deliver(response)
        }
        Err(ReadFailure::TooLarge(reason)) => {
            reservation.record_outcome(TargetOutcome::Answered);
            reservation.finish_send();
            access_entry.add_reason(format!("response of {target} is not passed on: {reason}"));
            AttemptOutcome::TooLarge
        }
        Err(ReadFailure::Broken(reason)) => {
            record_broken_call(core, call, reservation);
            access_entry.add_reason(format!("{target} broke off: {reason}"));
            AttemptOutcome::Lost
        }
    }
}
