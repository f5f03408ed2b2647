use std::sync::Arc;

use base::TargetName;
use entry::TargetOutcome;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use web::{PooledSender, SendPhase, full_body};

use super::CallAudit;
use super::answer_word::TargetRun;
use super::call_input::{CallInput, strip_hop_headers};
use super::crash_watch::note_broken;
use super::whole_answer::WholeAnswer;
use crate::state::{SendCheck, SendRefusal};
use crate::{CapacityReservation, GatewayCore, ResumePoint, SendHead};

/// Largest answer that is held back until it is complete.
const ANSWER_LIMIT: usize = 8 << 20;

/// Rank at an engine of the most urgent route; routes of lower rank follow.
const URGENCY_BASE: u8 = 3;
/// Last rank that an engine knows.
const URGENCY_LIMIT: u8 = 9;

/// How one send to a target went until the head of its answer.
pub enum SendEnd {
    /// The target answers.
    Head(Box<TargetHead>),
    /// The target states that it did not run the call.
    Refused(StatusCode),
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, as it must not be any more.
    Barred(SendRefusal),
    /// The call was sent and may have run.
    Lost(String),
    /// No head arrived in time; the call may have run.
    TimedOut,
}

impl SendEnd {
    /// Adds to the audit why there is no head.
    pub fn explain(&self, target: &TargetName, audit: &mut CallAudit) {
        match self {
            Self::Head(_) => {}
            Self::Refused(status) => audit.explain(format!("{target} refused with {status}")),
            Self::Unsent(reason) => audit.explain(format!("{target} not reached: {reason}")),
            Self::Barred(bar) => audit.explain(format!("not sent to {target}: {bar}")),
            Self::Lost(reason) => audit.explain(format!("{target} lost: {reason}")),
            Self::TimedOut => audit.explain(format!("{target} gave no answer in time")),
        }
    }
}

/// Head of a target's own answer and the connection on which the rest arrives.
pub struct TargetHead {
    /// Head with the unread body.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub connection: PooledSender,
    /// Who answers.
    pub run: TargetRun,
}

impl TargetHead {
    /// Whether the end of the body can be told from a broken connection.
    pub fn is_framed(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Sends a call to the target of `hold` on a connection of its own, so that no late or extra bytes
/// of another answer can be taken for its answer.
pub async fn send_call(
    core: &Arc<GatewayCore>,
    call: &CallInput,
    hold: &mut CapacityReservation,
    resume: Option<&ResumePoint>,
    until: Instant,
) -> SendEnd {
    if let Err(bar) = check_now(core, call, hold, resume.is_some()) {
        return SendEnd::Barred(bar);
    }
    let connected = timeout_at(until, core.pool.connect(hold.address, SendPhase::Fresh)).await;
    let mut connection = match connected {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            hold.record_outcome(TargetOutcome::Unreachable);
            return SendEnd::Unsent(error.to_string());
        }
        Err(_) => return SendEnd::Unsent("no time left to connect".to_owned()),
    };
    // Connecting takes time as well.
    if let Err(bar) = check_now(core, call, hold, resume.is_some()) {
        return SendEnd::Barred(bar);
    }
    hold.begin_send(call.print);
    let request = make_request(core, call, hold, resume);
    let sent = timeout_at(until, connection.send(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err((error, Some(_)))) => {
            hold.finish_send();
            hold.record_outcome(TargetOutcome::Unreachable);
            return SendEnd::Unsent(error.to_string());
        }
        Ok(Err((error, None))) => {
            note_broken(core, call, hold);
            return SendEnd::Lost(error.to_string());
        }
        Err(_) => {
            note_broken(core, call, hold);
            return SendEnd::TimedOut;
        }
    };
    let status = response.status();
    let codec = &core.ports.calls;
    let head = codec.read_answer(&call.head.request, status, response.headers());
    let run = TargetRun::of(hold);
    run.note_head(core, &head);
    if head.is_refused {
        hold.finish_send();
        if head.quiet.is_none() {
            hold.record_outcome(TargetOutcome::Refused);
        }
        return SendEnd::Refused(status);
    }
    if !head.is_genuine {
        note_broken(core, call, hold);
        return SendEnd::Lost(format!(
            "answer with status {status} is not the target's own"
        ));
    }
    SendEnd::Head(Box::new(TargetHead {
        response,
        connection,
        run,
    }))
}

/// Whether the call may be sent by what is known now.
fn check_now(
    core: &GatewayCore,
    call: &CallInput,
    hold: &CapacityReservation,
    is_resume: bool,
) -> Result<(), SendRefusal> {
    let check = SendCheck {
        print: call.print,
        target: &hold.target,
        route: (&call.host, call.target.path()),
        key: call.head.key.as_ref(),
        version: call.version,
        is_resume,
    };
    core.with_state(|state, now| state.check_send(now, &check))
}

/// Reads a whole answer; the error tells why it is not complete.
pub async fn read_answer(
    core: &GatewayCore,
    head: TargetHead,
    until: Instant,
) -> Result<WholeAnswer, String> {
    let (mut parts, body) = head.response.into_parts();
    let connection = head.connection;
    let collected = timeout_at(until, Limited::new(body, ANSWER_LIMIT).collect()).await;
    drop(connection);
    let body = match collected {
        Ok(Ok(body)) => {
            if let Some(trailers) = body.trailers() {
                head.run.note_trailers(core, trailers);
            }
            body.to_bytes()
        }
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("answer not complete in time".to_owned()),
    };
    strip_hop_headers(&mut parts.headers);
    Ok(WholeAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn make_request(
    core: &GatewayCore,
    call: &CallInput,
    hold: &CapacityReservation,
    resume: Option<&ResumePoint>,
) -> Request<web::WebBody> {
    let mut headers = call.headers.clone();
    let urgency = call.engine.map(|_| {
        let rank = URGENCY_BASE.saturating_add(call.priority.saturating_mul(2));
        rank.min(URGENCY_LIMIT)
    });
    let head = SendHead {
        remaining: call.remaining(core.now()),
        target: &hold.target,
        workspace: call.workspace.as_ref(),
        urgency,
        resume,
    };
    core.ports.calls.write_call(&mut headers, &head);
    let mut request = Request::new(full_body(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.target.clone());
    *request.headers_mut() = headers;
    request
}
