use base::TokenCount;
use rand::Rng;

use super::EngineModel;
use crate::batch::SequenceState;
use crate::generation::GenerationEnd;
use crate::{EngineTime, EventDetail, FailReason, FullRule};

impl EngineModel {
    /// Starts the next step if there is work and none is under way.
    pub(super) fn begin_step(&mut self, now: EngineTime) {
        if self.step_end.is_some() {
            return;
        }
        let preempted = self.grow_sequences(now);
        if !preempted || self.running.is_empty() {
            self.admit_waiting(now);
        }
        let (decoding, context) = self.mark_sequences();
        let prefill = self.plan_prefill(decoding);
        self.record_evictions(now);
        if self.running.is_empty() {
            return;
        }
        let micros = self.profile.step_micros(decoding, context, prefill);
        let jitter = self.profile.step_jitter;
        let factor = 1.0 + jitter * self.random.random_range(-1.0..=1.0);
        self.step_end = Some(now.plus_micros((micros * factor).max(1.0) as u64));
    }

    /// Carries out what the step at hand computed and starts the next one.
    pub(super) fn end_step(&mut self, now: EngineTime) {
        self.step_end = None;
        let mut at = 0;
        while at < self.running.len() {
            if self.finish_part(now, at) {
                let sequence = self.running.remove(at);
                self.end_sequence(now, sequence, GenerationEnd::Finished);
            } else {
                at += 1;
            }
        }
        self.begin_step(now);
    }

    /// Gives each decoding sequence room for one more token; true if that took a preemption.
    fn grow_sequences(&mut self, now: EngineTime) -> bool {
        let mut preempted = false;
        let mut at = 0;
        while at < self.running.len() {
            let sequence = &self.running[at];
            let needed = self.profile.pages_for(sequence.filled + 1);
            if !sequence.is_decoding() || needed <= sequence.pages() {
                at += 1;
                continue;
            }
            if self.memory.take(1) {
                self.running[at].own_pages += 1;
                at += 1;
                continue;
            }
            preempted = true;
            let victim = self.find_victim();
            self.preempt(now, victim);
            if victim < at {
                at -= 1;
            }
        }
        preempted
    }

    /// The running sequence of the lowest priority, the youngest among equals.
    fn find_victim(&self) -> usize {
        let ranked = self.running.iter().enumerate();
        let last = ranked.max_by_key(|(_, sequence)| sequence.rank());
        last.map_or(0, |(at, _)| at)
    }

    fn preempt(&mut self, now: EngineTime, at: usize) {
        let alone = self.running.len() == 1;
        let mut sequence = self.running.remove(at);
        let fails = alone || sequence.request.on_full == FullRule::Fail;
        let recomputed = if fails { 0 } else { sequence.filled };
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
            true => FailReason::MemoryFull,
            false => FailReason::Preempted,
        };
        self.fail(now, sequence, reason);
    }

    fn fail(&mut self, now: EngineTime, sequence: SequenceState, reason: FailReason) {
        let detail = EventDetail::Failed {
            request: sequence.request.id.clone(),
            generation: sequence.generation.clone(),
            reason,
            count: TokenCount(sequence.produced),
        };
        self.record(now, detail);
        self.end_sequence(now, sequence, GenerationEnd::Failed(reason));
    }

    /// Moves waiting sequences into the batch in their order while they fit.
    fn admit_waiting(&mut self, now: EngineTime) {
        while self.running.len() < self.profile.batch_limit as usize {
            let Some(first) = self.waiting.first() else {
                return;
            };
            let whole = self.profile.pages_for(first.fill_goal + 1);
            if whole > self.memory.usable() {
                if let Some(sequence) = self.waiting.pop_first() {
                    self.fail(now, sequence, FailReason::MemoryFull);
                }
                continue;
            }
            let prefix = first.request.prefix;
            let hit = prefix.and_then(|prefix| self.memory.find_prefix(prefix.fingerprint));
            let (shared, idle) = hit.unwrap_or_default();
            let own = whole.saturating_sub(shared);
            // An idle prefix counts as available until this sequence starts to use it.
            let wanted = own + if idle { shared } else { 0 };
            let spare = match self.running.is_empty() {
                true => 0,
                false => self.profile.spare_pages,
            };
            if wanted + spare > self.memory.available() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_first() else {
                return;
            };
            if let (Some(prefix), true) = (prefix, shared > 0) {
                self.memory.acquire_prefix(prefix.fingerprint);
            }
            self.memory.take(own);
            sequence.own_pages = own;
            sequence.shared_pages = shared;
            let cached = shared * self.profile.page_tokens;
            sequence.filled = cached.min(sequence.fill_goal - 1);
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
            cached: TokenCount(sequence.filled),
        };
        self.record(now, detail);
    }

    /// Marks what takes part in the step and returns the decoding sequences and their context.
    fn mark_sequences(&mut self) -> (u32, u64) {
        let (mut decoding, mut context) = (0, 0);
        for sequence in &mut self.running {
            context += u64::from(sequence.filled);
            sequence.planned = 0;
            sequence.in_step = sequence.is_decoding();
            decoding += u32::from(sequence.in_step);
        }
        (decoding, context)
    }

    /// Spreads the prefill budget over the prompts in the order of rank.
    fn plan_prefill(&mut self, decoding: u32) -> u32 {
        let budget = self.profile.step_tokens.saturating_sub(decoding).max(1);
        let prompts = self.running.iter().enumerate();
        let mut order: Vec<_> = prompts
            .filter(|(_, sequence)| !sequence.is_decoding())
            .map(|(at, sequence)| (sequence.rank(), at))
            .collect();
        order.sort_unstable();
        let mut left = budget;
        for (_, at) in order {
            let sequence = &mut self.running[at];
            let chunk = left.min(sequence.fill_goal - sequence.filled);
            sequence.planned = chunk;
            sequence.in_step = chunk > 0;
            left -= chunk;
        }
        budget - left
    }

    /// Books the step for one sequence; true if it generated its last token.
    fn finish_part(&mut self, now: EngineTime, at: usize) -> bool {
        let sequence = &mut self.running[at];
        if !sequence.in_step {
            return false;
        }
        sequence.in_step = false;
        if sequence.planned > 0 {
            sequence.filled += sequence.planned;
            sequence.planned = 0;
            if !sequence.is_decoding() {
                return false;
            }
            self.store_prefix(now, at);
        } else {
            sequence.filled += 1;
        }
        self.emit_token(now, at)
    }

    /// Shares the pages of a prefix once its prompt is in memory.
    fn store_prefix(&mut self, now: EngineTime, at: usize) {
        let sequence = &mut self.running[at];
        let Some(prefix) = sequence.request.prefix else {
            return;
        };
        let whole = prefix.tokens.0.min(sequence.request.prompt_tokens.0);
        let pages = whole / self.profile.page_tokens;
        let held = self.memory.find_prefix(prefix.fingerprint).is_some();
        if held || pages == 0 || sequence.shared_pages > 0 {
            return;
        }
        sequence.own_pages -= pages;
        sequence.shared_pages = pages;
        let fingerprint = prefix.fingerprint;
        self.memory.share_prefix(fingerprint, pages);
        self.record(now, EventDetail::CacheStored { fingerprint });
    }

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
