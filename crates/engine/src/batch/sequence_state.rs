use base::{GenerationId, TokenCount};

use crate::{EngineRequest, EngineTime, GenerationEnd, GenerationView};

/// One request inside the engine.
#[derive(Clone, Debug)]
pub struct SequenceState {
    /// The request as it was submitted, priority excepted.
    pub request: EngineRequest,
    /// Its generation.
    pub generation: GenerationId,
    /// Rises with each submission; a preempted sequence keeps its number.
    pub order: u64,
    /// Output tokens generated so far.
    pub produced: u32,
    /// Tokens whose keys and values are in memory.
    pub filled: u32,
    /// Tokens that have to be in memory before the next token can be generated.
    pub fill_goal: u32,
    /// Prompt tokens to prefill in the current step.
    pub planned: u32,
    /// Whether the sequence takes part in the current step.
    pub in_step: bool,
    /// Pages that belong to this sequence alone.
    pub own_pages: u32,
    /// Pages of the cached prefix that it uses; zero if it uses none.
    pub shared_pages: u32,
    /// Whether it entered the batch before.
    pub admitted: bool,
}

impl SequenceState {
    /// Creates a sequence that has not run.
    pub fn new(request: EngineRequest, generation: GenerationId, order: u64) -> Self {
        let fill_goal = request.prompt_tokens.0;
        Self {
            request,
            generation,
            order,
            produced: 0,
            filled: 0,
            fill_goal,
            planned: 0,
            in_step: false,
            own_pages: 0,
            shared_pages: 0,
            admitted: false,
        }
    }

    /// Place among the waiting: priority first, then age.
    pub fn rank(&self) -> (u8, u64) {
        (self.request.priority.0, self.order)
    }

    /// Tells whether the prompt is in memory, so that each step yields a token.
    pub fn is_decoding(&self) -> bool {
        self.filled >= self.fill_goal
    }

    /// Pages in use, shared ones included.
    pub fn pages(&self) -> u32 {
        self.own_pages + self.shared_pages
    }

    /// Forgets what was in memory, so that all tokens so far are prefilled again.
    pub fn reset(&mut self) {
        self.fill_goal = self.request.prompt_tokens.0 + self.produced;
        self.filled = 0;
        self.planned = 0;
        self.in_step = false;
        self.own_pages = 0;
        self.shared_pages = 0;
    }

    /// What a reader of the generation sees.
    pub fn view(&self, end: Option<GenerationEnd>, ended_at: Option<EngineTime>) -> GenerationView {
        GenerationView {
            request: self.request.id.clone(),
            generation: self.generation.clone(),
            produced: TokenCount(self.produced),
            end,
            ended_at,
        }
    }
}
