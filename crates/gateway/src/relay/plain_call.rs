use std::sync::Arc;
use std::time::Duration;

use base::{ErrorKind, TimeSpan};
use entry::{RepeatPolicy, TargetOutcome};
use http::Response;
use tokio::time::Instant;
use web::WebBody;

use super::CallAudit;
use super::call_input::CallInput;
use super::crash_watch::{note_answered, note_broken};
use super::failure_response::failure_response;
use super::target_send::{SendEnd, read_answer, send_call};
use super::whole_answer::{WholeAnswer, deliver_answer};
use crate::coordinator::reserve_capacity;
use crate::{CapacityReservation, GatewayCore};

/// Targets that are tried for one call when nothing was sent or the call was refused.
const SEND_TRIES: usize = 4;
/// A call that may be repeated is sent again after this many times its latency target.
const SECOND_TRY_FACTOR: u64 = 2;
/// Advice to callers whose call was refused by every target that was tried.
const REFUSED_RETRY: TimeSpan = TimeSpan::new(250);

/// What one attempt means for the call.
enum AttemptEnd {
    /// The answer goes to the caller.
    Deliver(WholeAnswer),
    /// The target failed the call by itself; another target may do better.
    Failed(WholeAnswer),
    /// Nothing was sent.
    Unsent,
    /// The call must not be sent any more.
    Barred(ErrorKind, Option<TimeSpan>),
    /// The target refused the call, which did not run.
    Refused,
    /// The call may have run, and no answer arrived.
    Lost,
    /// No answer in time.
    TimedOut,
}

/// Relays a call whose answer is held back until it is complete.
pub async fn relay_plain(
    core: &Arc<GatewayCore>,
    call: CallInput,
    mut audit: CallAudit,
) -> Response<WebBody> {
    let deadline = call.deadline_instant(core.now());
    let mut need = call.need(core);
    let mut runs = 0;
    let mut failed = None;
    for _ in 0..SEND_TRIES {
        let patience = call.route.latency_target.min(call.remaining(core.now()));
        let mut hold = match reserve_capacity(core, call.wish(need.clone(), patience)).await {
            Ok(hold) => hold,
            Err(refusal) => {
                if let Some(answer) = failed {
                    return deliver_answer(core, &mut audit, answer);
                }
                let kind = match runs {
                    0 => refusal.kind(),
                    _ => ErrorKind::TargetLost,
                };
                let retry = (runs == 0).then(|| refusal.retry_after());
                return failure_response(core, &mut audit, kind, retry);
            }
        };
        audit.note_target(&hold);
        let may_repeat = call.route.repeat == RepeatPolicy::Idempotent;
        let has_more = may_repeat && runs + 1 < call.route.max_attempts;
        let until = match has_more {
            true => second_try_at(&call).min(deadline),
            false => deadline,
        };
        let end = attempt(core, &call, &mut hold, until, &mut audit).await;
        need.excluded.push(hold.target.clone());
        drop(hold);
        let is_over = Instant::now() >= deadline;
        match end {
            AttemptEnd::Deliver(answer) => return deliver_answer(core, &mut audit, answer),
            AttemptEnd::Unsent if !is_over => continue,
            AttemptEnd::Barred(kind, retry) => {
                return match (failed, runs) {
                    (Some(answer), _) => deliver_answer(core, &mut audit, answer),
                    (None, 0) => failure_response(core, &mut audit, kind, retry),
                    (None, _) => failure_response(core, &mut audit, ErrorKind::TargetLost, None),
                };
            }
            AttemptEnd::Unsent | AttemptEnd::Refused => {}
            AttemptEnd::Failed(answer) => {
                runs += 1;
                failed = Some(answer);
            }
            AttemptEnd::Lost | AttemptEnd::TimedOut => runs += 1,
        }
        let can_go_on = runs == 0 || (may_repeat && runs < call.route.max_attempts);
        if is_over || !can_go_on || !core.take_retry(&call.service) {
            return match (failed, runs, is_over) {
                (Some(answer), _, _) => deliver_answer(core, &mut audit, answer),
                (None, 0, _) => {
                    let kind = ErrorKind::Overloaded;
                    failure_response(core, &mut audit, kind, Some(REFUSED_RETRY))
                }
                (None, _, true) => {
                    failure_response(core, &mut audit, ErrorKind::DeadlineExceeded, None)
                }
                (None, _, false) => failure_response(core, &mut audit, ErrorKind::TargetLost, None),
            };
        }
    }
    match (failed, runs) {
        (Some(answer), _) => deliver_answer(core, &mut audit, answer),
        (None, 0) => failure_response(core, &mut audit, ErrorKind::NoTarget, Some(REFUSED_RETRY)),
        (None, _) => failure_response(core, &mut audit, ErrorKind::TargetLost, None),
    }
}

/// When a call that may be repeated is sent to a second target.
fn second_try_at(call: &CallInput) -> Instant {
    Instant::now() + Duration::from(call.route.latency_target * SECOND_TRY_FACTOR)
}

async fn attempt(
    core: &Arc<GatewayCore>,
    call: &CallInput,
    hold: &mut CapacityReservation,
    until: Instant,
    audit: &mut CallAudit,
) -> AttemptEnd {
    let target = hold.target.clone();
    let end = send_call(core, call, hold, None, until).await;
    end.explain(&target, audit);
    let head = match end {
        SendEnd::Head(head) => head,
        SendEnd::Refused(_) => return AttemptEnd::Refused,
        SendEnd::Unsent(_) => return AttemptEnd::Unsent,
        SendEnd::Barred(bar) => {
            return match bar.caller_error() {
                Some((kind, retry)) => AttemptEnd::Barred(kind, retry),
                None => AttemptEnd::Unsent,
            };
        }
        SendEnd::Lost(_) => return AttemptEnd::Lost,
        SendEnd::TimedOut => return AttemptEnd::TimedOut,
    };
    audit.note_first();
    match read_answer(core, *head, until).await {
        Ok(answer) if answer.status.is_server_error() => {
            hold.finish_send();
            hold.record_outcome(TargetOutcome::Failed);
            audit.explain(format!("{target} failed with {}", answer.status));
            AttemptEnd::Failed(answer)
        }
        Ok(answer) => {
            note_answered(core, call, hold, answer.status);
            AttemptEnd::Deliver(answer)
        }
        Err(reason) => {
            note_broken(core, call, hold);
            audit.explain(format!("{target} broke off: {reason}"));
            AttemptEnd::Lost
        }
    }
}
