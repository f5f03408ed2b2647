use std::net::SocketAddr;
use std::sync::Arc;

use base::{EventKind, RequestId};
use entry::{CrashSign, EndedRun, OpenAttempt, TargetOutcome, TargetPhase};
use http::StatusCode;
use metrics::counter;
use web::ReusePolicy;

use super::admitted_call::AdmittedCall;
use crate::{CapacityReservation, GatewayCore};

/// Records that the target gave a complete response. Only a success status shows that the call can
/// run without crashing its target, and clears what was recorded against it.
pub fn record_response(
    core: &GatewayCore,
    call: &AdmittedCall,
    reservation: &mut CapacityReservation,
    status: StatusCode,
) {
    reservation.record_outcome(TargetOutcome::Answered);
    let Some(sign) = reservation.finish_send() else {
        return;
    };
    if !status.is_success() {
        return;
    }
    let cleared =
        core.with_state(|state, now| state.facts.record_completion(now, call.fingerprint));
    if cleared > 0 {
        let request = Some(&call.caller_headers.request_id);
        log_crash_sign(core, request, &sign, "cleared", "the call completed");
    }
}

/// Records that the target broke off a call or did not answer in time, and checks whether it died.
///
/// A leaving target breaks off calls as planned, which is no sign that the call crashed it.
pub fn record_broken_call(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    reservation: &mut CapacityReservation,
) {
    reservation.record_outcome(TargetOutcome::Failed);
    let Some(sign) = reservation.finish_send() else {
        return;
    };
    let is_leaving = core.with_state(|state, _| {
        let found = state.balancer.target(&reservation.target);
        found.is_some_and(|one| one.phase == TargetPhase::Leaving)
    });
    let request = Some(&call.caller_headers.request_id);
    match is_leaving {
        true => log_crash_sign(core, request, &sign, "passed_over", "the target is leaving"),
        false => suspect_death(core, request, sign, reservation.address),
    }
}

/// Checks whether the calls that were open on a run of a target, which ended without notice, may
/// have crashed it.
pub fn check_ended_run(core: &Arc<GatewayCore>, run: &EndedRun) {
    let open_attempts =
        core.with_state(|state, _| state.attempts.take_run(&run.target, run.incarnation));
    for OpenAttempt { sign, address, .. } in open_attempts {
        match run.is_replaced {
            // A connection attempt would reach the new run.
            true => confirm_death(core, None, &sign, "another run has replaced it"),
            false => suspect_death(core, None, sign, address),
        }
    }
}

/// Records that the target of a call died.
fn confirm_death(core: &GatewayCore, request: Option<&RequestId>, sign: &CrashSign, reason: &str) {
    core.with_state(|state, now| state.facts.confirm_death(now, sign.clone()));
    log_crash_sign(core, request, sign, "marked", reason);
}

/// Counts a suspected death of the target against the call, and connects to the target: a
/// connection clears the suspicion, a failure confirms it.
fn suspect_death(
    core: &Arc<GatewayCore>,
    request: Option<&RequestId>,
    sign: CrashSign,
    address: SocketAddr,
) {
    core.with_state(|state, _| state.facts.add_suspected(sign.clone()));
    let (core, request) = (core.clone(), request.cloned());
    tokio::spawn(async move {
        let connected = core.pool.connect(address, ReusePolicy::NewOnly).await;
        match connected {
            Ok(_connection) => {
                core.with_state(|state, _| state.facts.clear_suspected(&sign));
                log_crash_sign(
                    &core,
                    request.as_ref(),
                    &sign,
                    "acquitted",
                    "the target accepts connections",
                );
            }
            Err(error) => confirm_death(&core, request.as_ref(), &sign, &error.to_string()),
        }
    });
}

/// Logs and counts what became of a sign that a call crashed its target; `request` identifies the
/// call if it was still open at this node.
fn log_crash_sign(
    core: &GatewayCore,
    request: Option<&RequestId>,
    sign: &CrashSign,
    outcome: &'static str,
    reason: &str,
) {
    counter!("gateway_crash_signs_total", "outcome" => outcome).increment(1);
    log::info!(
        event = EventKind::CrashMarked.number(),
        node = core.node().as_str(),
        request = request.map_or("", RequestId::as_str),
        print = sign.print.to_string().as_str(),
        target = sign.target.as_str(),
        incarnation = sign.incarnation.0,
        earlier = sign.earlier,
        outcome = outcome;
        "{reason}"
    );
}
