use base::{RequestId, TokenCount};
use engine::{
    EngineEvent, EngineProfile, EngineRequest, EngineSimulator, EngineTime, EventDetail,
    SharedPrefix,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::WorkloadMix;

/// Calls kept in flight; enough to keep the memory of an engine full.
const IN_FLIGHT: usize = 96;
/// Virtual time of the run, and of its first part in which tokens are not counted.
const RUN_MICROS: u64 = 8 * 3_600_000_000;
const WARMUP_MICROS: u64 = 1_800_000_000;
const RUN_SEED: u64 = 1;

/// Throughput of one engine under a workload when it never runs out of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EngineCapacity {
    /// Output tokens each second.
    pub tokens_per_s: f64,
    /// Calls each second: the token rate over the mean output length.
    pub requests_per_s: f64,
    /// Mean output length of a call in tokens.
    pub mean_output: f64,
    /// Mean number of sequences in the batch.
    pub mean_batch: f64,
    /// Preemptions for each thousand requests.
    pub preemptions_per_1000: f64,
}

/// Measures the capacity of one engine: its token rate in a closed loop with 96 calls in
/// flight over 7.5 hours of virtual time, after a warm-up of half an hour.
pub fn measure_capacity(mix: &WorkloadMix, profile: &EngineProfile) -> EngineCapacity {
    let mut closed = ClosedLoop::new(mix, profile);
    closed.run();
    closed.capacity()
}

/// Runs one engine with a fixed number of calls in flight: each that ends is replaced at once.
struct ClosedLoop<'a> {
    mix: &'a WorkloadMix,
    engine: EngineSimulator,
    random: Pcg64Mcg,
    tokens: u64,
    finished: u64,
    steps: u64,
    batch_sum: u64,
    warmup_preemptions: u64,
}

impl<'a> ClosedLoop<'a> {
    fn new(mix: &'a WorkloadMix, profile: &EngineProfile) -> Self {
        Self {
            mix,
            engine: EngineSimulator::new(profile.clone(), RUN_SEED),
            random: Pcg64Mcg::seed_from_u64(RUN_SEED),
            tokens: 0,
            finished: 0,
            steps: 0,
            batch_sum: 0,
            warmup_preemptions: 0,
        }
    }

    fn run(&mut self) {
        for slot in 0..IN_FLIGHT {
            self.submit_slot(EngineTime::default(), slot);
        }
        while let Some(now) = self.engine.next_event_time() {
            if now.as_micros() >= RUN_MICROS {
                return;
            }
            self.advance_engine(now);
        }
    }

    fn advance_engine(&mut self, now: EngineTime) {
        let counted = now.as_micros() >= WARMUP_MICROS;
        let figures = self.engine.load_stats();
        if counted {
            self.steps += 1;
            self.batch_sum += u64::from(figures.running);
        } else {
            self.warmup_preemptions = figures.preemptions;
        }
        for event in self.engine.advance(now) {
            self.handle_event(event, counted);
        }
    }

    fn handle_event(&mut self, event: EngineEvent, counted: bool) {
        match event.detail {
            EventDetail::Token { .. } => self.tokens += u64::from(counted),
            EventDetail::Finished { request, .. } | EventDetail::Failed { request, .. } => {
                self.finished += u64::from(counted);
                self.submit_slot(event.at, slot_index(&request));
            }
            _ => {}
        }
    }

    fn submit_slot(&mut self, now: EngineTime, slot: usize) {
        let spec = self.mix.draw_any_call(&mut self.random);
        // A letter and digits are always a valid name.
        let id: RequestId = format!("s{slot}").parse().expect("valid request id");
        let prompt = TokenCount(spec.prompt_tokens);
        let mut request = EngineRequest::new(id, prompt, TokenCount(spec.output_tokens));
        if spec.prefix_tokens > 0 {
            request = request.with_prefix(SharedPrefix {
                fingerprint: spec.prefix,
                tokens: TokenCount(spec.prefix_tokens),
            });
        }
        // Fewer calls are in flight than the queue holds, so none is refused.
        let _ = self.engine.submit(now, request);
    }

    fn capacity(&self) -> EngineCapacity {
        let seconds = (RUN_MICROS - WARMUP_MICROS) as f64 / 1e6;
        let tokens_per_s = self.tokens as f64 / seconds;
        let mean_output = self.mix.mean_output_tokens();
        let preemptions = self.engine.load_stats().preemptions - self.warmup_preemptions;
        EngineCapacity {
            tokens_per_s,
            requests_per_s: tokens_per_s / mean_output.max(1.0),
            mean_output,
            mean_batch: self.batch_sum as f64 / self.steps.max(1) as f64,
            preemptions_per_1000: preemptions as f64 * 1e3 / self.finished.max(1) as f64,
        }
    }
}

fn slot_index(request: &RequestId) -> usize {
    let digits = request.as_str().strip_prefix('s');
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}
