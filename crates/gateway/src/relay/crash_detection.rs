use std::sync::Arc;

use base::{ClockTime, EventKind, RequestId};
use entry::{
    CallFeatures, CrashSign, DeathEvidence, EndedRun, OpenAttempt, TargetOutcome, TargetPhase,
};
use http::StatusCode;
use metrics::counter;
use web::ReusePolicy;

use super::admitted_call::AdmittedCall;
use crate::{CapacityReservation, GatewayCore};

/// Largest number of suspected parts of a call that a log line names.
const LOGGED_FEATURES: usize = 8;

/// Records that the target gave a complete response. Only a success status shows that the call can
/// run without crashing its target, and clears what was recorded against its features.
pub fn record_response(
    core: &GatewayCore,
    call: &AdmittedCall,
    reservation: &mut CapacityReservation,
    status: StatusCode,
) {
    reservation.record_outcome(TargetOutcome::Answered);
    let Some(attempt) = reservation.finish_send() else {
        return;
    };
    if status.is_success() {
        let began_at = attempt.began_at.unwrap_or_else(|| core.now());
        clear_features(core, call, &attempt.features, began_at);
    }
}

/// Records that a response without length or chunks ended soon after it began. The target may have
/// answered or crashed, so that nothing is cleared and nothing is blamed.
pub fn record_unframed_end(reservation: &mut CapacityReservation) {
    reservation.record_outcome(TargetOutcome::Answered);
    reservation.finish_send();
}

/// Records that the answer to a call, which began at `began_at`, has gone on for so long that the
/// parts of its prompt are harmless.
pub fn record_proof(core: &GatewayCore, call: &AdmittedCall, began_at: ClockTime) {
    let parts = call.features.parts().iter().copied();
    let cleared = core.with_state(|state, now| {
        state.facts.record_proof(now, parts.clone());
        state.record_completion(now, parts, began_at)
    });
    log_cleared(core, call, cleared);
}

/// Clears what was recorded against the features of a call that ran to its end.
fn clear_features(
    core: &GatewayCore,
    call: &AdmittedCall,
    features: &CallFeatures,
    began_at: ClockTime,
) {
    let cleared =
        core.with_state(|state, now| state.record_completion(now, features.iter(), began_at));
    log_cleared(core, call, cleared);
}

fn log_cleared(core: &GatewayCore, call: &AdmittedCall, cleared: usize) {
    if cleared == 0 {
        return;
    }
    core.recheck_blame();
    counter!("gateway_crash_signs_total", "outcome" => "cleared").increment(1);
    log::info!(
        event = EventKind::CrashMarked.number(),
        node = core.node().as_str(),
        request = call.caller_headers.request_id.as_str(),
        print = call.features.request().to_string().as_str(),
        parts = join_features(&call.features).as_str(),
        signs = cleared,
        outcome = "cleared";
        "the answer shows that the request and the parts of its prompt crash no target"
    );
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
    let Some(attempt) = reservation.finish_send() else {
        return;
    };
    let is_leaving = core.with_state(|state, _| {
        let found = state.balancer.target(&reservation.target);
        found.is_some_and(|one| one.phase == TargetPhase::Leaving)
    });
    let request = Some(&call.caller_headers.request_id);
    let reason = match is_leaving {
        true => "the target is leaving",
        false if core.fell_by_refusals(&reservation.target) => "the target refused too many calls",
        false => return suspect_death(core, request, attempt),
    };
    log_attempt(core, request, &attempt, "passed_over", reason);
}

/// Checks whether the calls that were open on a run of a target, which ended without notice, may
/// have crashed it.
pub fn check_ended_run(core: &Arc<GatewayCore>, run: &EndedRun) {
    let open_attempts =
        core.with_state(|state, _| state.attempts.take_run(&run.target, run.incarnation));
    for attempt in open_attempts {
        match run.is_replaced {
            // A connection attempt would reach the new run.
            true => {
                let evidence = match attempt.has_broken_off {
                    true => DeathEvidence::ProcessEnded,
                    false => DeathEvidence::Vanished,
                };
                let reason = "another run has replaced it";
                confirm_death(core, None, &attempt, evidence, reason);
            }
            false => suspect_death(core, None, attempt),
        }
    }
}

/// Records that the target of a call died, and tells the peers at once.
fn confirm_death(
    core: &GatewayCore,
    request: Option<&RequestId>,
    attempt: &OpenAttempt,
    evidence: DeathEvidence,
    reason: &str,
) {
    core.with_state(|state, now| state.confirm_death(now, attempt, evidence));
    core.recheck_blame();
    log_attempt(core, request, attempt, "marked", reason);
}

/// Counts a suspected death of the target against the call, and connects to the target: a
/// connection clears the suspicion, a failure confirms it.
fn suspect_death(core: &Arc<GatewayCore>, request: Option<&RequestId>, attempt: OpenAttempt) {
    let sign = CrashSign {
        print: attempt.features.request().into(),
        target: attempt.target.clone(),
        incarnation: attempt.incarnation,
        earlier: attempt.earlier,
    };
    core.with_state(|state, _| state.facts.add_suspected(sign.clone()));
    let (core, request) = (core.clone(), request.cloned());
    tokio::spawn(async move {
        let began_at = core.now();
        let connected = core
            .pool
            .connect(attempt.address, ReusePolicy::NewOnly)
            .await;
        if connected.is_err() {
            core.record_connect_failure(&attempt.target, began_at);
        }
        match connected {
            Ok(_connection) => {
                core.with_state(|state, now| {
                    state.facts.clear_suspected(&sign);
                    // The listing of another run will show that the process did crash.
                    let id = state.attempts.begin(OpenAttempt {
                        has_broken_off: true,
                        ..attempt.clone()
                    });
                    state.attempts.abandon(now, id);
                });
                log_attempt(
                    &core,
                    request.as_ref(),
                    &attempt,
                    "acquitted",
                    "the target accepts connections",
                );
            }
            Err(_) if core.is_out_of_reach(&attempt.target).await => {
                core.with_state(|state, _| state.facts.clear_suspected(&sign));
                let reason = "this node has no path to the targets of the service";
                log_attempt(&core, request.as_ref(), &attempt, "passed_over", reason);
            }
            Err(error) => {
                let has_broken_off = request.is_some() || attempt.has_broken_off;
                let evidence = match error.is_refused() && has_broken_off {
                    true => DeathEvidence::ProcessEnded,
                    false => DeathEvidence::Vanished,
                };
                confirm_death(
                    &core,
                    request.as_ref(),
                    &attempt,
                    evidence,
                    &error.to_string(),
                );
            }
        }
    });
}

/// Logs and counts what became of the suspicion that a call crashed its target; `request` identifies
/// the call if it was still open at this node.
fn log_attempt(
    core: &GatewayCore,
    request: Option<&RequestId>,
    attempt: &OpenAttempt,
    outcome: &'static str,
    reason: &str,
) {
    counter!("gateway_crash_signs_total", "outcome" => outcome).increment(1);
    log::info!(
        event = EventKind::CrashMarked.number(),
        node = core.node().as_str(),
        request = request.map_or("", RequestId::as_str),
        print = attempt.features.request().to_string().as_str(),
        parts = join_features(&attempt.features).as_str(),
        answer_began = attempt.began_at.is_some(),
        trial = !attempt.trial_features.is_empty(),
        target = attempt.target.as_str(),
        incarnation = attempt.incarnation.0,
        earlier = attempt.earlier,
        outcome = outcome;
        "{reason}"
    );
}

/// The first parts of a prompt as they are blamed, separated by commas.
fn join_features(features: &CallFeatures) -> String {
    let parts = features.parts().iter().take(LOGGED_FEATURES);
    let parts: Vec<_> = parts.map(ToString::to_string).collect();
    parts.join(",")
}
