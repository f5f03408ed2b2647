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
use web::{BodyError, PooledSender, SendPhase, WebBody, WebError, full_body};

use super::{ServiceBody, ServiceJob};
use crate::headers::{ADMITTED_HEADER, REQUEST_TIMEOUT_HEADER, read_retry_after};
use crate::{AnswerHead, CallPlacement, NodeCore};

/// Generation id that the call machine gets for the answer of a service, which has no generations.
const ANSWER_GENERATION: &str = "answer";
/// Maximum wait when no timer is set.
const IDLE_WAIT: TimeSpan = TimeSpan::from_secs(3_600);

/// What a service relay produces for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceOutput {
    /// Status and content type of the answer.
    Head(AnswerHead),
    /// A part of the body.
    Chunk(Bytes),
    /// The answer is complete.
    End,
    /// The call failed.
    Failed(CallFailure),
    /// This caller gets an error now, while the call continues.
    Detached(CallFailure),
}

/// Relays one service call: passes what happens to the call machine and executes the actions that
/// it returns.
pub struct ServiceRelay {
    core: Arc<NodeCore>,
    job: ServiceJob,
    machine: CallMachine,
    /// Actions of the machine that are not executed yet.
    actions: VecDeque<CallAction>,
    /// Empty between two events; reused to spare an allocation for each event.
    action_buffer: Vec<CallAction>,
    connection: Option<PooledSender>,
    /// Body of the response, while it is being read.
    answer: Option<Incoming>,
    /// When the machine wants its next `Timer` event.
    timer: Option<ClockTime>,
    /// Whether the scheduling actor has the call: it waits for a target or is assigned to one.
    placed: bool,
    ended: bool,
}

impl ServiceRelay {
    /// Creates the relay of a job; nothing is sent before the first call of `next_output`.
    pub fn new(core: Arc<NodeCore>, job: ServiceJob) -> Self {
        let mut machine = CallMachine::new(job.plan.clone());
        let mut action_buffer = Vec::new();
        machine.start(core.clock.now(), &mut action_buffer);
        Self {
            core,
            job,
            machine,
            actions: action_buffer.drain(..).collect(),
            action_buffer,
            connection: None,
            answer: None,
            timer: None,
            placed: false,
            ended: false,
        }
    }

    /// Returns the next output for the caller; `None` after the last one.
    pub async fn next_output(&mut self) -> Option<ServiceOutput> {
        while !self.ended {
            if let Some(output) = self.run_actions().await {
                return Some(output);
            }
            if self.ended {
                break;
            }
            if let Some(output) = self.read_answer().await {
                return Some(output);
            }
        }
        None
    }

    /// Passes an event to the machine and queues the actions that it returns.
    fn handle_event(&mut self, event: CallEvent<'_>) {
        let now = self.core.clock.now();
        self.machine.on_event(now, event, &mut self.action_buffer);
        self.actions.extend(self.action_buffer.drain(..));
    }

    /// Executes queued actions until one has an output for the caller.
    async fn run_actions(&mut self) -> Option<ServiceOutput> {
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
                        return Some(ServiceOutput::Head(head));
                    }
                }
                CallAction::SetTimer { at } => self.timer = Some(at),
                CallAction::CloseConnection { .. } => {
                    self.connection = None;
                    self.answer = None;
                }
                CallAction::Detach(failure) => return Some(ServiceOutput::Detached(failure)),
                CallAction::Finish { .. } => {
                    self.release_target(DispatchOutcome::Complete);
                    self.record(EventKind::RequestFinished, "");
                    self.core.relay.metrics.count_outcome("complete");
                    self.ended = true;
                    return Some(ServiceOutput::End);
                }
                CallAction::Fail(failure) => {
                    self.release_target(self.attempt_outcome());
                    self.record(EventKind::RequestFailed, failure.kind.into());
                    self.core.relay.metrics.count_outcome(failure.kind.into());
                    self.ended = true;
                    return Some(ServiceOutput::Failed(failure));
                }
                CallAction::Abandon { .. } => self.ended = true,
                // A service call has no tokens and can be neither resumed nor cancelled.
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
        self.release_target(self.attempt_outcome());
        let mut item = self.job.item.clone();
        item.excluded = exclude;
        let sched = self.core.relay.sched.clone();
        let fingerprint = self.job.fingerprint;
        // Set before the wait, so that a call that ends while it waits is released as well.
        self.placed = true;
        let Some(placement) = self
            .race_timer(sched.submit(item, fingerprint, retry))
            .await
        else {
            self.handle_event(CallEvent::Timer);
            return;
        };
        self.placed = matches!(placement, CallPlacement::Dispatch { .. });
        match placement {
            CallPlacement::Dispatch { target, .. } => {
                self.handle_event(CallEvent::TargetChosen { target });
            }
            CallPlacement::Refuse { kind, retry_after } => {
                self.handle_event(CallEvent::NoTarget { kind, retry_after });
            }
            CallPlacement::RetryRefused => {
                self.handle_event(CallEvent::RetryRefused { retry_after: None });
            }
        }
    }

    async fn connect(&mut self, number: ConnectionNumber, target: &TargetName) {
        let address = self.core.view.get().target_address(target);
        let Some(address) = address else {
            self.handle_event(CallEvent::ConnectFailed { connection: number });
            return;
        };
        // The machine puts the timer of the connection attempt right after the `Connect` action.
        if let Some(CallAction::SetTimer { at }) = self.actions.front() {
            self.timer = Some(*at);
            self.actions.pop_front();
        }
        // With a fresh connection it is certain whether the request was sent.
        let pool = self.core.pool.clone();
        match self
            .race_timer(pool.connect(address, SendPhase::Fresh))
            .await
        {
            None => self.handle_event(CallEvent::Timer),
            Some(Ok(connection)) => {
                self.connection = Some(connection);
                // Clears the timer of the connection attempt; the machine sets the one of the
                // deadline again.
                self.timer = None;
                self.handle_event(CallEvent::Connected { connection: number });
            }
            Some(Err(error)) => {
                self.record(EventKind::AttemptFailed, &format!("{target}: {error}"));
                self.release_target(DispatchOutcome::Failed);
                self.core.relay.sched.report_failure(target.clone(), None);
                self.core.fleet.probe(target.clone());
                self.handle_event(CallEvent::ConnectFailed { connection: number });
            }
        }
    }

    async fn send(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        time_left: Option<TimeSpan>,
    ) -> Option<AnswerHead> {
        let address = self.core.view.get().target_address(target);
        let (Some(mut connection), Some(address)) = (self.connection.take(), address) else {
            self.handle_event(CallEvent::ConnectionLost { connection: number });
            return None;
        };
        if !self.core.relay.may_send(target) {
            self.release_target(DispatchOutcome::Failed);
            self.handle_event(CallEvent::ConnectFailed { connection: number });
            return None;
        }
        let Some(body) = self.take_body() else {
            self.handle_event(CallEvent::ConnectionLost { connection: number });
            return None;
        };
        let mut request = self.make_request(address, body);
        if let Some(left) = time_left {
            let millis = left.as_millis();
            request
                .headers_mut()
                .insert(REQUEST_TIMEOUT_HEADER, millis.into());
        }
        self.handle_event(CallEvent::FirstByteSent { connection: number });
        self.core.relay.sched.mark_sent(self.request().clone());
        self.record(EventKind::AttemptSent, target.as_str());
        self.core.relay.metrics.count_attempt();
        match self.race_timer(connection.send(request)).await {
            None => {
                self.handle_event(CallEvent::Timer);
                None
            }
            Some(Ok(response)) => self.handle_response_head(number, response, connection),
            Some(Err((error, _))) => {
                self.handle_send_error(number, target, &error);
                None
            }
        }
    }

    /// Reports that the request could not be sent or its response head did not arrive.
    fn handle_send_error(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        error: &WebError,
    ) {
        self.record(EventKind::AttemptFailed, &format!("{target}: {error}"));
        self.core.relay.sched.report_failure(target.clone(), None);
        self.core.fleet.probe(target.clone());
        let retry_after = None;
        match error.is_unsent() {
            true => self.handle_event(CallEvent::NotAdmitted {
                connection: number,
                retry_after,
            }),
            false => self.handle_event(CallEvent::ConnectionLost { connection: number }),
        }
    }

    /// Reports a response head to the machine and returns it for the caller; `None` if the service
    /// did not admit the request.
    fn handle_response_head(
        &mut self,
        number: ConnectionNumber,
        response: Response<Incoming>,
        connection: PooledSender,
    ) -> Option<AnswerHead> {
        let refused = response.headers().get(ADMITTED_HEADER);
        let unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if unavailable && refused.is_some_and(|value| value == "no") {
            let retry_after = read_retry_after(response.headers());
            self.handle_event(CallEvent::NotAdmitted {
                connection: number,
                retry_after,
            });
            return None;
        }
        self.handle_event(CallEvent::Accepted {
            connection: number,
            generation: ANSWER_GENERATION,
        });
        // The head goes to the caller next, so no other attempt may follow.
        self.handle_event(CallEvent::AnswerCommitted);
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

    /// Waits for the next part of the response body or for the timer.
    async fn read_answer(&mut self) -> Option<ServiceOutput> {
        let Some(mut answer) = self.answer.take() else {
            self.wait_for_timer().await;
            return None;
        };
        let number = self.machine.current_connection()?;
        let Some(next) = self.race_timer(answer.frame()).await else {
            self.answer = Some(answer);
            self.handle_event(CallEvent::Timer);
            return None;
        };
        match next {
            None => {
                if let Some(connection) = self.connection.take() {
                    self.core.pool.release(connection);
                }
                self.handle_event(CallEvent::EndOfStream {
                    connection: number,
                    generation: ANSWER_GENERATION,
                    count: 0,
                });
                None
            }
            Some(Ok(frame)) => {
                self.answer = Some(answer);
                frame.into_data().ok().map(ServiceOutput::Chunk)
            }
            Some(Err(_)) => {
                self.handle_event(CallEvent::ConnectionLost { connection: number });
                None
            }
        }
    }

    /// Returns the body for an attempt; `None` if an earlier attempt took a streaming one.
    fn take_body(&mut self) -> Option<WebBody> {
        match &mut self.job.body {
            ServiceBody::Buffered(body) => Some(full_body(body.clone())),
            ServiceBody::Streaming(body) => {
                let wait = Duration::from(self.core.limits.read_timeout);
                let body = body.take()?;
                Some(stream_upload(body, wait))
            }
        }
    }

    fn make_request(&self, address: SocketAddr, body: WebBody) -> Request<WebBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.job.method.clone();
        // The path is part of the caller's request, which had a valid one.
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
        let wait = self.time_to_timer();
        sleep(wait).await;
        if self.timer.is_some_and(|at| at <= self.core.clock.now()) {
            self.timer = None;
            self.handle_event(CallEvent::Timer);
        }
    }

    /// Waits for `work`; `None` if the timer of the machine expires first.
    async fn race_timer<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let wait = self.time_to_timer();
        match timeout(wait, work).await {
            Ok(done) => Some(done),
            Err(_) => {
                self.timer = None;
                None
            }
        }
    }

    fn time_to_timer(&self) -> Duration {
        let now = self.core.clock.now();
        Duration::from(self.timer.map_or(IDLE_WAIT, |at| at - now))
    }

    /// Outcome of an attempt that failed or is replaced.
    fn attempt_outcome(&self) -> DispatchOutcome {
        match self.machine.ran() {
            RanState::No => DispatchOutcome::NotAdmitted,
            _ => DispatchOutcome::Failed,
        }
    }

    /// Ends the placement of the attempt at the scheduling actor.
    fn release_target(&mut self, state: DispatchOutcome) {
        if std::mem::replace(&mut self.placed, false) {
            let request = self.request().clone();
            self.core.relay.sched.finish(request, state);
        }
    }

    fn request(&self) -> &RequestId {
        &self.job.plan.request
    }

    fn record(&self, kind: EventKind, detail: &str) {
        self.core.record_for_request(kind, self.request(), detail);
    }
}

impl Drop for ServiceRelay {
    /// Withdraws the call if its caller disconnected, which drops the relay before it has ended.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.record(EventKind::CallerGone, "");
        self.core.relay.metrics.count_outcome("caller_gone");
        let request = self.request().clone();
        self.core.relay.sched.cancel(request);
    }
}

/// Passes an upload on; it is aborted if a part takes longer than `wait` to arrive.
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
