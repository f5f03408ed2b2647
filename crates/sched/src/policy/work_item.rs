use std::sync::Arc;

use base::{ClockTime, ModelName, RequestId, TargetName, TokenCount, WorkspaceName};
use strum::{Display, EnumString};

/// Kind of call, as far as lengths of answers depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
    /// A call of a plain service.
    Service,
}

/// Priority that an engine honours; a lower number runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkPriority(pub u8);

/// One request that waits for a target.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Weight of the workspace when targets are full.
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
    /// Upper bound of the output, if the caller gave one.
    pub max_tokens: Option<TokenCount>,
    /// Fingerprint of the start of the prompt, equal for prompts that share it.
    pub prefix: u64,
    /// Targets that the selectors allow, sorted by name.
    pub candidates: Arc<[TargetName]>,
    /// Targets that this request must avoid, such as those that failed it.
    pub excluded: Vec<TargetName>,
    /// When the request arrived.
    pub arrival: ClockTime,
    /// When its answer has to be complete.
    pub deadline: Option<ClockTime>,
}
