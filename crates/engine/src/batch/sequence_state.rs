use base::{GenerationId, TokenCount};

use crate::{EngineRequest, EngineTime, GenerationEnd, GenerationSnapshot};

/// State of one request inside the engine: its progress and the memory pages that it holds.
#[derive(Clone, Debug)]
pub struct SequenceState {
    /// The request as submitted; only its priority may change later.
    pub request: EngineRequest,
    /// Identifier of the generation.
    pub generation: GenerationId,
    /// Arrival number, larger for later submissions; a preempted sequence keeps its number.
    pub arrival: u64,
    /// Output tokens generated so far.
    pub produced: u32,
    /// Tokens whose keys and values are in the KV cache.
    pub computed: u32,
    /// Tokens that prefill must put into the KV cache before decoding can start or resume.
    pub prefill_end: u32,
    /// Tokens to prefill in the current step.
    pub chunk: u32,
    /// Whether the sequence is scheduled in the current step.
    pub scheduled: bool,
    /// Pages allocated to this sequence alone.
    pub own_pages: u32,
    /// Pages of the cached prefix that the sequence uses; zero if it uses none.
    pub shared_pages: u32,
    /// Whether the sequence has been admitted to the batch before.
    pub admitted: bool,
}

impl SequenceState {
    /// Creates a sequence that has not run.
    pub fn new(request: EngineRequest, generation: GenerationId, arrival: u64) -> Self {
        let prefill_end = request.prompt_tokens.0;
        Self {
            request,
            generation,
            arrival,
            produced: 0,
            computed: 0,
            prefill_end,
            chunk: 0,
            scheduled: false,
            own_pages: 0,
            shared_pages: 0,
            admitted: false,
        }
    }

    /// Sort key for admission and preemption: priority first, then arrival.
    pub fn scheduling_key(&self) -> (u8, u64) {
        (self.request.priority.0, self.arrival)
    }

    /// Tells whether prefill is complete, so that each step generates a token.
    pub fn is_decoding(&self) -> bool {
        self.computed >= self.prefill_end
    }

    /// Pages that the sequence uses, shared ones included.
    pub fn pages(&self) -> u32 {
        self.own_pages + self.shared_pages
    }

    /// Resets the KV cache state after a preemption, so that the prompt and all generated tokens
    /// are prefilled again.
    pub fn reset(&mut self) {
        self.prefill_end = self.request.prompt_tokens.0 + self.produced;
        self.computed = 0;
        self.chunk = 0;
        self.scheduled = false;
        self.own_pages = 0;
        self.shared_pages = 0;
    }

    /// Returns a snapshot of the generation; `end` and `ended_at` are `None` while it waits or runs.
    pub fn snapshot(
        &self,
        end: Option<GenerationEnd>,
        ended_at: Option<EngineTime>,
    ) -> GenerationSnapshot {
        GenerationSnapshot {
            request: self.request.id.clone(),
            generation: self.generation.clone(),
            produced: TokenCount(self.produced),
            end,
            ended_at,
        }
    }
}
