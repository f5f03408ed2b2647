use std::sync::Arc;

use base::{ClockTime, ModelName, RequestId, TargetName, TokenCount, WorkspaceName};
use strum::{Display, EnumString};

/// Kind of API call; output lengths are predicted separately for each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
    /// A call to a plain service.
    Service,
}

/// Scheduling priority of a request at the engine; a lower number runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(pub u8);

/// A request that is submitted to a policy and needs a target.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceName,
    /// Weight of the workspace in fair queueing, which applies while targets are full.
    pub weight: u32,
    /// Requests of the workspace that may wait at this node.
    pub queue_limit: u32,
    /// Requests of the workspace that may be in flight at this node.
    pub stream_limit: u32,
    /// Model; `None` for a plain service.
    pub model: Option<ModelName>,
    /// Kind of call.
    pub kind: CallKind,
    /// Tokens of the prompt, counted or estimated.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the output length, if the caller gave one.
    pub max_tokens: Option<TokenCount>,
    /// Fingerprint of the start of the prompt, equal for prompts with the same start; 0 if unknown.
    pub prefix: u64,
    /// Targets that match the selectors of the request, sorted by name.
    pub candidates: Arc<[TargetName]>,
    /// Targets that this request must avoid, such as those that failed it.
    pub excluded: Vec<TargetName>,
    /// When the request arrived.
    pub arrival: ClockTime,
    /// When the answer has to be complete.
    pub deadline: Option<ClockTime>,
}
