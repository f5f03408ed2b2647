use base::{ModelName, WorkspaceName};

use super::PriorityLevels;
use crate::{CallKind, GrowthCurve, LengthDistribution, QueuedItem, RequestPriority};

/// Number of further tokens after which the memory prediction of a stream is renewed.
const REFRESH_TOKENS: u32 = 16;

/// State of a dispatched request (a stream) until it ends.
#[derive(Clone, Debug)]
pub struct StreamState {
    /// Slot of the target.
    pub slot: usize,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Requests of the workspace that may be in flight at this node.
    pub stream_limit: u32,
    /// Model of the request.
    pub model: Option<ModelName>,
    /// Kind of call.
    pub kind: CallKind,
    /// Expected memory use.
    pub growth: GrowthCurve,
    /// Whether the engine has produced the first token.
    pub started: bool,
    /// Tokens produced so far.
    pub produced: u32,
    /// Priority at the engine.
    pub priority: RequestPriority,
    /// Longest possible output, in tokens.
    pub cap: u32,
    distribution: Box<LengthDistribution>,
    prompt: u32,
    /// Number of produced tokens at the last memory prediction.
    predicted_at: u32,
}

impl StreamState {
    /// Creates the state of a request that is dispatched now.
    pub fn new(slot: usize, queued: QueuedItem) -> Self {
        Self {
            slot,
            workspace: queued.item.workspace,
            stream_limit: queued.item.stream_limit,
            model: queued.item.model,
            kind: queued.item.kind,
            growth: queued.growth,
            started: false,
            produced: 0,
            priority: PriorityLevels::for_tokens(0),
            distribution: Box::new(queued.distribution),
            prompt: queued.item.prompt_tokens.0,
            cap: queued.cap,
            predicted_at: 0,
        }
    }

    /// Records the number of produced tokens; returns a new memory prediction if the old one is out
    /// of date.
    pub fn record_progress(&mut self, produced: u32) -> Option<GrowthCurve> {
        self.produced = produced;
        if produced < self.predicted_at + REFRESH_TOKENS || self.model.is_none() {
            return None;
        }
        self.predicted_at = produced;
        let (prompt, cap) = (self.prompt, self.cap);
        Some(GrowthCurve::for_stream(
            &self.distribution,
            prompt,
            produced,
            cap,
        ))
    }
}
