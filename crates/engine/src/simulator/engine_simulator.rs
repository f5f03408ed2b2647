use base::{ClockTime, GenerationId, RequestId, TokenCount};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::batch::{SequenceState, WaitQueue};
use crate::generation::{GenerationEnd, GenerationHistory, GenerationSnapshot};
use crate::memory::PageAllocator;
use crate::weight::WeightTable;
use crate::{
    EngineEvent, EnginePriority, EngineProfile, EngineRequest, EngineTime, EventDetail, LoadStats,
    RefusalReason,
};

/// Simulated engine with continuous batching, driven by the times that its caller passes in.
///
/// The caller submits requests and calls [`advance`](Self::advance) at or after
/// [`next_event_at`](Self::next_event_at). Times must not go backwards. Every method takes a
/// [`ClockTime`] or, where microseconds matter, an [`EngineTime`]. The same calls with the same
/// seed give the same events. Generation ids contain the seed, so a restarted engine needs
/// another seed to avoid duplicate ids.
///
/// ```
/// use base::{ClockTime, TokenCount};
/// use engine::{EngineSimulator, EngineProfile, EngineRequest, EventDetail};
/// let mut engine = EngineSimulator::new(EngineProfile::default(), 1);
/// let request = EngineRequest::new("r1".parse().unwrap(), TokenCount(100), TokenCount(2));
/// engine.submit(ClockTime::ZERO, request).unwrap();
/// let events = engine.advance(ClockTime::new(1_000));
/// let tokens = events.iter().filter(|event| matches!(event.detail, EventDetail::Token { .. }));
/// assert_eq!(tokens.count(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSimulator {
    pub(super) profile: EngineProfile,
    pub(super) random: Pcg64Mcg,
    pub(super) memory: PageAllocator,
    pub(super) running: Vec<SequenceState>,
    pub(super) waiting: WaitQueue,
    pub(super) step_end: Option<EngineTime>,
    pub(super) weights: WeightTable,
    pub(super) history: GenerationHistory,
    pub(super) events: Vec<EngineEvent>,
    pub(super) preemptions: u64,
    pub(super) recomputed: u64,
    seed: u64,
    submissions: u64,
}

impl EngineSimulator {
    /// Creates an idle engine without weights; requests that name no weights can run on it.
    pub fn new(profile: EngineProfile, seed: u64) -> Self {
        let retention = profile.retention.as_millis() * 1_000;
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            memory: PageAllocator::new(profile.memory_pages),
            history: GenerationHistory::new(retention, profile.retention_limit),
            profile,
            running: Vec::new(),
            waiting: WaitQueue::default(),
            step_end: None,
            weights: WeightTable::default(),
            events: Vec::new(),
            preemptions: 0,
            recomputed: 0,
            seed,
            submissions: 0,
        }
    }

    /// Queues a request and returns the identifier of its generation.
    ///
    /// # Errors
    /// Returns why the request was refused; an [`EventDetail::Refused`] is recorded as well.
    pub fn submit(
        &mut self,
        now: impl Into<EngineTime>,
        mut request: EngineRequest,
    ) -> Result<GenerationId, RefusalReason> {
        let now = now.into();
        self.run_until(now);
        request.prompt_tokens.0 = request.prompt_tokens.0.max(1);
        request.output_tokens.0 = request.output_tokens.0.max(1);
        if let Some(reason) = self.refusal_reason(&request) {
            let request = request.id;
            self.record(now, EventDetail::Refused { request, reason });
            return Err(reason);
        }
        self.submissions += 1;
        let generation = self.new_generation_id();
        if let Some(key) = &request.weights {
            self.weights.acquire(key);
        }
        let sequence = SequenceState::new(request, generation.clone(), self.submissions);
        self.waiting.push(sequence);
        self.begin_step(now);
        Ok(generation)
    }

    /// Cancels a request and returns how many tokens it had generated; `None` if it neither waits
    /// nor runs.
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

    /// Cancels a generation and returns how many tokens it had; `None` if it neither waits nor runs.
    pub fn cancel_generation(
        &mut self,
        now: impl Into<EngineTime>,
        generation: &GenerationId,
    ) -> Option<TokenCount> {
        let request = self.find_sequence(generation)?.request.id.clone();
        self.cancel(now, &request)
    }

    /// Changes the priority of a request; false if it neither waits nor runs.
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

    /// Simulates until `now` and returns the events since the last call, in order of time.
    pub fn advance(&mut self, now: impl Into<EngineTime>) -> Vec<EngineEvent> {
        let now = now.into();
        self.run_until(now);
        self.history.expire(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the earliest time at which `advance` has events to return or a step
    /// or load to end, rounded up to a
    /// millisecond; `None` while idle.
    pub fn next_event_at(&self) -> Option<ClockTime> {
        self.next_event_time().map(EngineTime::to_clock_ceil)
    }

    /// As [`next_event_at`](Self::next_event_at), but exact to the microsecond.
    pub fn next_event_time(&self) -> Option<EngineTime> {
        let pending = self.events.first().map(|event| event.at);
        let times = [pending, self.step_end, self.weights.next_load_end()];
        times.into_iter().flatten().min()
    }

    /// Returns the load at the time of the last call that took one.
    pub fn load_stats(&self) -> LoadStats {
        LoadStats {
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

    /// Returns a generation that waits, runs or ended within the retention time.
    pub fn read_generation(&self, generation: &GenerationId) -> Option<GenerationSnapshot> {
        if let Some(sequence) = self.find_sequence(generation) {
            return Some(sequence.snapshot(None, None));
        }
        self.history.find(generation).cloned()
    }

    /// Returns the speed and limits of this engine.
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
        self.memory.free(sequence.own_pages);
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
            self.unload_unused_weights(now);
        }
        self.history.push(sequence.snapshot(Some(end), Some(now)));
    }

    pub(super) fn run_until(&mut self, now: EngineTime) {
        loop {
            let load = self.weights.next_load_end().filter(|done| *done <= now);
            let step = self.step_end.filter(|end| *end <= now);
            match (load, step) {
                (Some(done), step) if step.is_none_or(|end| done < end) => self.end_load(done),
                (_, Some(end)) => self.end_step(end),
                _ => return,
            }
        }
    }

    fn refusal_reason(&self, request: &EngineRequest) -> Option<RefusalReason> {
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

    fn new_generation_id(&self) -> GenerationId {
        let text = format!("g{:x}-{}", self.seed, self.submissions);
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
