use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use base::{ErrorKind, TokenCount};
use calls::{AnswerMode, CallFailure, CallPlan, RequestFingerprint, ResumePoint};
use fleet::FleetDeclaration;
use sched::{CallKind, WorkItem};
use serde_json::{Map, Value};

use super::CallInput;
use crate::{GenerationJob, ModelSpec, NodeCore, NodeView, ResumeToken};

/// Bytes of a prompt that are counted as one token: an estimate, since the node has no tokenizer.
const BYTES_PER_TOKEN: usize = 4;
/// Number of bytes at the start of a prompt that are hashed to recognise shared prefixes.
const PREFIX_BYTES: usize = 256;

/// Error response to a caller: the failure, with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Kind of error, whether the request ran and when to retry.
    pub failure: CallFailure,
    /// Message for the caller.
    pub message: String,
    /// Whether it comes from the owner of the caller's key, which knows whether an earlier send of
    /// the key ran.
    pub from_key_owner: bool,
}

impl RequestError {
    /// Creates an error of a kind with a message.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            failure: CallFailure::new(kind),
            message: message.into(),
            from_key_owner: false,
        }
    }

    /// Marks the error as the decision of the owner of the caller's key.
    #[must_use]
    pub fn mark_from_key_owner(mut self) -> Self {
        self.from_key_owner = true;
        self
    }
}

impl From<CallFailure> for RequestError {
    fn from(failure: CallFailure) -> Self {
        let message = failure.kind.to_string();
        Self {
            failure,
            message,
            from_key_owner: false,
        }
    }
}

/// Kind of generation call of a path, with the path below `/v1/`; `None` for any other path.
pub fn generation_kind(path: &str) -> Option<(CallKind, &'static str)> {
    match path {
        "/v1/completions" => Some((CallKind::Completion, "completions")),
        "/v1/chat/completions" => Some((CallKind::Chat, "chat/completions")),
        _ => None,
    }
}

/// Creates the job of a generation call.
pub fn make_generation_job(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    input: &CallInput,
) -> Result<GenerationJob, RequestError> {
    let path = input.path.split('?').next().unwrap_or_default();
    let Some((kind, path)) = generation_kind(path) else {
        return Err(RequestError::new(ErrorKind::NotFound, "no such path"));
    };
    if let Some(id) = input.last_event() {
        return resume_job(core, input, id, kind, path);
    }
    let body = parse_body(&input.body)?;
    let spec = read_model(&body)?;
    let prompt = read_prompt(&body, kind)?;
    let streamed = read_flag(&body, "stream")?;
    let max_tokens = read_limit(&body)?;
    let Some(model) = fleet.model(&spec.model) else {
        let message = format!("model `{}` is not declared", spec.model);
        return Err(RequestError::new(ErrorKind::NotFound, message));
    };
    let route = core
        .routes
        .model_candidates(view, fleet, &input.workspace, &spec);
    if !route.declared {
        let message = format!("no route allows model `{spec}` to this workspace");
        return Err(RequestError::new(ErrorKind::NotFound, message));
    }
    let mut plan = CallPlan::new(input.request.clone());
    plan.repeatable = model.repeatable;
    plan.mode = answer_mode(streamed);
    plan.deadline = Some(input.deadline(core.limits.default_deadline)?);
    plan.seed = rand::random();
    let candidates = route.candidates.clone();
    let item = WorkItem {
        model: Some(spec.model.clone()),
        prompt_tokens: estimate_tokens(&prompt),
        max_tokens,
        prefix: hash_prompt_prefix(&prompt),
        ..input.work_item(kind, candidates, plan.deadline)
    };
    Ok(GenerationJob {
        fingerprint: RequestFingerprint::new(spec.model.as_str(), &input.body),
        plan,
        item,
        spec,
        route,
        path,
        body,
    })
}

/// Creates the job that resumes a generation after the event `id`.
fn resume_job(
    core: &NodeCore,
    input: &CallInput,
    id: &str,
    kind: CallKind,
    path: &'static str,
) -> Result<GenerationJob, RequestError> {
    let workspace = &input.workspace;
    let Some((token, offset)) = ResumeToken::parse(&core.relay.resume, &workspace.name, id) else {
        let message = "Last-Event-ID is not an event id of this workspace";
        return Err(RequestError::new(ErrorKind::BadRequest, message));
    };
    let mut plan = CallPlan::new(input.request.clone());
    plan.deadline = Some(input.deadline(core.limits.default_deadline)?);
    plan.resume = Some(ResumePoint {
        target: token.target,
        generation: token.generation,
        next_offset: offset.saturating_add(1),
    });
    let item = input.work_item(kind, Arc::from([]), plan.deadline);
    Ok(GenerationJob {
        fingerprint: RequestFingerprint::new("resume", id.as_bytes()),
        plan,
        item,
        spec: "resumed"
            .parse()
            .map_err(|_| RequestError::new(ErrorKind::Internal, ""))?,
        route: Arc::default(),
        path,
        body: Map::new(),
    })
}

fn parse_body(body: &[u8]) -> Result<Map<String, Value>, RequestError> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(bad_field("body", "a JSON object")),
        Err(error) => {
            let message = format!("body is not valid JSON: {error}");
            Err(RequestError::new(ErrorKind::BadRequest, message))
        }
    }
}

fn read_model(body: &Map<String, Value>) -> Result<ModelSpec, RequestError> {
    let allowed = "MODEL, MODEL:VERSION or MODEL:VERSION+ADAPTER";
    let text = body.get("model").and_then(Value::as_str);
    let text = text.ok_or_else(|| bad_field("model", allowed))?;
    text.parse().map_err(|_| bad_field("model", allowed))
}

/// Returns the prompt of a completion, or the messages of a chat, as text.
fn read_prompt(body: &Map<String, Value>, kind: CallKind) -> Result<String, RequestError> {
    match kind {
        CallKind::Chat => match body.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => {
                Ok(Value::Array(messages.clone()).to_string())
            }
            _ => Err(bad_field(
                "messages",
                "a list of messages that is not empty",
            )),
        },
        _ => match body.get("prompt") {
            Some(Value::String(text)) => Ok(text.clone()),
            Some(Value::Array(parts)) if !parts.is_empty() => {
                Ok(Value::Array(parts.clone()).to_string())
            }
            _ => Err(bad_field("prompt", "a text or a list that is not empty")),
        },
    }
}

fn read_flag(body: &Map<String, Value>, name: &str) -> Result<bool, RequestError> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(bad_field(name, "true or false")),
    }
}

fn read_limit(body: &Map<String, Value>) -> Result<Option<TokenCount>, RequestError> {
    for name in ["max_completion_tokens", "max_tokens"] {
        let Some(value) = body.get(name).filter(|value| !value.is_null()) else {
            continue;
        };
        let limit = value.as_u64().filter(|limit| *limit > 0);
        let limit = limit.ok_or_else(|| bad_field(name, "a number above zero"))?;
        return Ok(Some(TokenCount(u32::try_from(limit).unwrap_or(u32::MAX))));
    }
    Ok(None)
}

fn bad_field(name: &str, allowed: &str) -> RequestError {
    RequestError::new(
        ErrorKind::BadRequest,
        format!("`{name}` has to be {allowed}"),
    )
}

fn answer_mode(streamed: bool) -> AnswerMode {
    match streamed {
        true => AnswerMode::Streamed,
        false => AnswerMode::Buffered,
    }
}

/// Estimates the number of tokens of a prompt, at least one.
fn estimate_tokens(prompt: &str) -> TokenCount {
    let tokens = (prompt.len() / BYTES_PER_TOKEN).max(1);
    TokenCount(u32::try_from(tokens).unwrap_or(u32::MAX))
}

/// Hash of the start of a prompt; zero if the prompt is too short to share a cached prefix.
fn hash_prompt_prefix(prompt: &str) -> u64 {
    let Some(head) = prompt.as_bytes().get(..PREFIX_BYTES) else {
        return 0;
    };
    let mut hasher = DefaultHasher::new();
    head.hash(&mut hasher);
    hasher.finish()
}
