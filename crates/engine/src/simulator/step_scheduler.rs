use base::TokenCount;
use rand::Rng;

use super::EngineSimulator;
use crate::batch::SequenceState;
use crate::generation::GenerationEnd;
use crate::{EngineTime, EventDetail, FailureReason, PreemptionPolicy};

impl EngineSimulator {
    /// Schedules and starts the next step, unless one is in progress or there is no work.
    pub(super) fn begin_step(&mut self, now: EngineTime) {
        if self.step_end.is_some() {
            return;
        }
        let preempted = self.allocate_decode_pages(now);
        if !preempted || self.running.is_empty() {
            self.admit_waiting(now);
        }
        let (decoding, context) = self.schedule_decodes();
        let prefill = self.schedule_prefill(decoding);
        self.record_evictions(now);
        if self.running.is_empty() {
            return;
        }
        let micros = self.profile.step_micros(decoding, context, prefill);
        let jitter = self.profile.step_jitter;
        let factor = 1.0 + jitter * self.random.random_range(-1.0..=1.0);
        self.step_end = Some(now.plus_micros((micros * factor).max(1.0) as u64));
    }

    /// Applies the results of the step that ends now and starts the next one.
    pub(super) fn end_step(&mut self, now: EngineTime) {
        self.step_end = None;
        let mut at = 0;
        while at < self.running.len() {
            if self.complete_sequence_step(now, at) {
                let sequence = self.running.remove(at);
                self.end_sequence(now, sequence, GenerationEnd::Finished);
            } else {
                at += 1;
            }
        }
        self.begin_step(now);
    }

    /// Allocates the page that each decoding sequence needs for its next token, preempting
    /// sequences while the memory is full; true if a sequence was preempted.
    fn allocate_decode_pages(&mut self, now: EngineTime) -> bool {
        let mut preempted = false;
        let mut at = 0;
        while at < self.running.len() {
            let sequence = &self.running[at];
            let needed = self.profile.pages_for(sequence.computed + 1);
            if !sequence.is_decoding() || needed <= sequence.pages() {
                at += 1;
                continue;
            }
            if self.memory.allocate(1) {
                self.running[at].own_pages += 1;
                at += 1;
                continue;
            }
            preempted = true;
            let victim = self.preemption_victim();
            self.preempt(now, victim);
            if victim < at {
                at -= 1;
            }
        }
        preempted
    }

    /// Returns the running sequence of the lowest priority, the latest arrival among equals.
    fn preemption_victim(&self) -> usize {
        let sequences = self.running.iter().enumerate();
        let last = sequences.max_by_key(|(_, sequence)| sequence.scheduling_key());
        last.map_or(0, |(at, _)| at)
    }

    fn preempt(&mut self, now: EngineTime, at: usize) {
        let alone = self.running.len() == 1;
        let mut sequence = self.running.remove(at);
        let fails = alone || sequence.request.preemption_policy == PreemptionPolicy::Fail;
        let recomputed = if fails { 0 } else { sequence.computed };
        self.preemptions += 1;
        self.recomputed += u64::from(recomputed);
        let request = sequence.request.id.clone();
        let recomputed = TokenCount(recomputed);
        self.record(
            now,
            EventDetail::Preempted {
                request,
                recomputed,
            },
        );
        if !fails {
            self.release_pages(&sequence);
            sequence.reset();
            self.waiting.push(sequence);
            return;
        }
        let reason = match alone {
            true => FailureReason::MemoryFull,
            false => FailureReason::Preempted,
        };
        self.fail(now, sequence, reason);
    }

    fn fail(&mut self, now: EngineTime, sequence: SequenceState, reason: FailureReason) {
        let detail = EventDetail::Failed {
            request: sequence.request.id.clone(),
            generation: sequence.generation.clone(),
            reason,
            count: TokenCount(sequence.produced),
        };
        self.record(now, detail);
        self.end_sequence(now, sequence, GenerationEnd::Failed(reason));
    }

    /// Moves waiting sequences into the batch in queue order until the next one does not fit.
    fn admit_waiting(&mut self, now: EngineTime) {
        while self.running.len() < self.profile.batch_limit as usize {
            let Some(first) = self.waiting.first() else {
                return;
            };
            let total = self.profile.pages_for(first.prefill_end + 1);
            if total > self.memory.usable() {
                if let Some(sequence) = self.waiting.pop_first() {
                    self.fail(now, sequence, FailureReason::MemoryFull);
                }
                continue;
            }
            let prefix = first.request.prefix;
            let hit = prefix.and_then(|prefix| self.memory.find_prefix(prefix.fingerprint));
            let (shared, idle) = hit.unwrap_or_default();
            let own = total.saturating_sub(shared);
            // The pages of an idle prefix count as available until this sequence starts to use it.
            let needed = own + if idle { shared } else { 0 };
            let watermark = match self.running.is_empty() {
                true => 0,
                false => self.profile.watermark_pages,
            };
            if needed + watermark > self.memory.available() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_first() else {
                return;
            };
            if let (Some(prefix), true) = (prefix, shared > 0) {
                self.memory.acquire_prefix(prefix.fingerprint);
            }
            self.memory.allocate(own);
            sequence.own_pages = own;
            sequence.shared_pages = shared;
            let cached = shared * self.profile.page_tokens;
            sequence.computed = cached.min(sequence.prefill_end - 1);
            self.record_admission(now, &mut sequence);
            self.running.push(sequence);
        }
    }

    fn record_admission(&mut self, now: EngineTime, sequence: &mut SequenceState) {
        if sequence.admitted {
            return;
        }
        sequence.admitted = true;
        let detail = EventDetail::Admitted {
            request: sequence.request.id.clone(),
            generation: sequence.generation.clone(),
            cached: TokenCount(sequence.computed),
        };
        self.record(now, detail);
    }

    /// Schedules each decoding sequence; returns their number and the tokens in the KV cache of
    /// all running sequences.
    fn schedule_decodes(&mut self) -> (u32, u64) {
        let (mut decoding, mut context) = (0, 0);
        for sequence in &mut self.running {
            context += u64::from(sequence.computed);
            sequence.chunk = 0;
            sequence.scheduled = sequence.is_decoding();
            decoding += u32::from(sequence.scheduled);
        }
        (decoding, context)
    }

    /// Divides the tokens that decoding leaves of the step into prefill chunks, by priority and
    /// arrival; returns the tokens to prefill.
    fn schedule_prefill(&mut self, decoding: u32) -> u32 {
        let budget = self.profile.step_tokens.saturating_sub(decoding).max(1);
        let prompts = self.running.iter().enumerate();
        let mut order: Vec<_> = prompts
            .filter(|(_, sequence)| !sequence.is_decoding())
            .map(|(at, sequence)| (sequence.scheduling_key(), at))
            .collect();
        order.sort_unstable();
        let mut left = budget;
        for (_, at) in order {
            let sequence = &mut self.running[at];
            let chunk = left.min(sequence.prefill_end - sequence.computed);
            sequence.chunk = chunk;
            sequence.scheduled = chunk > 0;
            left -= chunk;
        }
        budget - left
    }

    /// Applies the result of the step to one sequence; true if it generated its last token.
    fn complete_sequence_step(&mut self, now: EngineTime, at: usize) -> bool {
        let sequence = &mut self.running[at];
        if !sequence.scheduled {
            return false;
        }
        sequence.scheduled = false;
        if sequence.chunk > 0 {
            sequence.computed += sequence.chunk;
            sequence.chunk = 0;
            if !sequence.is_decoding() {
                return false;
            }
            self.cache_prefix(now, at);
        } else {
            sequence.computed += 1;
        }
        self.emit_token(now, at)
    }

    /// Moves the pages of a prefix into the prefix cache once its prompt has been prefilled.
    fn cache_prefix(&mut self, now: EngineTime, at: usize) {
        let sequence = &mut self.running[at];
        let Some(prefix) = sequence.request.prefix else {
            return;
        };
        let length = prefix.tokens.0.min(sequence.request.prompt_tokens.0);
        let pages = length / self.profile.page_tokens;
        let cached = self.memory.find_prefix(prefix.fingerprint).is_some();
        if cached || pages == 0 || sequence.shared_pages > 0 {
            return;
        }
        sequence.own_pages -= pages;
        sequence.shared_pages = pages;
        let fingerprint = prefix.fingerprint;
        self.memory.share_prefix(fingerprint, pages);
        self.record(now, EventDetail::CacheStored { fingerprint });
    }

    /// Records the next token of a sequence; true if it was the last one.
    fn emit_token(&mut self, now: EngineTime, at: usize) -> bool {
        let sequence = &mut self.running[at];
        let offset = sequence.produced;
        sequence.produced += 1;
        let (request, generation) = (&sequence.request.id, &sequence.generation);
        let (request, generation) = (request.clone(), generation.clone());
        let count = TokenCount(sequence.produced);
        let last = sequence.produced >= sequence.request.output_tokens.0;
        let token = EventDetail::Token {
            request: request.clone(),
            generation: generation.clone(),
            offset,
        };
        self.record(now, token);
        if last {
            let finished = EventDetail::Finished {
                request,
                generation,
                count,
            };
            self.record(now, finished);
        }
        last
    }
}
