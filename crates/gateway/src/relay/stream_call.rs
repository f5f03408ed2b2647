use std::sync::Arc;

use base::{ErrorKind, TimeSpan};
use http::Response;
use web::WebBody;

use super::CallAudit;
use super::call_input::{CallInput, strip_hop_headers};
use super::caller_feed::CallerFeed;
use super::failure_response::{failure_response, note_stop};
use super::stream_pump::{PumpParts, StreamPump};
use super::target_send::{SendEnd, TargetHead, read_answer, send_call};
use super::whole_answer::deliver_answer;
use crate::coordinator::reserve_capacity;
use crate::{CapacityReservation, GatewayCore};

/// Targets that are tried for one stream when nothing was sent or it was refused.
const SEND_TRIES: usize = 4;
/// Times its latency target for which a stream waits for room; callers give up at four times, and
/// the prompt has to be read by then.
const LINE_TARGETS: u64 = 3;
/// Advice to callers whose stream was refused by every target that was tried.
const REFUSED_RETRY: TimeSpan = TimeSpan::new(500);

/// Relays a call whose answer is a stream of events.
pub async fn relay_stream(
    core: Arc<GatewayCore>,
    call: CallInput,
    mut audit: CallAudit,
) -> Response<WebBody> {
    let deadline = call.deadline_instant(core.now());
    let mut need = call.need(&core);
    let line_wait = call.route.latency_target * LINE_TARGETS;
    let line_end = call.arrived + line_wait;
    for _ in 0..SEND_TRIES {
        let now = core.now();
        let patience = line_end.since(now).min(call.remaining(now));
        let wish = call.wish(need.clone(), patience);
        let acquired = reserve_capacity(&core, wish).await;
        let mut hold = match acquired {
            Ok(hold) => hold,
            Err(refusal) => {
                let retry = Some(refusal.retry_after());
                return failure_response(&core, &mut audit, refusal.kind(), retry);
            }
        };
        audit.note_target(&hold);
        let target = hold.target.clone();
        need.excluded.push(target.clone());
        let end = send_call(&core, &call, &mut hold, None, deadline).await;
        end.explain(&target, &mut audit);
        match end {
            SendEnd::Head(head) if head.response.status().is_success() => {
                return start_pump(core, call, audit, hold, *head);
            }
            SendEnd::Head(head) => {
                hold.finish_send();
                return deliver_failure(&core, audit, *head, deadline).await;
            }
            SendEnd::Barred(bar) => {
                if let Some((kind, retry)) = bar.caller_error() {
                    return failure_response(&core, &mut audit, kind, retry);
                }
            }
            SendEnd::Unsent(_) => {}
            SendEnd::Refused(_) if core.take_retry(&call.service) => {}
            SendEnd::Refused(_) => break,
            SendEnd::Lost(_) => {
                return failure_response(&core, &mut audit, ErrorKind::TargetLost, None);
            }
            SendEnd::TimedOut => {
                return failure_response(&core, &mut audit, ErrorKind::DeadlineExceeded, None);
            }
        }
    }
    failure_response(
        &core,
        &mut audit,
        ErrorKind::Overloaded,
        Some(REFUSED_RETRY),
    )
}

fn start_pump(
    core: Arc<GatewayCore>,
    call: CallInput,
    mut audit: CallAudit,
    hold: CapacityReservation,
    head: TargetHead,
) -> Response<WebBody> {
    audit.finish(head.response.status().as_u16(), "caller_gone");
    let mut headers = head.response.headers().clone();
    strip_hop_headers(&mut headers);
    note_stop(&core, &mut headers);
    let status = head.response.status();
    let (feed, body) = CallerFeed::new();
    let pump = StreamPump::new(PumpParts {
        core,
        call,
        audit,
        hold,
        head,
        feed,
    });
    tokio::spawn(pump.run());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn deliver_failure(
    core: &GatewayCore,
    mut audit: CallAudit,
    head: TargetHead,
    deadline: tokio::time::Instant,
) -> Response<WebBody> {
    audit.note_first();
    match read_answer(core, head, deadline).await {
        Ok(answer) => deliver_answer(core, &mut audit, answer),
        Err(reason) => {
            audit.explain(reason);
            failure_response(core, &mut audit, ErrorKind::TargetLost, None)
        }
    }
}
