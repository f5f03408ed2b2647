use base::{ModelName, WorkspaceName};

use super::PriorityLadder;
use crate::{CallKind, GrowthCurve, LengthCurve, QueuedItem, WorkPriority};

/// Tokens after which the prediction of a stream is made again.
const REFRESH_TOKENS: u32 = 16;

/// A dispatched request.
#[derive(Clone, Debug)]
pub struct StreamState {
    /// Slot of its target.
    pub slot: usize,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Requests of the workspace that may be in flight.
    pub stream_limit: u32,
    /// Model of the request.
    pub model: Option<ModelName>,
    /// Kind of call.
    pub kind: CallKind,
    /// Expected memory.
    pub growth: GrowthCurve,
    /// Whether the first token has arrived.
    pub started: bool,
    /// Tokens produced so far.
    pub produced: u32,
    /// Priority at the engine.
    pub priority: WorkPriority,
    /// Longest possible output.
    pub cap: u32,
    curve: Box<LengthCurve>,
    prompt: u32,
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
            priority: PriorityLadder::level(0),
            curve: Box::new(queued.curve),
            prompt: queued.item.prompt_tokens.0,
            cap: queued.cap,
            predicted_at: 0,
        }
    }

    /// Notes tokens and returns a new prediction if the old one is out of date.
    pub fn advance(&mut self, produced: u32) -> Option<GrowthCurve> {
        self.produced = produced;
        if produced < self.predicted_at + REFRESH_TOKENS || self.model.is_none() {
            return None;
        }
        self.predicted_at = produced;
        let (prompt, cap) = (self.prompt, self.cap);
        Some(GrowthCurve::of_stream(&self.curve, prompt, produced, cap))
    }
}
