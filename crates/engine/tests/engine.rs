//! Behaviour of the engine simulator: batching, memory, preemption, cache, priority, weights.

use base::{ByteCount, ByteRate, ClockTime, GenerationId, RequestId, TimeSpan, TokenCount};
use engine::{
    EngineEvent, EnginePriority, EngineProfile, EngineRequest, EngineSimulator, EventDetail,
    FailureReason, GenerationEnd, PreemptionPolicy, RefusalReason, SharedPrefix, WeightError,
    WeightKey,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Late enough for every request of a test to have ended.
const FAR: ClockTime = ClockTime::new(3_600_000);

fn id(number: usize) -> RequestId {
    format!("r{number}").parse().unwrap()
}

fn request(number: usize, prompt: u32, output: u32) -> EngineRequest {
    EngineRequest::new(id(number), TokenCount(prompt), TokenCount(output))
}

/// Ten pages of 16 tokens.
fn small_profile() -> EngineProfile {
    EngineProfile {
        memory_pages: 10,
        watermark_pages: 0,
        step_jitter: 0.0,
        ..EngineProfile::default()
    }
}

fn offsets(events: &[EngineEvent], wanted: &RequestId) -> Vec<u32> {
    let offset = |event: &EngineEvent| match &event.detail {
        EventDetail::Token {
            request, offset, ..
        } if request == wanted => Some(*offset),
        _ => None,
    };
    events.iter().filter_map(offset).collect()
}

fn finish_order(events: &[EngineEvent]) -> Vec<RequestId> {
    let finished = |event: &EngineEvent| match &event.detail {
        EventDetail::Finished { request, .. } => Some(request.clone()),
        _ => None,
    };
    events.iter().filter_map(finished).collect()
}

fn count(events: &[EngineEvent], wanted: fn(&EventDetail) -> bool) -> usize {
    events.iter().filter(|event| wanted(&event.detail)).count()
}

/// Guards against sequences that run one after the other, and against a batch size that does not
/// affect the time of a step.
#[test]
fn batch_shares_steps_and_slows_them() {
    let span = |batch: usize| {
        let mut engine = EngineSimulator::new(EngineProfile::default(), 1);
        for number in 0..batch {
            engine
                .submit(ClockTime::ZERO, request(number, 16, 100))
                .unwrap();
        }
        engine.advance(FAR).last().unwrap().at.as_micros()
    };
    let (one, many) = (span(1), span(64));
    assert!(many > one * 3 / 2, "{many} against {one}");
    assert!(many < one * 4, "{many} against {one}");
}

/// Guards against prompts that stop all decoding while they are prefilled.
#[test]
fn long_prompt_is_prefilled_in_chunks() {
    let profile = EngineProfile::default();
    let mut engine = EngineSimulator::new(profile.clone(), 1);
    engine.submit(ClockTime::ZERO, request(0, 16, 200)).unwrap();
    engine.advance(ClockTime::new(200));
    engine
        .submit(ClockTime::new(200), request(1, 20_000, 1))
        .unwrap();
    let events = engine.advance(FAR);
    let token = |event: &&EngineEvent| matches!(&event.detail, EventDetail::Token { request, .. } if *request == id(0));
    let times: Vec<_> = events
        .iter()
        .filter(token)
        .map(|event| event.at.as_micros())
        .collect();
    let longest = times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap();
    let bound = profile.step_micros(2, 21_000, profile.step_tokens) * 1.03;
    assert!(longest as f64 <= bound, "{longest} over {bound}");
}

/// Guards against page use that does not grow with the generated tokens, and against page leaks.
#[test]
fn pages_grow_with_tokens_and_are_freed() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    engine.submit(ClockTime::ZERO, request(0, 16, 64)).unwrap();
    engine.advance(ClockTime::ZERO);
    let start = engine.load_stats().used_pages;
    engine.advance(ClockTime::new(600));
    assert!(engine.load_stats().used_pages > start);
    engine.advance(FAR);
    assert_eq!(engine.load_stats().used_pages, 0);
}

/// Guards against lost or duplicated tokens after a preemption, and against preempting the wrong
/// sequence.
#[test]
fn full_memory_preempts_the_youngest_and_recomputes_it() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    engine.submit(ClockTime::ZERO, request(0, 16, 90)).unwrap();
    engine.submit(ClockTime::ZERO, request(1, 16, 90)).unwrap();
    let events = engine.advance(FAR);
    let preempted: Vec<_> = events
        .iter()
        .filter_map(|event| match &event.detail {
            EventDetail::Preempted {
                request,
                recomputed,
            } => Some((request.clone(), recomputed.0)),
            _ => None,
        })
        .collect();
    assert_eq!(preempted.len(), 1);
    assert_eq!(preempted[0].0, id(1));
    assert!(preempted[0].1 > 16);
    assert_eq!(
        engine.load_stats().recomputed_tokens,
        u64::from(preempted[0].1)
    );
    for number in 0..2 {
        assert_eq!(offsets(&events, &id(number)), (0..90).collect::<Vec<_>>());
    }
}

/// Guards against recomputing a sequence whose preemption policy is to fail.
#[test]
fn preemption_fails_a_sequence_with_the_fail_policy() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    engine.submit(ClockTime::ZERO, request(0, 16, 90)).unwrap();
    let failing = request(1, 16, 90).with_preemption_policy(PreemptionPolicy::Fail);
    let generation = engine.submit(ClockTime::ZERO, failing).unwrap();
    let events = engine.advance(ClockTime::new(10_000));
    assert_eq!(finish_order(&events), [id(0)]);
    let end = engine.read_generation(&generation).unwrap().end;
    assert_eq!(end, Some(GenerationEnd::Failed(FailureReason::Preempted)));
    assert_eq!(engine.load_stats().preemptions, 1);
}

/// Guards against an engine that stops stepping after its only running sequence outgrew the memory.
#[test]
fn engine_continues_after_a_sequence_outgrew_the_memory() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    engine
        .submit(ClockTime::ZERO, request(0, 100, 500))
        .unwrap();
    engine.submit(ClockTime::ZERO, request(1, 100, 5)).unwrap();
    let events = engine.advance(FAR);
    assert_eq!(finish_order(&events), [id(1)]);
    assert_eq!(engine.next_event_at(), None);
}

/// Guards against a cache that saves no prefill, or whose idle prefixes block allocations.
#[test]
fn prefix_cache_saves_prefill_and_evicts_in_lru_order() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    let prefix = |fingerprint| SharedPrefix {
        fingerprint,
        tokens: TokenCount(48),
    };
    for number in 0..2 {
        let shared = request(number, 60, 2).with_prefix(prefix(number as u64));
        engine
            .submit(ClockTime::new(number as u64 * 1_000), shared)
            .unwrap();
    }
    engine.advance(ClockTime::new(2_000));
    assert_eq!(engine.load_stats().cached_pages, 6);
    let again = request(2, 60, 2).with_prefix(prefix(0));
    engine.submit(ClockTime::new(2_000), again).unwrap();
    let events = engine.advance(ClockTime::new(3_000));
    let hit = |detail: &EventDetail| matches!(detail, EventDetail::Admitted { cached, .. } if cached.0 == 48);
    assert_eq!(count(&events, hit), 1);
    engine
        .submit(ClockTime::new(3_000), request(3, 100, 2))
        .unwrap();
    let events = engine.advance(ClockTime::new(4_000));
    let evicted = |event: &EngineEvent| match event.detail {
        EventDetail::CacheEvicted { fingerprint } => Some(fingerprint),
        _ => None,
    };
    assert_eq!(events.iter().filter_map(evicted).collect::<Vec<_>>(), [1]);
}

/// Guards against cancelled requests that keep running or hold pages.
#[test]
fn cancel_ends_waiting_and_running_requests() {
    let mut engine = EngineSimulator::new(small_profile(), 1);
    engine.submit(ClockTime::ZERO, request(0, 100, 50)).unwrap();
    let waiting = engine.submit(ClockTime::ZERO, request(1, 100, 50)).unwrap();
    engine.advance(ClockTime::new(300));
    assert_eq!(engine.load_stats().waiting, 1);
    assert_eq!(
        engine.cancel_generation(ClockTime::new(300), &waiting),
        Some(TokenCount(0))
    );
    let produced = engine.cancel(ClockTime::new(300), &id(0)).unwrap();
    assert!(produced.0 > 0);
    assert_eq!(engine.cancel(ClockTime::new(300), &id(0)), None);
    let events = engine.advance(FAR);
    assert_eq!(offsets(&events, &id(0)), []);
    let stats = engine.load_stats();
    assert_eq!((stats.running, stats.waiting, stats.used_pages), (0, 0, 0));
}

/// Guards against admission by arrival alone, and against a priority change that has no effect.
#[test]
fn priority_orders_admission_and_can_change() {
    let profile = EngineProfile {
        batch_limit: 1,
        ..small_profile()
    };
    let mut engine = EngineSimulator::new(profile, 1);
    for number in 0..4 {
        let priority = EnginePriority(if number == 2 { 0 } else { 5 });
        let item = request(number, 16, 10).with_priority(priority);
        engine.submit(ClockTime::ZERO, item).unwrap();
    }
    assert!(engine.set_priority(ClockTime::ZERO, &id(3), EnginePriority(1)));
    assert!(!engine.set_priority(ClockTime::ZERO, &id(9), EnginePriority(1)));
    let events = engine.advance(FAR);
    assert_eq!(finish_order(&events), [id(0), id(2), id(3), id(1)]);
}

/// Guards against an unbounded wait queue and against accepting prompts that can never run.
#[test]
fn requests_that_cannot_wait_are_refused() {
    let profile = EngineProfile {
        queue_limit: 1,
        batch_limit: 1,
        ..small_profile()
    };
    let mut engine = EngineSimulator::new(profile, 1);
    engine.submit(ClockTime::ZERO, request(0, 16, 10)).unwrap();
    engine.submit(ClockTime::ZERO, request(1, 16, 10)).unwrap();
    let full = engine.submit(ClockTime::ZERO, request(2, 16, 10));
    assert_eq!(full, Err(RefusalReason::QueueFull));
    engine.advance(FAR);
    let long = engine.submit(FAR, request(3, 160, 10));
    assert_eq!(long, Err(RefusalReason::PromptTooLong));
    let events = engine.advance(FAR);
    assert_eq!(
        count(&events, |detail| matches!(
            detail,
            EventDetail::Refused { .. }
        )),
        1
    );
}

/// Guards against generations that cannot be read for a resume, or that are retained forever.
#[test]
fn generation_is_readable_for_its_retention() {
    let profile = EngineProfile {
        retention: TimeSpan::from_secs(10),
        ..EngineProfile::default()
    };
    let mut engine = EngineSimulator::new(profile, 7);
    let generation = engine.submit(ClockTime::ZERO, request(0, 16, 20)).unwrap();
    engine.advance(ClockTime::new(150));
    let view = engine.read_generation(&generation).unwrap();
    assert!(view.end.is_none() && view.produced.0 > 0);
    engine.advance(ClockTime::new(5_000));
    let view = engine.read_generation(&generation).unwrap();
    assert_eq!(view.end, Some(GenerationEnd::Finished));
    assert_eq!(view.offsets_from(15), 15..20);
    engine.advance(ClockTime::new(20_000));
    assert_eq!(engine.read_generation(&generation), None);
    let unknown: GenerationId = "g0-1".parse().unwrap();
    assert_eq!(engine.read_generation(&unknown), None);
}

/// Guards against weights that load instantly, take no pages, or are unloaded while in use.
#[test]
fn weights_load_at_a_rate_and_unload_when_unused() {
    let profile = EngineProfile {
        page_bytes: ByteCount(1_000),
        weight_rate: ByteRate(1_000),
        ..small_profile()
    };
    let mut engine = EngineSimulator::new(profile, 1);
    let key = WeightKey::new("quill".parse().unwrap(), "2".parse().unwrap());
    let bound = |number| request(number, 16, 20).with_weights(key.clone());
    let early = engine.submit(ClockTime::ZERO, bound(0));
    assert_eq!(early, Err(RefusalReason::NotLoaded));
    let ready = engine
        .load_weights(ClockTime::ZERO, key.clone(), ByteCount(4_000))
        .unwrap();
    assert_eq!(ready.to_clock_ceil(), ClockTime::new(4_000));
    assert_eq!(engine.load_stats().total_pages, 6);
    let adapter = key.clone().with_adapter("style".parse().unwrap());
    let full = engine.load_weights(ClockTime::ZERO, adapter, ByteCount(7_000));
    assert!(matches!(
        full,
        Err(WeightError::MemoryFull { needed: 7, .. })
    ));
    engine.advance(ClockTime::new(4_000));
    assert_eq!(engine.loaded_weights(), std::slice::from_ref(&key));
    engine.submit(ClockTime::new(4_000), bound(1)).unwrap();
    engine.unload_weights(ClockTime::new(4_000), &key).unwrap();
    assert_eq!(engine.load_stats().total_pages, 6);
    let events = engine.advance(FAR);
    assert_eq!(finish_order(&events), [id(1)]);
    assert_eq!(engine.load_stats().total_pages, 10);
    assert_eq!(
        engine.unload_weights(FAR, &key),
        Err(WeightError::NotLoaded)
    );
}

#[derive(Clone, Debug)]
enum Action {
    Submit {
        prompt: u32,
        output: u32,
        prefix: u64,
        priority: u8,
        fail: bool,
    },
    Cancel(usize),
    Prioritise(usize, u8),
    Advance(u64),
}

fn action_strategy() -> impl Strategy<Value = Action> {
    let submit = (1_u32..120, 1_u32..120, 0_u64..4, 0_u8..3, any::<bool>()).prop_map(
        |(prompt, output, prefix, priority, fail)| Action::Submit {
            prompt,
            output,
            prefix,
            priority,
            fail,
        },
    );
    prop_oneof![
        4 => submit,
        1 => (0_usize..40).prop_map(Action::Cancel),
        1 => (0_usize..40, 0_u8..3).prop_map(|(at, priority)| Action::Prioritise(at, priority)),
        4 => (1_u64..900).prop_map(Action::Advance),
    ]
}

fn apply(engine: &mut EngineSimulator, now: &mut ClockTime, number: &mut usize, action: &Action) {
    match *action {
        Action::Submit {
            prompt,
            output,
            prefix,
            priority,
            fail,
        } => {
            let mut item = request(*number, prompt, output).with_priority(EnginePriority(priority));
            *number += 1;
            if prefix > 0 && prompt > 40 {
                let tokens = TokenCount(32);
                item = item.with_prefix(SharedPrefix {
                    fingerprint: prefix,
                    tokens,
                });
            }
            if fail {
                item = item.with_preemption_policy(PreemptionPolicy::Fail);
            }
            // The engine may refuse the request.
            let _ = engine.submit(*now, item);
        }
        Action::Cancel(at) => {
            engine.cancel(*now, &id(at));
        }
        Action::Prioritise(at, priority) => {
            engine.set_priority(*now, &id(at), EnginePriority(priority));
        }
        Action::Advance(millis) => *now += TimeSpan::new(millis),
    }
}

/// Guards against pages that are leaked or counted twice, and against simulations that depend on
/// anything but the calls and the seed.
#[test]
fn page_counts_are_consistent_and_simulations_are_deterministic() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), random);
    let actions = proptest::collection::vec(action_strategy(), 1..80);
    let check = |actions: Vec<Action>| {
        let mut engines = [0, 1].map(|_| EngineSimulator::new(small_profile(), 3));
        let (mut now, mut number) = ([ClockTime::ZERO; 2], [0; 2]);
        for action in &actions {
            let mut seen = Vec::new();
            for (at, engine) in engines.iter_mut().enumerate() {
                apply(engine, &mut now[at], &mut number[at], action);
                let events = engine.advance(now[at]);
                prop_assert!(events.is_sorted_by_key(|event| event.at));
                seen.push((events, engine.load_stats()));
            }
            let stats = seen[0].1;
            prop_assert!(stats.used_pages + stats.cached_pages <= stats.total_pages);
            prop_assert_eq!(&seen[0], &seen[1]);
        }
        let engine = &mut engines[0];
        engine.advance(FAR);
        let stats = engine.load_stats();
        prop_assert_eq!((stats.running, stats.waiting, stats.used_pages), (0, 0, 0));
        Ok(())
    };
    runner.run(&actions, check).unwrap();
}
