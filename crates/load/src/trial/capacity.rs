use base::{RequestId, TokenCount};
use engine::{EngineModel, EngineProfile, EngineRequest, EngineTime, EventDetail, PrefixChain};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::{GAP_LIMIT, WorkloadMix};

/// Numbers of calls kept in flight, of which the best within the limits counts.
const LEVELS: [usize; 14] = [8, 12, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 128];
/// Preemptions for each thousand requests up to which a level counts.
const PREEMPTION_LIMIT: f64 = 10.0;
/// Virtual time of each level and the part of it before tokens are counted.
const LEVEL_MICROS: u64 = 5_400_000_000;
const LEVEL_WARMUP: u64 = 1_800_000_000;

/// What one engine carries under a workload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EngineCapacity {
    /// Calls in flight at the level that counts.
    pub in_flight: usize,
    /// Output tokens each second.
    pub tokens_per_s: f64,
    /// Calls each second, from the mean output length.
    pub requests_per_s: f64,
    /// Mean output length of a call in tokens.
    pub mean_output: f64,
    /// 99th percentile of the gap between tokens at that level, in milliseconds.
    pub gap_p99_ms: f64,
    /// Preemptions for each thousand requests at that level.
    pub preemptions_per_1000: f64,
}

/// Measures the capacity of one engine: the largest token rate in a closed loop at which the
/// 99th percentile of the gap stays within 77 ms and at most 10 preemptions happen for each
/// thousand requests.
pub fn measure_capacity(mix: &WorkloadMix, profile: &EngineProfile) -> EngineCapacity {
    let mean_output = mix.mean_output();
    let mut best = EngineCapacity::default();
    for in_flight in LEVELS {
        let level = run_level(mix, profile, in_flight);
        let within = level.gap_p99_ms * 1e3 <= GAP_LIMIT as f64
            && level.preemptions_per_1000 <= PREEMPTION_LIMIT;
        if within && level.tokens_per_s > best.tokens_per_s {
            best = level;
        }
    }
    best.mean_output = mean_output;
    best.requests_per_s = best.tokens_per_s / mean_output.max(1.0);
    best
}

/// Keeps `in_flight` calls in one engine and counts.
fn run_level(mix: &WorkloadMix, profile: &EngineProfile, in_flight: usize) -> EngineCapacity {
    let mut random = Pcg64Mcg::seed_from_u64(in_flight as u64);
    let mut engine = EngineModel::new(profile.clone(), in_flight as u64);
    // The bounds are constants that the library accepts.
    let mut gaps = Histogram::<u64>::new_with_bounds(1, LEVEL_MICROS, 3).expect("valid bounds");
    let mut slots: Vec<EngineTime> = vec![EngineTime::default(); in_flight];
    let (mut tokens, mut finished) = (0_u64, 0_u64);
    let mut early_preemptions = None;
    let mut now = EngineTime::default();
    for slot in 0..in_flight {
        submit_slot(&mut engine, mix, &mut random, now, slot);
    }
    while now.as_micros() < LEVEL_MICROS {
        let Some(next) = engine.next_event_time() else {
            break;
        };
        now = next;
        let counted = now.as_micros() >= LEVEL_WARMUP;
        if counted && early_preemptions.is_none() {
            early_preemptions = Some(engine.load_figures().preemptions);
        }
        for event in engine.advance(now) {
            match event.detail {
                EventDetail::Token {
                    request, offset, ..
                } => {
                    let slot = slot_index(&request);
                    let gap = event.at.as_micros() - slots[slot].as_micros();
                    slots[slot] = event.at;
                    if counted {
                        tokens += 1;
                    }
                    if counted && offset > 0 {
                        gaps.saturating_record(gap.max(1));
                    }
                }
                EventDetail::Finished { request, .. } | EventDetail::Failed { request, .. } => {
                    finished += u64::from(counted);
                    submit_slot(&mut engine, mix, &mut random, now, slot_index(&request));
                }
                _ => {}
            }
        }
    }
    let seconds = (LEVEL_MICROS - LEVEL_WARMUP) as f64 / 1e6;
    let early = early_preemptions.unwrap_or_default();
    let preemptions = engine.load_figures().preemptions - early;
    EngineCapacity {
        in_flight,
        tokens_per_s: tokens as f64 / seconds,
        requests_per_s: 0.0,
        mean_output: 0.0,
        gap_p99_ms: gaps.value_at_quantile(0.99) as f64 / 1e3,
        preemptions_per_1000: preemptions as f64 * 1e3 / finished.max(1) as f64,
    }
}

fn submit_slot(
    engine: &mut EngineModel,
    mix: &WorkloadMix,
    random: &mut Pcg64Mcg,
    now: EngineTime,
    slot: usize,
) {
    let spec = mix.draw_any(random);
    // A letter and digits are always a valid name.
    let id: RequestId = format!("s{slot}").parse().expect("valid request id");
    let prompt = TokenCount(spec.prompt_tokens);
    let mut request = EngineRequest::new(id, prompt, TokenCount(spec.output_tokens));
    if spec.prefix_tokens > 0 {
        request = request.with_prefix(PrefixChain {
            fingerprint: spec.prefix,
            tokens: TokenCount(spec.prefix_tokens),
        });
    }
    // Fewer calls are in flight than the queue holds, so this is never refused.
    let _ = engine.submit(now, request);
}

fn slot_index(request: &RequestId) -> usize {
    let digits = request.as_str().strip_prefix('s');
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}
