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

use super::call_input::path_and_query;
use super::call_response::{respond_active, respond_failure, respond_retained, respond_shared};
use super::caller_auth::authenticate_workspace;
use super::forward_call::{forward_call, forward_to_other_domain, may_forward_to_other_domain};
use super::generation_call::{generation_kind, make_generation_job};
use super::keyed_call::{KeyedOutcome, run_keyed_call};
use super::model_list::{list_models, show_model};
use super::service_call::{make_service_job, split_service};
use super::{ActiveCall, CallInput, RequestError, error_response};
use crate::headers::{IDEMPOTENCY_KEY_HEADER, LAST_EVENT_ID_HEADER};
use crate::{
    ForwardedCall, GenerationRelay, NodeCore, NodeView, ServiceBody, ServiceRelay, SharedAnswer,
    WorkPermit,
};

/// Readiness endpoint for the platform's load balancer.
const READY_PATH: &str = "/ready";
/// Prefix of the paths of single models.
const MODEL_PREFIX: &str = "/v1/models/";
/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/svc/";

/// HTTP handler for callers, and for calls that other nodes forward; clones share one node.
#[derive(Clone)]
pub struct CallerApi {
    core: Arc<NodeCore>,
}

/// View and declaration that one request is handled with, and its permit.
struct RequestContext {
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
            answered.unwrap_or_else(|error| respond_error(error, keyed))
        })
    }
}

impl CallerApi {
    /// Creates the handler of a node.
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

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<WebBody>, RequestError> {
        if head_size(&request) > self.core.limits.header_bytes {
            return Err(CallFailure::new(ErrorKind::HeadersTooLarge).into());
        }
        let context = self.begin_request().await?;
        let Some(workspace) = authenticate_workspace(&context.fleet, request.headers()).cloned()
        else {
            return Err(CallFailure::new(ErrorKind::UnknownKey).into());
        };
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/models") => {
                let (view, fleet) = (&context.view, &context.fleet);
                Ok(list_models(&self.core, view, fleet, &workspace))
            }
            (&Method::GET, path) if path.starts_with(MODEL_PREFIX) => {
                let name = &path[MODEL_PREFIX.len()..];
                let found = show_model(&self.core, &context.view, &context.fleet, &workspace, name);
                found.ok_or_else(|| CallFailure::new(ErrorKind::NotFound).into())
            }
            (&Method::POST, "/v1/tickets") => self.issue_ticket(&workspace).await,
            (method, path) if generation_kind(path).is_some() => {
                let resumes = request.headers().contains_key(LAST_EVENT_ID_HEADER);
                if method != Method::POST && !(method == Method::GET && resumes) {
                    return Err(CallFailure::new(ErrorKind::MethodNotAllowed).into());
                }
                let input = self.read_input(request, workspace).await?;
                self.answer_generation(context, input).await
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => {
                self.answer_service(context, request, workspace).await
            }
            (_, "/v1/models" | "/v1/tickets") => {
                Err(CallFailure::new(ErrorKind::MethodNotAllowed).into())
            }
            _ => Err(CallFailure::new(ErrorKind::NotFound).into()),
        }
    }

    /// Answers a call that another node authenticated and forwarded.
    pub async fn answer_forwarded(&self, call: ForwardedCall) -> Response<WebBody> {
        let keyed = call.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
        let answered = self.try_forwarded(call).await;
        answered.unwrap_or_else(|error| respond_error(error, keyed))
    }

    async fn try_forwarded(&self, call: ForwardedCall) -> Result<Response<WebBody>, RequestError> {
        let context = self.begin_request().await?;
        let Some(workspace) = context.fleet.workspace(&call.workspace).cloned() else {
            return Err(CallFailure::new(ErrorKind::UnknownKey).into());
        };
        let overflow_permit = match call.overflow {
            true => Some(self.acquire_overflow_permit()?),
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
            overflow_permit,
            arrival: self.core.clock.now(),
        };
        if input.path.starts_with(SERVICE_PREFIX) {
            return self.answer_buffered_service(context, input).await;
        }
        self.answer_generation(context, input).await
    }

    /// Acquires a permit for a call from another failure domain; the error is `Overloaded` if this
    /// node already runs the maximum number of such calls.
    fn acquire_overflow_permit(&self) -> Result<Arc<OwnedSemaphorePermit>, RequestError> {
        let overflow_permit = self.core.overflow.clone().try_acquire_owned();
        overflow_permit
            .map(Arc::new)
            .map_err(|_| CallFailure::new(ErrorKind::Overloaded).into())
    }

    /// Lets a request in and waits a short time for a node that is starting or was paused.
    async fn begin_request(&self) -> Result<RequestContext, RequestError> {
        let Some(permit) = self.core.gate.enter() else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let Some((view, fleet)) = self.core.wait_for_view().await else {
            return Err(CallFailure::new(ErrorKind::NotReady).into());
        };
        Ok(RequestContext {
            view,
            fleet,
            permit,
        })
    }

    async fn issue_ticket(
        &self,
        workspace: &DeclaredWorkspace,
    ) -> Result<Response<WebBody>, RequestError> {
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
    ) -> Result<CallInput, RequestError> {
        let arrival = self.core.clock.now();
        let (head, body) = request.into_parts();
        let limits = &self.core.limits;
        let body = read_body(body, limits.body_bytes, limits.read_timeout).await;
        let body = body.map_err(|error| body_error(&error))?;
        let mut input = self.make_input(head, workspace, body);
        // The deadline counts from the arrival of the head, so it includes reading the body.
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
            path: path_and_query(&head.uri),
            method: head.method,
            headers: head.headers,
            body,
            hops: 0,
            overflow: false,
            overflow_permit: None,
            arrival: self.core.clock.now(),
        }
    }

    async fn answer_generation(
        &self,
        context: RequestContext,
        input: CallInput,
    ) -> Result<Response<WebBody>, RequestError> {
        let key = input.idempotency_key()?.map(str::to_owned);
        let job = make_generation_job(&self.core, &context.view, &context.fleet, &input)?;
        let streamed = job.is_streamed();
        let relay = self.core.relay.clone();
        let permit = self.core.gate.enter();
        let Some(permit) = permit else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let overflow_permit = input.overflow_permit.clone();
        let make = move || {
            let relay = GenerationRelay::new(relay, job);
            Ok(ActiveCall::from_generation(relay, streamed, permit)
                .with_overflow_permit(overflow_permit))
        };
        match key {
            Some(key) => self.answer_with_key(context, input, &key, make).await,
            None => self.answer_active(context, input, make()?).await,
        }
    }

    /// Answers a service call. The body is buffered if the call has a key or a known length within
    /// the body limit; otherwise it is passed on as it arrives.
    async fn answer_service(
        &self,
        context: RequestContext,
        request: Request<Incoming>,
        workspace: DeclaredWorkspace,
    ) -> Result<Response<WebBody>, RequestError> {
        let limit = self.core.limits.body_bytes as u64;
        let known = request.body().size_hint().exact();
        let keyed = request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        if keyed || known.is_some_and(|size| size <= limit) {
            let input = self.read_input(request, workspace).await?;
            return self.answer_buffered_service(context, input).await;
        }
        let (head, body) = request.into_parts();
        let input = self.make_input(head, workspace, Bytes::new());
        let body = ServiceBody::Streaming(Some(body));
        let call = self.make_service_call(&context.view, &context.fleet, &input, body)?;
        respond_active(call).await.map_err(RequestError::from)
    }

    async fn answer_buffered_service(
        &self,
        context: RequestContext,
        input: CallInput,
    ) -> Result<Response<WebBody>, RequestError> {
        let key = input.idempotency_key()?.map(str::to_owned);
        let Some(key) = key else {
            let call = self.make_buffered_service_call(&context.view, &context.fleet, &input)?;
            if self.is_uncancellable(&context, &input) {
                let deadline = input.deadline(self.core.limits.default_deadline)?;
                let answer = self.run_detached(call, input);
                let answered = self.respond_by(answer, deadline).await;
                return answered.map_err(RequestError::from);
            }
            return self.answer_active(context, input, call).await;
        };
        let (api, call_input) = (self.clone(), input.clone());
        let (view, fleet) = (context.view.clone(), context.fleet.clone());
        let make = move || api.make_buffered_service_call(&view, &fleet, &call_input);
        self.answer_with_key(context, input, &key, make).await
    }

    /// Creates the active call of a service with a buffered body.
    fn make_buffered_service_call(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        input: &CallInput,
    ) -> Result<ActiveCall, RequestError> {
        let body = ServiceBody::Buffered(input.body.clone());
        self.make_service_call(view, fleet, input, body)
    }

    /// Creates the active call of a service.
    fn make_service_call(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        input: &CallInput,
        body: ServiceBody,
    ) -> Result<ActiveCall, RequestError> {
        let Some(permit) = self.core.gate.enter() else {
            return Err(CallFailure::new(ErrorKind::Stopping).into());
        };
        let job = make_service_job(&self.core, view, fleet, input, body)?;
        let relay = ServiceRelay::new(self.core.clone(), job);
        Ok(ActiveCall::from_service(relay, permit)
            .with_overflow_permit(input.overflow_permit.clone()))
    }

    fn is_uncancellable(&self, context: &RequestContext, input: &CallInput) -> bool {
        let service = split_service(&input.path);
        let declared = service.and_then(|(name, _)| context.fleet.service(&name));
        declared.is_some_and(|service| service.uncancellable)
    }

    /// Runs a call in a separate task, so that it continues if its caller disconnects.
    fn run_detached(&self, call: ActiveCall, input: CallInput) -> SharedAnswer {
        let answer = SharedAnswer::new();
        let (core, written) = (self.core.clone(), answer.clone());
        tokio::spawn(async move {
            call.write_to(&core, &input, &written).await;
        });
        answer
    }

    /// Responds with the output of a call, or forwards it to another failure domain if this one has
    /// no target for it.
    async fn answer_active(
        &self,
        context: RequestContext,
        input: CallInput,
        call: ActiveCall,
    ) -> Result<Response<WebBody>, RequestError> {
        match respond_active(call).await {
            Ok(response) => Ok(response),
            Err(failure) if may_forward_to_other_domain(&failure, &input) => {
                let forwarded = forward_to_other_domain(&self.core, &input, context.permit).await;
                forwarded.map_err(RequestError::from)
            }
            Err(failure) => Err(self.record_refusal(&input, failure)),
        }
    }

    /// Answers a call with an idempotency key; `make` creates the call if it has to run here.
    async fn answer_with_key<F>(
        &self,
        context: RequestContext,
        input: CallInput,
        key: &str,
        make: F,
    ) -> Result<Response<WebBody>, RequestError>
    where
        F: FnOnce() -> Result<ActiveCall, RequestError> + Send + 'static,
    {
        match run_keyed_call(self.core.clone(), &input, key, make).await {
            KeyedOutcome::Shared(answer) => {
                let deadline = input.deadline(self.core.limits.default_deadline)?;
                let answered = self.respond_by(answer, deadline).await;
                answered
                    .map_err(|failure| self.record_refusal(&input, failure).mark_from_key_owner())
            }
            KeyedOutcome::Retained(answer) => {
                self.core
                    .record_for_request(EventKind::AnswerReplayed, &input.request, "");
                Ok(respond_retained(&answer))
            }
            KeyedOutcome::Forward(node, incarnation) => {
                let passed =
                    forward_call(&self.core, &input, &node, incarnation, context.permit).await;
                passed.or_else(|failure| Ok(respond_failure(&failure)))
            }
            KeyedOutcome::Failed(error) => Err(error),
        }
    }

    /// Responds with a shared answer. A caller whose deadline passes before the head of the answer
    /// is there gets an error, while the call continues for other readers and for a resend.
    async fn respond_by(
        &self,
        answer: SharedAnswer,
        deadline: ClockTime,
    ) -> Result<Response<WebBody>, CallFailure> {
        let left = deadline - self.core.clock.now();
        let answered = timeout(left.into(), respond_shared(answer)).await;
        answered.unwrap_or_else(|_| Err(CallFailure::new(ErrorKind::DeadlineExceeded)))
    }

    /// Records the refusal of a request and returns its error.
    fn record_refusal(&self, input: &CallInput, failure: CallFailure) -> RequestError {
        let kind = EventKind::RequestRefused;
        self.core
            .record_for_request(kind, &input.request, failure.kind.into());
        failure.into()
    }
}

/// Error response to a caller, in which a call with a key is only said not to have run if that is
/// certain.
///
/// A node that refuses such a call does not know whether another node ran an earlier send of the
/// same key. Only the owner of the key does, and its errors are marked with `from_key_owner`.
fn respond_error(mut error: RequestError, keyed: bool) -> Response<WebBody> {
    let unsettled = keyed && !error.from_key_owner && !error.failure.kind.is_invalid_input();
    if unsettled && error.failure.ran == RanState::No {
        error.failure.ran = RanState::Unknown;
    }
    error_response(&error.failure, &error.message)
}

/// Size of a request head in bytes, with the separators of each header line.
fn head_size(request: &Request<Incoming>) -> usize {
    let lines = request.headers().iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + 4);
    path_and_query(request.uri()).len() + lines.sum::<usize>()
}

fn body_error(error: &BodyError) -> RequestError {
    let kind = match error {
        BodyError::TooLarge { .. } => ErrorKind::BodyTooLarge,
        BodyError::NoRoom => ErrorKind::Overloaded,
        BodyError::TimedOut => ErrorKind::RequestTimeout,
        BodyError::Broken { .. } | BodyError::Aborted { .. } => ErrorKind::BadRequest,
    };
    RequestError::new(kind, error.to_string())
}
