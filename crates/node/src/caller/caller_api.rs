use std::sync::Arc;

use base::{ClockTime, ErrorKind, EventKind, RanState};
use bytes::Bytes;
use calls::CallFailure;
use fleet::{DeclaredWorkspace, FleetDeclaration};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response};
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use web::{BodyError, HandlerFuture, WebBody, WebHandler, full_body, json_body, read_body};

use super::answer_body::{respond_failure, respond_retained, respond_run, respond_shared};
use super::call_input::path_of;
use super::call_service::{make_service_job, split_service};
use super::caller_auth::find_workspace;
use super::forward_call::{forward_call, forward_far, wants_far};
use super::generation_call::{generation_kind, make_job};
use super::keyed_call::{KeyedAnswer, answer_keyed};
use super::model_list::{list_models, show_model};
use super::{CallInput, CallRun, InputFault, error_response};
use crate::headers::{IDEMPOTENCY_KEY_HEADER, LAST_EVENT_ID_HEADER};
use crate::{
    CallRelay, ForwardedCall, NodeCore, NodeView, ServiceBody, ServiceRelay, SharedAnswer,
    WorkPermit,
};

/// Path that tells the platform's balancer whether the node serves callers.
const READY_PATH: &str = "/ready";
/// Prefix of the paths of single models.
const MODEL_PREFIX: &str = "/v1/models/";
/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/svc/";

/// Answers callers, and calls that other nodes pass on; clones share one node.
#[derive(Clone)]
pub struct CallerApi {
    core: Arc<NodeCore>,
}

/// What one request is handled with.
struct CallScene {
    view: Arc<NodeView>,
    fleet: Arc<FleetDeclaration>,
    permit: WorkPermit,
}

impl WebHandler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let api = self.clone();
        Box::pin(async move {
            if request.uri().path() == READY_PATH {
                return api.answer_ready();
            }
            let keyed = request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
            let answered = api.answer(request).await;
            answered.unwrap_or_else(|fault| respond_fault(fault, keyed))
        })
    }
}

impl CallerApi {
    /// Creates the interface of a node.
    pub fn new(core: Arc<NodeCore>) -> Self {
        Self { core }
    }

    fn answer_ready(&self) -> Response<WebBody> {
        let ready = self.core.is_ready();
        let mut response = Response::new(full_body(if ready { "ready" } else { "not ready" }));
        if !ready {
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<WebBody>, InputFault> {
        if head_size(&request) > self.core.limits.header_bytes {
            return Err(CallFailure::new(ErrorKind::HeadersTooLarge).into());
        }
        let scene = self.enter().await?;
        let Some(workspace) = find_workspace(&scene.fleet, request.headers()).cloned() else {
            return Err(CallFailure::new(ErrorKind::UnknownKey).into());
        };
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/models") => {
                let (view, fleet) = (&scene.view, &scene.fleet);
                Ok(list_models(&self.core, view, fleet, &workspace))
            }
            (&Method::GET, path) if path.starts_with(MODEL_PREFIX) => {
                let name = &path[MODEL_PREFIX.len()..];
                let found = show_model(&self.core, &scene.view, &scene.fleet, &workspace, name);
                found.ok_or_else(|| CallFailure::new(ErrorKind::NotFound).into())
            }
            (&Method::POST, "/v1/tickets") => self.issue_ticket(&workspace).await,
            (method, path) if generation_kind(path).is_some() => {
                let resumes = request.headers().contains_key(LAST_EVENT_ID_HEADER);
                if method != Method::POST && !(method == Method::GET && resumes) {
                    return Err(CallFailure::new(ErrorKind::MethodNotAllowed).into());
                }
                let input = self.read_input(request, workspace).await?;
                self.answer_generation(scene, input).await
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => {
                self.answer_service(scene, request, workspace).await
            }
            (_, "/v1/models" | "/v1/tickets") => {
                Err(CallFailure::new(ErrorKind::MethodNotAllowed).into())
            }
            _ => Err(CallFailure::new(ErrorKind::NotFound).into()),
        }
    }

    /// Answers a call that another node authenticated and passed on.
    pub async fn answer_forwarded(&self, call: ForwardedCall) -> Response<WebBody> {
        let keyed = call.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
        let answered = self.try_forwarded(call).await;
        answered.unwrap_or_else(|fault| respond_fault(fault, keyed))
    }

    async fn try_forwarded(&self, call: ForwardedCall) -> Result<Response<WebBody>, InputFault> {
        let scene = self.enter().await?;
        let Some(workspace) = scene.fleet.workspace(&call.workspace).cloned() else {
            return Err(CallFailure::new(ErrorKind::UnknownKey).into());
        };
        let place = match call.overflow {
            true => Some(self.enter_overflow()?),
            false => None,
        };
        let input = CallInput {
            request: self.core.new_request_id(),
            workspace,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            hops: call.hops,
            overflow: call.overflow,
            place,
            arrival: self.core.clock.now(),
        };
        if input.path.starts_with(SERVICE_PREFIX) {
            return self.answer_buffered_service(scene, input).await;
        }
        self.answer_generation(scene, input).await
    }

    /// Takes a place among the calls of other failure domains.
    fn enter_overflow(&self) -> Result<Arc<OwnedSemaphorePermit>, InputFault> {
        let place = self.core.overflow.clone().try_acquire_owned();
        place
            .map(Arc::new)
            .map_err(|_| CallFailure::new(ErrorKind::Overloaded).into())
    }

    async fn enter(&self) -> Result<CallScene, InputFault> {
        let Some(permit) = self.core.gate.enter() else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let Some((view, fleet)) = self.core.wait_for_view().await else {
            return Err(CallFailure::new(ErrorKind::NotReady).into());
        };
        Ok(CallScene {
            view,
            fleet,
            permit,
        })
    }

    async fn issue_ticket(
        &self,
        workspace: &DeclaredWorkspace,
    ) -> Result<Response<WebBody>, InputFault> {
        let Some(ticket) = self.core.claims.issue(workspace.name.clone()).await else {
            return Err(CallFailure::new(ErrorKind::Overloaded).into());
        };
        let text = ticket.to_string();
        self.core.journal.record(EventKind::TicketIssued, "");
        Ok(Response::new(json_body(&json!({ "ticket": text }))))
    }

    async fn read_input(
        &self,
        request: Request<Incoming>,
        workspace: DeclaredWorkspace,
    ) -> Result<CallInput, InputFault> {
        let arrival = self.core.clock.now();
        let (head, body) = request.into_parts();
        let limits = &self.core.limits;
        let body = read_body(body, limits.body_bytes, limits.read_timeout).await;
        let body = body.map_err(|error| body_fault(&error))?;
        let mut input = self.make_input(head, workspace, body);
        // The time that the body took counts towards the deadline.
        input.arrival = arrival;
        Ok(input)
    }

    fn make_input(
        &self,
        head: http::request::Parts,
        workspace: DeclaredWorkspace,
        body: Bytes,
    ) -> CallInput {
        let request = self.core.new_request_id();
        self.core.record_for_request(
            EventKind::RequestAccepted,
            &request,
            workspace.name.as_str(),
        );
        CallInput {
            request,
            workspace,
            path: path_of(&head.uri),
            method: head.method,
            headers: head.headers,
            body,
            hops: 0,
            overflow: false,
            place: None,
            arrival: self.core.clock.now(),
        }
    }

    async fn answer_generation(
        &self,
        scene: CallScene,
        input: CallInput,
    ) -> Result<Response<WebBody>, InputFault> {
        let key = input.key()?.map(str::to_owned);
        let job = make_job(&self.core, &scene.view, &scene.fleet, &input)?;
        let streamed = job.is_streamed();
        let relay = self.core.relay.clone();
        let permit = self.core.gate.enter();
        let Some(permit) = permit else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let place = input.place.clone();
        let make = move || {
            let relay = CallRelay::new(relay, job);
            Ok(CallRun::with_generation(relay, streamed, permit).with_place(place))
        };
        match key {
            Some(key) => self.answer_with_key(scene, input, &key, make).await,
            None => self.answer_run(scene, input, make()?).await,
        }
    }

    async fn answer_service(
        &self,
        scene: CallScene,
        request: Request<Incoming>,
        workspace: DeclaredWorkspace,
    ) -> Result<Response<WebBody>, InputFault> {
        let limit = self.core.limits.body_bytes as u64;
        let known = request.body().size_hint().exact();
        let keyed = request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        if keyed || known.is_some_and(|size| size <= limit) {
            let input = self.read_input(request, workspace).await?;
            return self.answer_buffered_service(scene, input).await;
        }
        let (head, body) = request.into_parts();
        let input = self.make_input(head, workspace, Bytes::new());
        let body = ServiceBody::Streaming(Some(body));
        let run = self.service_run(&scene.view, &scene.fleet, &input, body)?;
        respond_run(run).await.map_err(InputFault::from)
    }

    async fn answer_buffered_service(
        &self,
        scene: CallScene,
        input: CallInput,
    ) -> Result<Response<WebBody>, InputFault> {
        let key = input.key()?.map(str::to_owned);
        let Some(key) = key else {
            let run = self.buffered_run(&scene.view, &scene.fleet, &input)?;
            if self.is_uncancellable(&scene, &input) {
                let deadline = input.deadline(self.core.limits.default_deadline)?;
                let answer = self.run_apart(run, input);
                let answered = self.respond_by(answer, deadline).await;
                return answered.map_err(InputFault::from);
            }
            return self.answer_run(scene, input, run).await;
        };
        let (api, call) = (self.clone(), input.clone());
        let (view, fleet) = (scene.view.clone(), scene.fleet.clone());
        let make = move || api.buffered_run(&view, &fleet, &call);
        self.answer_with_key(scene, input, &key, make).await
    }

    fn buffered_run(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        input: &CallInput,
    ) -> Result<CallRun, InputFault> {
        let body = ServiceBody::Buffered(input.body.clone());
        self.service_run(view, fleet, input, body)
    }

    fn service_run(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        input: &CallInput,
        body: ServiceBody,
    ) -> Result<CallRun, InputFault> {
        let Some(permit) = self.core.gate.enter() else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let job = make_service_job(&self.core, view, fleet, input, body)?;
        let relay = ServiceRelay::new(self.core.clone(), job);
        Ok(CallRun::with_service(relay, permit).with_place(input.place.clone()))
    }

    fn is_uncancellable(&self, scene: &CallScene, input: &CallInput) -> bool {
        let service = split_service(&input.path);
        let declared = service.and_then(|(name, _)| scene.fleet.service(&name));
        declared.is_some_and(|service| service.uncancellable)
    }

    /// Lets a run go on even if its caller goes away.
    fn run_apart(&self, run: CallRun, input: CallInput) -> SharedAnswer {
        let answer = SharedAnswer::new();
        let (core, written) = (self.core.clone(), answer.clone());
        tokio::spawn(async move {
            run.write_to(&core, &input, &written).await;
        });
        answer
    }

    async fn answer_run(
        &self,
        scene: CallScene,
        input: CallInput,
        run: CallRun,
    ) -> Result<Response<WebBody>, InputFault> {
        match respond_run(run).await {
            Ok(response) => Ok(response),
            Err(failure) if wants_far(&failure, &input) => {
                let far = forward_far(&self.core, &input, scene.permit).await;
                far.map_err(InputFault::from)
            }
            Err(failure) => Err(self.refuse(&input, failure)),
        }
    }

    async fn answer_with_key<F>(
        &self,
        scene: CallScene,
        input: CallInput,
        key: &str,
        make: F,
    ) -> Result<Response<WebBody>, InputFault>
    where
        F: FnOnce() -> Result<CallRun, InputFault> + Send + 'static,
    {
        match answer_keyed(self.core.clone(), &input, key, make).await {
            KeyedAnswer::Shared(answer) => {
                let deadline = input.deadline(self.core.limits.default_deadline)?;
                let answered = self.respond_by(answer, deadline).await;
                answered.map_err(|failure| self.refuse(&input, failure).with_decision())
            }
            KeyedAnswer::Retained(answer) => {
                self.core
                    .record_for_request(EventKind::AnswerReplayed, &input.request, "");
                Ok(respond_retained(&answer))
            }
            KeyedAnswer::Forward(node, run) => {
                let passed = forward_call(&self.core, &input, &node, run, scene.permit).await;
                passed.or_else(|failure| Ok(respond_failure(&failure)))
            }
            KeyedAnswer::Failed(fault) => Err(fault),
        }
    }

    /// Responds from a shared answer; a caller whose deadline passes before its head gets an error
    /// while the work goes on for others and for a resend.
    async fn respond_by(
        &self,
        answer: SharedAnswer,
        deadline: ClockTime,
    ) -> Result<Response<WebBody>, CallFailure> {
        let left = deadline - self.core.clock.now();
        let answered = timeout(left.into(), respond_shared(answer)).await;
        answered.unwrap_or_else(|_| Err(CallFailure::new(ErrorKind::DeadlineExceeded)))
    }

    fn refuse(&self, input: &CallInput, failure: CallFailure) -> InputFault {
        let kind = EventKind::RequestRefused;
        self.core
            .record_for_request(kind, &input.request, failure.kind.into());
        failure.into()
    }
}

/// A refusal of a call with a key says nothing of earlier sends of the same key, which another
/// node may have run; only the owner of the key knows, and its verdict is marked as decided.
fn respond_fault(mut fault: InputFault, keyed: bool) -> Response<WebBody> {
    let open = keyed && !fault.decided && !fault.failure.kind.is_invalid_input();
    if open && fault.failure.ran == RanState::No {
        fault.failure.ran = RanState::Unknown;
    }
    error_response(&fault.failure, &fault.message)
}

/// Bytes of a request head, with the separators of each line.
fn head_size(request: &Request<Incoming>) -> usize {
    let lines = request.headers().iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + 4);
    path_of(request.uri()).len() + lines.sum::<usize>()
}

fn body_fault(error: &BodyError) -> InputFault {
    let kind = match error {
        BodyError::TooLarge { .. } => ErrorKind::BodyTooLarge,
        BodyError::TimedOut => ErrorKind::RequestTimeout,
        BodyError::Broken { .. } | BodyError::Aborted { .. } => ErrorKind::BadRequest,
    };
    InputFault::new(kind, error.to_string())
}
