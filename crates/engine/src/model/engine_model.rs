use base::{ClockTime, GenerationId, RequestId, TokenCount};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::batch::{SequenceState, WaitQueue};
use crate::generation::{GenerationEnd, GenerationLog, GenerationView};
use crate::memory::PagedMemory;
use crate::weight::WeightStore;
use crate::{
    EngineEvent, EnginePriority, EngineProfile, EngineRequest, EngineTime, EventDetail,
    LoadFigures, RefusalReason,
};

/// A continuously batching engine as a state machine in time.
///
/// The caller submits requests and calls [`advance`](Self::advance) at or after
/// [`next_event_at`](Self::next_event_at). Times must not go backwards. Every method takes a
/// [`ClockTime`] or, for finer steps, an [`EngineTime`]. The same calls with the same seed give
/// the same events. Generation ids contain the seed, so a restarted engine needs another one.
///
/// ```
/// use base::{ClockTime, TokenCount};
/// use engine::{EngineModel, EngineProfile, EngineRequest, EventDetail};
/// let mut engine = EngineModel::new(EngineProfile::default(), 1);
/// let request = EngineRequest::new("r1".parse().unwrap(), TokenCount(100), TokenCount(2));
/// engine.submit(ClockTime::ZERO, request).unwrap();
/// let events = engine.advance(ClockTime::new(1_000));
/// let tokens = events.iter().filter(|event| matches!(event.detail, EventDetail::Token { .. }));
/// assert_eq!(tokens.count(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub(super) profile: EngineProfile,
    pub(super) random: Pcg64Mcg,
    pub(super) memory: PagedMemory,
    pub(super) running: Vec<SequenceState>,
    pub(super) waiting: WaitQueue,
    pub(super) step_end: Option<EngineTime>,
    pub(super) weights: WeightStore,
    pub(super) log: GenerationLog,
    pub(super) events: Vec<EngineEvent>,
    pub(super) preemptions: u64,
    pub(super) recomputed: u64,
    seed: u64,
    submitted: u64,
}

impl EngineModel {
    /// Creates an idle engine without weights; requests that name no weights run anyway.
    pub fn new(profile: EngineProfile, seed: u64) -> Self {
        let retention = profile.retention.as_millis() * 1_000;
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            memory: PagedMemory::new(profile.memory_pages),
            log: GenerationLog::new(retention, profile.retention_limit),
            profile,
            running: Vec::new(),
            waiting: WaitQueue::default(),
            step_end: None,
            weights: WeightStore::default(),
            events: Vec::new(),
            preemptions: 0,
            recomputed: 0,
            seed,
            submitted: 0,
        }
    }

    /// Takes a request and returns its generation.
    ///
    /// # Errors
    /// Returns why the request was not taken; the events tell it as well.
    pub fn submit(
        &mut self,
        now: impl Into<EngineTime>,
        mut request: EngineRequest,
    ) -> Result<GenerationId, RefusalReason> {
        let now = now.into();
        self.run_until(now);
        request.prompt_tokens.0 = request.prompt_tokens.0.max(1);
        request.output_tokens.0 = request.output_tokens.0.max(1);
        if let Some(reason) = self.find_refusal(&request) {
            let request = request.id;
            self.record(now, EventDetail::Refused { request, reason });
            return Err(reason);
        }
        self.submitted += 1;
        let generation = self.name_generation();
        if let Some(key) = &request.weights {
            self.weights.acquire(key);
        }
        let sequence = SequenceState::new(request, generation.clone(), self.submitted);
        self.waiting.push(sequence);
        self.begin_step(now);
        Ok(generation)
    }

    /// Ends a request and returns how many tokens it had generated; `None` if it is not here.
    pub fn cancel(
        &mut self,
        now: impl Into<EngineTime>,
        request: &RequestId,
    ) -> Option<TokenCount> {
        let now = now.into();
        self.run_until(now);
        let sequence = match self.find_running(request) {
            Some(at) => self.running.remove(at),
            None => self.waiting.remove(request)?,
        };
        let count = TokenCount(sequence.produced);
        self.end_sequence(now, sequence, GenerationEnd::Cancelled);
        Some(count)
    }

    /// Ends a generation and returns how many tokens it had; `None` if it is not here.
    pub fn cancel_generation(
        &mut self,
        now: impl Into<EngineTime>,
        generation: &GenerationId,
    ) -> Option<TokenCount> {
        let request = self.find_sequence(generation)?.request.id.clone();
        self.cancel(now, &request)
    }

    /// Changes the priority of a waiting or running request; false if it is not here.
    pub fn set_priority(
        &mut self,
        now: impl Into<EngineTime>,
        request: &RequestId,
        priority: EnginePriority,
    ) -> bool {
        self.run_until(now.into());
        match self.find_running(request) {
            Some(at) => {
                self.running[at].request.priority = priority;
                true
            }
            None => self.waiting.set_priority(request, priority),
        }
    }

    /// Lets time pass until `now` and returns what happened, in order of time.
    pub fn advance(&mut self, now: impl Into<EngineTime>) -> Vec<EngineEvent> {
        let now = now.into();
        self.run_until(now);
        self.log.expire(now);
        std::mem::take(&mut self.events)
    }

    /// The earliest time at which `advance` has something to tell; `None` while idle.
    pub fn next_event_at(&self) -> Option<ClockTime> {
        self.next_event_time().map(EngineTime::ceil_clock)
    }

    /// As [`next_event_at`](Self::next_event_at), in microseconds.
    pub fn next_event_time(&self) -> Option<EngineTime> {
        let pending = self.events.first().map(|event| event.at);
        let times = [pending, self.step_end, self.weights.next_done()];
        times.into_iter().flatten().min()
    }

    /// Load at the last time that the engine was called.
    pub fn load_figures(&self) -> LoadFigures {
        LoadFigures {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_pages: self.memory.used(),
            cached_pages: self.memory.cached(),
            total_pages: self.memory.usable(),
            page_tokens: self.profile.page_tokens,
            preemptions: self.preemptions,
            recomputed_tokens: self.recomputed,
        }
    }

    /// Reads a generation that runs or ended within the retention time.
    pub fn read_generation(&self, generation: &GenerationId) -> Option<GenerationView> {
        if let Some(sequence) = self.find_sequence(generation) {
            return Some(sequence.view(None, None));
        }
        self.log.find(generation).cloned()
    }

    /// Speed and limits of this engine.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    pub(super) fn record(&mut self, at: EngineTime, detail: EventDetail) {
        self.events.push(EngineEvent { at, detail });
    }

    pub(super) fn record_evictions(&mut self, at: EngineTime) {
        for fingerprint in self.memory.take_evicted() {
            self.record(at, EventDetail::CacheEvicted { fingerprint });
        }
    }

    pub(super) fn release_pages(&mut self, sequence: &SequenceState) {
        self.memory.give_back(sequence.own_pages);
        if let (Some(prefix), true) = (sequence.request.prefix, sequence.shared_pages > 0) {
            self.memory.release_prefix(prefix.fingerprint);
        }
    }

    pub(super) fn end_sequence(
        &mut self,
        now: EngineTime,
        sequence: SequenceState,
        end: GenerationEnd,
    ) {
        self.release_pages(&sequence);
        if let Some(key) = &sequence.request.weights {
            self.weights.release(key);
            self.drop_unused_weights(now);
        }
        self.log.push(sequence.view(Some(end), Some(now)));
    }

    pub(super) fn run_until(&mut self, now: EngineTime) {
        loop {
            let load = self.weights.next_done().filter(|done| *done <= now);
            let step = self.step_end.filter(|end| *end <= now);
            match (load, step) {
                (Some(done), step) if step.is_none_or(|end| done < end) => self.end_load(done),
                (_, Some(end)) => self.end_step(end),
                _ => return,
            }
        }
    }

    fn find_refusal(&self, request: &EngineRequest) -> Option<RefusalReason> {
        if let Some(key) = &request.weights
            && !self.weights.is_loaded(key)
        {
            return Some(RefusalReason::NotLoaded);
        }
        if self.waiting.len() >= self.profile.queue_limit as usize {
            return Some(RefusalReason::QueueFull);
        }
        let pages = self
            .profile
            .pages_for(request.prompt_tokens.0.saturating_add(1));
        (pages > self.memory.usable()).then_some(RefusalReason::PromptTooLong)
    }

    fn name_generation(&self) -> GenerationId {
        let text = format!("g{:x}-{}", self.seed, self.submitted);
        // Hexadecimal digits, a hyphen and decimal digits are always a valid name.
        text.parse().expect("valid generation name")
    }

    fn find_running(&self, request: &RequestId) -> Option<usize> {
        self.running
            .iter()
            .position(|sequence| &sequence.request.id == request)
    }

    fn find_sequence(&self, generation: &GenerationId) -> Option<&SequenceState> {
        self.running
            .iter()
            .find(|sequence| &sequence.generation == generation)
            .or_else(|| self.waiting.find(generation))
    }
}
