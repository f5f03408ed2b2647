//! Tests of workloads and metrics.

use std::collections::BTreeMap;

use load::{
    ArrivalProcess, CallOutcome, CallTimeline, MetricsRecorder, WorkCounters, WorkloadKind,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Guards against output lengths without a heavy tail or outside the declared range.
#[parameterized(
    kanchan = { WorkloadKind::Kanchan },
    lanterna_sul = { WorkloadKind::LanternaSul },
)]
fn lengths_reach_from_a_few_tokens_to_thirty_thousand(kind: WorkloadKind) {
    let calls = kind.mix().draw_calls(200.0, 500.0, 1);
    let mut lengths: Vec<_> = calls.iter().map(|call| call.output_tokens).collect();
    lengths.sort_unstable();
    assert!(lengths[0] <= 8);
    assert_eq!(lengths[lengths.len() - 1], 30_000);
    let total: u64 = lengths.iter().map(|length| u64::from(*length)).sum();
    let tail = &lengths[lengths.len() * 95 / 100..];
    let tail: u64 = tail.iter().map(|length| u64::from(*length)).sum();
    assert!(tail * 3 > total, "the longest 5% make up {tail} of {total}");
}

/// Guards against mean arrival rates other than the planned one, which would change every
/// offered load.
#[parameterized(
    poisson = { ArrivalProcess::Poisson },
    burst = { ArrivalProcess::Burst { period: 30.0, length: 3.0, factor: 4.0 } },
    sinusoidal = { ArrivalProcess::Sinusoidal { period: 100.0, amplitude: 0.5 } },
)]
fn arrivals_keep_their_mean_rate(arrivals: ArrivalProcess) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let times = arrivals.draw_times(&mut random, 50.0, 600.0);
    assert!((28_500..31_500).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted());
}

/// Guards against workspaces of equal size and against prefixes that no calls share.
#[test]
fn few_workspaces_make_most_calls_and_share_prefixes() {
    let calls = WorkloadKind::Kanchan.mix().draw_calls(50.0, 200.0, 1);
    let mut counts = BTreeMap::new();
    for call in &calls {
        *counts.entry(call.workspace.clone()).or_insert(0_usize) += 1;
    }
    let mut counts: Vec<_> = counts.into_values().collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    assert_eq!(counts.len(), 10);
    assert!(counts[..3].iter().sum::<usize>() * 10 > calls.len() * 6);
    let shared = calls.iter().filter(|call| call.prefix_tokens > 0).count();
    assert!(shared * 2 > calls.len());
}

/// Guards against a definition of stall time other than the design's: the sum of all waits beyond
/// the limits, 810 ms for the first token and 77 ms for later ones.
#[test]
fn stall_time_counts_what_exceeds_the_limits() {
    let mut timeline = CallTimeline::new(1_000_000, true);
    assert_eq!(timeline.record_token(1_810_000), None);
    timeline.record_token(1_887_000);
    assert_eq!(timeline.stall_time(), 0);
    timeline.record_token(1_974_000);
    assert_eq!(timeline.stall_time(), 10_000);
    timeline.add_open_wait(2_074_000);
    assert_eq!(timeline.stall_time(), 33_000);
}

/// Guards against leaving out the stall time of a call that never got its first token, and
/// against counting refused calls in the times.
#[test]
fn open_calls_count_and_refused_ones_are_listed() {
    let mut recorder = MetricsRecorder::new();
    let mut open = CallTimeline::new(0, false);
    open.add_open_wait(1_810_000);
    recorder.record_call(&open, &CallOutcome::Unfinished);
    let refused = CallTimeline::new(0, true);
    recorder.record_call(&refused, &CallOutcome::Refused("overloaded".into()));
    recorder.set_work(WorkCounters {
        prefill: 50,
        generated: 40,
        recomputed: 10,
        lost: 10,
        preemptions: 1,
    });
    let metrics = recorder.summary(1.0);
    assert_eq!(metrics.stall_total_s, 1.0);
    assert_eq!((metrics.unfinished, metrics.refused()), (1, 1));
    assert_eq!(metrics.preemptions_per_1000, Some(500.0));
    assert_eq!(metrics.wasted_share, Some(0.2));
}
