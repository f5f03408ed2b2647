use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{ClockTime, EventKind, RanState, RequestId, TargetName, TimeSpan};
use bytes::Bytes;
use calls::{CallAction, CallEvent, CallFailure, CallMachine, ConnectionNumber};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sched::DispatchOutcome;
use tokio::time::{sleep, timeout};
use web::{BodyError, PooledConnection, RequestError, ReusePolicy, WebBody, full_body};

use super::{ServiceBody, ServiceJob};
use crate::wire::{ADMITTED_HEADER, DEADLINE_HEADER, read_retry_after};
use crate::{AnswerHead, CallPlacement, NodeCore};

/// Name under which the call machine knows the answer of a service, which has no generations.
const ANSWER_NAME: &str = "answer";
/// Longest wait when nothing is due.
const IDLE_WAIT: TimeSpan = TimeSpan::from_secs(3_600);

/// What a service call has for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceStep {
    /// Status and type of the answer.
    Head(AnswerHead),
    /// A part of the body.
    Chunk(Bytes),
    /// The whole answer was read.
    End,
    /// The call failed.
    Failed(CallFailure),
    /// The work goes on, but this caller gets an error now.
    Detached(CallFailure),
}

/// Carries out the attempts of one service call.
pub struct ServiceRelay {
    core: Arc<NodeCore>,
    job: ServiceJob,
    machine: CallMachine,
    actions: VecDeque<CallAction>,
    scratch: Vec<CallAction>,
    connection: Option<PooledConnection>,
    answer: Option<Incoming>,
    timer: Option<ClockTime>,
    placed: bool,
    ended: bool,
}

impl ServiceRelay {
    /// Creates the relay of a job; nothing is sent before the first call of `next_step`.
    pub fn new(core: Arc<NodeCore>, job: ServiceJob) -> Self {
        let mut machine = CallMachine::new(job.plan.clone());
        let mut scratch = Vec::new();
        machine.start(core.clock.now(), &mut scratch);
        Self {
            core,
            job,
            machine,
            actions: scratch.drain(..).collect(),
            scratch,
            connection: None,
            answer: None,
            timer: None,
            placed: false,
            ended: false,
        }
    }

    /// Returns the next part of the answer; `None` after the last one.
    pub async fn next_step(&mut self) -> Option<ServiceStep> {
        while !self.ended {
            if let Some(step) = self.carry_out().await {
                return Some(step);
            }
            if self.ended {
                break;
            }
            if let Some(step) = self.read_answer().await {
                return Some(step);
            }
        }
        None
    }

    fn feed(&mut self, event: CallEvent<'_>) {
        let now = self.core.clock.now();
        self.machine.on_event(now, event, &mut self.scratch);
        self.actions.extend(self.scratch.drain(..));
    }

    async fn carry_out(&mut self) -> Option<ServiceStep> {
        while let Some(action) = self.actions.pop_front() {
            match action {
                CallAction::ChooseTarget { exclude, retry } => {
                    self.choose_target(exclude, retry).await;
                }
                CallAction::Connect {
                    connection: number,
                    target,
                } => self.connect(number, &target).await,
                CallAction::Send {
                    connection: number,
                    target,
                    time_left,
                } => {
                    if let Some(head) = self.send(number, &target, time_left).await {
                        return Some(ServiceStep::Head(head));
                    }
                }
                CallAction::SetTimer { at } => self.timer = Some(at),
                CallAction::CloseConnection { .. } => {
                    self.connection = None;
                    self.answer = None;
                }
                CallAction::Detach(failure) => return Some(ServiceStep::Detached(failure)),
                CallAction::Finish { .. } => {
                    self.leave_target(DispatchOutcome::Complete);
                    self.note(EventKind::RequestFinished, "");
                    self.core.relay.metrics.count_outcome("complete");
                    self.ended = true;
                    return Some(ServiceStep::End);
                }
                CallAction::Fail(failure) => {
                    self.leave_target(self.attempt_outcome());
                    self.note(EventKind::RequestFailed, failure.kind.into());
                    self.core.relay.metrics.count_outcome(failure.kind.into());
                    self.ended = true;
                    return Some(ServiceStep::Failed(failure));
                }
                CallAction::Abandon { .. } => self.ended = true,
                // A service has neither tokens nor a way to resume or cancel.
                CallAction::Resume { .. }
                | CallAction::Deliver { .. }
                | CallAction::Drop
                | CallAction::DiscardAnswer
                | CallAction::Cancel { .. } => {}
            }
        }
        None
    }

    async fn choose_target(&mut self, exclude: Vec<TargetName>, retry: bool) {
        self.leave_target(self.attempt_outcome());
        let mut item = self.job.item.clone();
        item.excluded = exclude;
        let sched = self.core.relay.sched.clone();
        let print = self.job.print;
        // Also covers a call that is dropped while it waits.
        self.placed = true;
        let Some(placement) = self.or_timer(sched.submit(item, print, retry)).await else {
            self.feed(CallEvent::Timer);
            return;
        };
        self.placed = matches!(placement, CallPlacement::Dispatch { .. });
        match placement {
            CallPlacement::Dispatch { target, .. } => {
                self.feed(CallEvent::TargetChosen { target });
            }
            CallPlacement::Refuse { kind, retry_after } => {
                self.feed(CallEvent::NoTarget { kind, retry_after });
            }
            CallPlacement::RetryRefused => {
                self.feed(CallEvent::RetryRefused { retry_after: None });
            }
        }
    }

    async fn connect(&mut self, number: ConnectionNumber, target: &TargetName) {
        let address = self.core.view.get().address(target);
        let Some(address) = address else {
            self.feed(CallEvent::ConnectFailed { connection: number });
            return;
        };
        // The machine sets the timer of the connection attempt right behind the attempt itself.
        if let Some(CallAction::SetTimer { at }) = self.actions.front() {
            self.timer = Some(*at);
            self.actions.pop_front();
        }
        // A fresh connection leaves no doubt whether the request was sent.
        let pool = self.core.pool.clone();
        match self
            .or_timer(pool.connect(address, ReusePolicy::NewOnly))
            .await
        {
            None => self.feed(CallEvent::Timer),
            Some(Ok(connection)) => {
                self.connection = Some(connection);
                // The timer of the connection attempt; the machine sets that of the deadline anew.
                self.timer = None;
                self.feed(CallEvent::Connected { connection: number });
            }
            Some(Err(error)) => {
                self.note(EventKind::AttemptFailed, &format!("{target}: {error}"));
                self.leave_target(DispatchOutcome::Failed);
                self.core.relay.sched.note_failure(target.clone(), None);
                self.core.fleet.probe(target.clone());
                self.feed(CallEvent::ConnectFailed { connection: number });
            }
        }
    }

    async fn send(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        time_left: Option<TimeSpan>,
    ) -> Option<AnswerHead> {
        let address = self.core.view.get().address(target);
        let (Some(mut connection), Some(address)) = (self.connection.take(), address) else {
            self.feed(CallEvent::ConnectionLost { connection: number });
            return None;
        };
        if !self.core.relay.may_send(target) {
            self.leave_target(DispatchOutcome::Failed);
            self.feed(CallEvent::ConnectFailed { connection: number });
            return None;
        }
        let Some(body) = self.take_body() else {
            self.feed(CallEvent::ConnectionLost { connection: number });
            return None;
        };
        let mut request = self.make_request(address, body);
        if let Some(left) = time_left {
            let millis = left.as_millis();
            request.headers_mut().insert(DEADLINE_HEADER, millis.into());
        }
        self.feed(CallEvent::FirstByteSent { connection: number });
        self.core.relay.sched.note_sent(self.request().clone());
        self.note(EventKind::AttemptSent, target.as_str());
        self.core.relay.metrics.count_attempt();
        match self.or_timer(connection.send(request)).await {
            None => {
                self.feed(CallEvent::Timer);
                None
            }
            Some(Ok(response)) => self.take_head(number, response, connection),
            Some(Err((error, _))) => {
                self.take_error(number, target, &error);
                None
            }
        }
    }

    fn take_error(&mut self, number: ConnectionNumber, target: &TargetName, error: &RequestError) {
        self.note(EventKind::AttemptFailed, &format!("{target}: {error}"));
        self.core.relay.sched.note_failure(target.clone(), None);
        self.core.fleet.probe(target.clone());
        let retry_after = None;
        match error.is_unsent() {
            true => self.feed(CallEvent::NotAdmitted {
                connection: number,
                retry_after,
            }),
            false => self.feed(CallEvent::ConnectionLost { connection: number }),
        }
    }

    fn take_head(
        &mut self,
        number: ConnectionNumber,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) -> Option<AnswerHead> {
        let refused = response.headers().get(ADMITTED_HEADER);
        let unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if unavailable && refused.is_some_and(|value| value == "no") {
            let retry_after = read_retry_after(response.headers());
            self.feed(CallEvent::NotAdmitted {
                connection: number,
                retry_after,
            });
            return None;
        }
        self.feed(CallEvent::Accepted {
            connection: number,
            generation: ANSWER_NAME,
        });
        // From here on the caller has a part of the answer.
        self.feed(CallEvent::AnswerCommitted);
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let head = AnswerHead {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or_default().into(),
        };
        self.answer = Some(response.into_body());
        self.connection = Some(connection);
        Some(head)
    }

    async fn read_answer(&mut self) -> Option<ServiceStep> {
        let Some(mut answer) = self.answer.take() else {
            self.wait_for_timer().await;
            return None;
        };
        let number = self.machine.current_connection()?;
        let Some(next) = self.or_timer(answer.frame()).await else {
            self.answer = Some(answer);
            self.feed(CallEvent::Timer);
            return None;
        };
        match next {
            None => {
                if let Some(connection) = self.connection.take() {
                    self.core.pool.release(connection);
                }
                self.feed(CallEvent::EndOfStream {
                    connection: number,
                    generation: ANSWER_NAME,
                    count: 0,
                });
                None
            }
            Some(Ok(frame)) => {
                self.answer = Some(answer);
                frame.into_data().ok().map(ServiceStep::Chunk)
            }
            Some(Err(_)) => {
                self.feed(CallEvent::ConnectionLost { connection: number });
                None
            }
        }
    }

    fn take_body(&mut self) -> Option<WebBody> {
        match &mut self.job.body {
            ServiceBody::Buffered(body) => Some(full_body(body.clone())),
            ServiceBody::Streaming(body) => {
                let wait = Duration::from(self.core.limits.read_wait);
                let body = body.take()?;
                Some(stream_upload(body, wait))
            }
        }
    }

    fn make_request(&self, address: SocketAddr, body: WebBody) -> Request<WebBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.job.method.clone();
        // The path was a valid one when the caller sent it.
        *request.uri_mut() = self.job.path.parse().unwrap_or_default();
        *request.headers_mut() = self.job.headers.clone();
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Ok(id) = HeaderValue::from_str(self.request().as_str()) {
            headers.insert("x-request-id", id);
        }
        request
    }

    async fn wait_for_timer(&mut self) {
        let wait = self.wait_left();
        sleep(wait).await;
        if self.timer.is_some_and(|at| at <= self.core.clock.now()) {
            self.timer = None;
            self.feed(CallEvent::Timer);
        }
    }

    /// Waits for a result or for the timer of the machine.
    async fn or_timer<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let wait = self.wait_left();
        match timeout(wait, work).await {
            Ok(done) => Some(done),
            Err(_) => {
                self.timer = None;
                None
            }
        }
    }

    fn wait_left(&self) -> Duration {
        let now = self.core.clock.now();
        Duration::from(self.timer.map_or(IDLE_WAIT, |at| at - now))
    }

    fn attempt_outcome(&self) -> DispatchOutcome {
        match self.machine.ran() {
            RanState::No => DispatchOutcome::NotAdmitted,
            _ => DispatchOutcome::Failed,
        }
    }

    fn leave_target(&mut self, state: DispatchOutcome) {
        if std::mem::replace(&mut self.placed, false) {
            let request = self.request().clone();
            self.core.relay.sched.finish(request, state);
        }
    }

    fn request(&self) -> &RequestId {
        &self.job.plan.request
    }

    fn note(&self, kind: EventKind, detail: &str) {
        self.core.note(kind, self.request(), detail);
    }
}

impl Drop for ServiceRelay {
    /// A caller that goes away drops the relay in the middle of a step.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.note(EventKind::CallerGone, "");
        self.core.relay.metrics.count_outcome("caller_gone");
        let request = self.request().clone();
        self.core.relay.sched.withdraw(request);
    }
}

/// Passes an upload on; a part that does not arrive in time breaks it off.
fn stream_upload(body: Incoming, wait: Duration) -> WebBody {
    let parts = futures_util::stream::unfold(Some(body), move |state| async move {
        let mut body = state?;
        match timeout(wait, body.frame()).await {
            Err(_) => Some((Err(BodyError::TimedOut), None)),
            Ok(None) => None,
            Ok(Some(Err(source))) => Some((Err(BodyError::Broken { source }), None)),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                Some((Ok(data), Some(body)))
            }
        }
    });
    web::stream_body(parts)
}
