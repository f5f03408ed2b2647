use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{ErrorKind, RanState};
use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use super::call_body::{build_body, call_path};
use super::{LoadPlan, SseEvent, SseParser};
use crate::{CallOutcome, CallSpec, CallTimeline};

/// Largest error response body that is read, in bytes.
const ERROR_LIMIT: usize = 64 << 10;
const DONE_MARKER: &str = "[DONE]";

/// HTTP client that all calls of a run share.
pub type CallClient = Client<HttpConnector, Full<Bytes>>;

/// What all calls of a run share.
#[derive(Debug)]
pub struct CallContext {
    /// Plan of the run.
    pub plan: LoadPlan,
    /// HTTP client.
    pub client: CallClient,
    /// Start of the run, from which arrivals count.
    pub start: Instant,
}

/// Result of one call as its caller saw it.
#[derive(Debug)]
pub struct CallRecord {
    /// Times of its tokens.
    pub timeline: CallTimeline,
    /// Gaps between its tokens in microseconds.
    pub gaps: Vec<u64>,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Number of events with another generation or a wrong offset.
    pub order_faults: u64,
    /// Whether the announced number of tokens differs from the number received.
    pub count_fault: bool,
}

/// Makes one call and reads its stream until it ends or the call times out.
pub async fn run_call(context: Arc<CallContext>, spec: CallSpec, node: SocketAddr) -> CallRecord {
    let due = Duration::from_micros(spec.arrival);
    let deadline = context.start + due + Duration::from(context.plan.call_timeout);
    let mut reader = StreamReader::new(&spec, context.start);
    let read = read_call(&context, &spec, node, &mut reader);
    let outcome = timeout_at(deadline, read).await;
    let outcome = outcome.unwrap_or(CallOutcome::Unfinished);
    reader.into_record(outcome)
}

async fn read_call(
    context: &CallContext,
    spec: &CallSpec,
    node: SocketAddr,
    reader: &mut StreamReader,
) -> CallOutcome {
    let Ok(request) = build_request(&context.plan, spec, node) else {
        return failed("bad_request_of_load_tool");
    };
    let response = match context.client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return failed("connect_failed"),
        Err(_) => return failed("connection_lost"),
    };
    if !response.status().is_success() {
        return read_error(response).await;
    }
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return failed("connection_lost");
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if let Some(outcome) = reader.push(&bytes) {
            return outcome;
        }
    }
    failed("no_done")
}

fn build_request(
    plan: &LoadPlan,
    spec: &CallSpec,
    node: SocketAddr,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let key = &plan.keys[spec.workspace_index % plan.keys.len()].key;
    Request::post(format!("http://{node}{}", call_path(spec.kind)))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(build_body(plan, spec))))
}

async fn read_error(response: Response<Incoming>) -> CallOutcome {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), ERROR_LIMIT)
        .collect()
        .await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let kind = error_code(&value).unwrap_or_else(|| SmolStr::from(format!("http_{status}")));
    let ran = match kind.parse::<ErrorKind>() {
        Ok(known) => known.response().ran,
        Err(_) if status == 429 => RanState::No,
        Err(_) => RanState::Unknown,
    };
    match ran {
        RanState::No => CallOutcome::Refused(kind),
        RanState::Yes | RanState::Unknown => CallOutcome::Failed(kind),
    }
}

/// Extracts `error.code` of an error object.
fn error_code(value: &Value) -> Option<SmolStr> {
    let code = value.get("error")?.get("code")?.as_str()?;
    Some(SmolStr::new(code))
}

fn failed(kind: &str) -> CallOutcome {
    CallOutcome::Failed(SmolStr::new(kind))
}

/// Reads the events of one response stream, records the times of its tokens and checks the
/// order of its event ids and the announced token count.
struct StreamReader {
    start: Instant,
    parser: SseParser,
    timeline: CallTimeline,
    gaps: Vec<u64>,
    generation: Option<String>,
    next_offset: u64,
    order_faults: u64,
    announced_tokens: Option<u64>,
}

impl StreamReader {
    fn new(spec: &CallSpec, start: Instant) -> Self {
        Self {
            start,
            parser: SseParser::default(),
            timeline: CallTimeline::new(spec.arrival, spec.is_quick()),
            gaps: Vec::new(),
            generation: None,
            next_offset: 0,
            order_faults: 0,
            announced_tokens: None,
        }
    }

    fn push(&mut self, bytes: &[u8]) -> Option<CallOutcome> {
        for event in self.parser.push(bytes) {
            if event.data == DONE_MARKER {
                return Some(CallOutcome::Complete);
            }
            let Ok(value) = serde_json::from_str::<Value>(&event.data) else {
                return Some(failed("bad_event"));
            };
            if value.get("error").is_some() {
                let code = error_code(&value);
                return Some(failed(code.as_deref().unwrap_or("stream_error")));
            }
            self.handle_event(&event, &value);
        }
        None
    }

    fn handle_event(&mut self, event: &SseEvent, value: &Value) {
        let usage = value
            .get("usage")
            .and_then(|usage| usage.get("completion_tokens"));
        self.announced_tokens = usage.and_then(Value::as_u64).or(self.announced_tokens);
        if !has_token(value) {
            return;
        }
        let now = self.start.elapsed().as_micros() as u64;
        self.gaps.extend(self.timeline.record_token(now));
        if let Some(id) = &event.id {
            self.check_id(id);
        }
    }

    /// Checks that an event id continues the previous one: same generation, next offset. Engines
    /// write ids as `GENERATION:OFFSET`, nodes as `TOKEN.OFFSET`.
    fn check_id(&mut self, id: &str) {
        let parts = id.rsplit_once([':', '.']);
        let parts = parts.and_then(|(name, offset)| Some((name, offset.parse::<u64>().ok()?)));
        let Some((generation, offset)) = parts else {
            self.order_faults += 1;
            return;
        };
        let known = self
            .generation
            .get_or_insert_with(|| generation.to_string());
        if known != generation || offset != self.next_offset {
            self.order_faults += 1;
        }
        self.next_offset = offset + 1;
    }

    fn into_record(mut self, outcome: CallOutcome) -> CallRecord {
        if outcome != CallOutcome::Complete {
            let now = self.start.elapsed().as_micros() as u64;
            self.timeline.add_open_wait(now);
        }
        let tokens = u64::from(self.timeline.tokens());
        CallRecord {
            timeline: self.timeline,
            gaps: self.gaps,
            count_fault: self.announced_tokens.is_some_and(|count| count != tokens),
            outcome,
            order_faults: self.order_faults,
        }
    }
}

/// Whether a completion chunk contains text.
fn has_token(value: &Value) -> bool {
    let choice = value.get("choices").and_then(|choices| choices.get(0));
    let Some(choice) = choice else {
        return false;
    };
    let delta = choice.get("delta").and_then(|delta| delta.get("content"));
    let text = choice.get("text").or(delta).and_then(Value::as_str);
    text.is_some_and(|text| !text.is_empty())
}
