use std::net::SocketAddr;
use std::sync::Arc;

use base::{EventKind, RequestId};
use entry::{CrashSign, EndedRun, OpenAttempt, TargetOutcome, TargetPhase};
use http::StatusCode;
use metrics::counter;
use web::SendPhase;

use super::call_input::CallInput;
use crate::{CapacityReservation, GatewayCore};

/// Notes that the target gave a whole answer. Only a success shows that the call can run.
pub fn note_answered(
    core: &GatewayCore,
    call: &CallInput,
    hold: &mut CapacityReservation,
    status: StatusCode,
) {
    hold.record_outcome(TargetOutcome::Answered);
    let Some(sign) = hold.finish_send() else {
        return;
    };
    if !status.is_success() {
        return;
    }
    let cleared = core.with_state(|state, now| state.facts.record_completion(now, call.print));
    if cleared > 0 {
        let request = Some(&call.head.request);
        log_sign(core, request, &sign, "cleared", "the call ran to its end");
    }
}

/// Notes that the target broke off a call or is silent, and finds out whether it died.
///
/// A target that leaves breaks off by plan, which says nothing about the call.
pub fn note_broken(core: &Arc<GatewayCore>, call: &CallInput, hold: &mut CapacityReservation) {
    hold.record_outcome(TargetOutcome::Failed);
    let Some(sign) = hold.finish_send() else {
        return;
    };
    let is_leaving = core.with_state(|state, _| {
        let found = state.balancer.target(&hold.target);
        found.is_some_and(|one| one.phase == TargetPhase::Leaving)
    });
    let request = Some(&call.head.request);
    match is_leaving {
        true => log_sign(core, request, &sign, "passed_over", "the target leaves"),
        false => suspect_death(core, request, sign, hold.address),
    }
}

/// Finds out whether a target whose run ended without notice took calls with it.
pub fn end_run(core: &Arc<GatewayCore>, run: &EndedRun) {
    let lost = core.with_state(|state, _| state.attempts.take_run(&run.target, run.incarnation));
    for OpenAttempt { sign, address, .. } in lost {
        match run.is_replaced {
            // A connection would reach the other run.
            true => note_death(core, None, &sign, "another run has its place"),
            false => suspect_death(core, None, sign, address),
        }
    }
}

/// Notes that the target of a call died.
fn note_death(core: &GatewayCore, request: Option<&RequestId>, sign: &CrashSign, reason: &str) {
    core.with_state(|state, now| state.facts.confirm_death(now, sign.clone()));
    log_sign(core, request, sign, "marked", reason);
}

/// Counts the death of a target against a call until a connection shows that the target lives.
fn suspect_death(
    core: &Arc<GatewayCore>,
    request: Option<&RequestId>,
    sign: CrashSign,
    address: SocketAddr,
) {
    core.with_state(|state, _| state.facts.add_suspected(sign.clone()));
    let (core, request) = (core.clone(), request.cloned());
    tokio::spawn(async move {
        let connected = core.pool.connect(address, SendPhase::Fresh).await;
        match connected {
            Ok(_connection) => {
                core.with_state(|state, _| state.facts.clear_suspected(&sign));
                log_sign(
                    &core,
                    request.as_ref(),
                    &sign,
                    "acquitted",
                    "the target lives",
                );
            }
            Err(error) => note_death(&core, request.as_ref(), &sign, &error.to_string()),
        }
    });
}

/// Logs what became known of a call and the death of its target; `request` is the attempt of this
/// node, if it was one.
fn log_sign(
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
