//! Workloads and measures.

use std::collections::BTreeMap;

use load::{ArrivalLaw, CallOutcome, CallTimeline, MeasureBook, WorkTally, WorkloadKind};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Guards against workloads without a heavy tail, or whose lengths leave the declared range.
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

/// Guards against rates that differ from the planned one, which would shift every load.
#[parameterized(
    poisson = { ArrivalLaw::Poisson },
    burst = { ArrivalLaw::Burst { period: 30.0, length: 3.0, factor: 4.0 } },
    shift = { ArrivalLaw::Shift { period: 100.0, swing: 0.5 } },
)]
fn arrivals_keep_their_mean_rate(law: ArrivalLaw) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let times = law.draw_times(&mut random, 50.0, 600.0);
    assert!((28_500..31_500).contains(&times.len()), "{}", times.len());
    assert!(times.is_sorted());
}

/// Guards against workspaces of equal size and against prefixes that nobody shares.
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

/// Guards against a definition of stall time other than that of the design.
#[test]
fn stall_time_counts_what_exceeds_the_limits() {
    let mut timeline = CallTimeline::new(1_000_000, true);
    assert_eq!(timeline.add_token(1_810_000), None);
    timeline.add_token(1_887_000);
    assert_eq!(timeline.stall(), 0);
    timeline.add_token(1_974_000);
    assert_eq!(timeline.stall(), 10_000);
    timeline.close_open(2_074_000);
    assert_eq!(timeline.stall(), 33_000);
}

/// Guards against stall time that vanishes because a call never got its first token.
#[test]
fn open_calls_count_and_refused_ones_are_listed() {
    let mut book = MeasureBook::new();
    let mut open = CallTimeline::new(0, false);
    open.close_open(1_810_000);
    book.add_call(&open, &CallOutcome::Unfinished);
    let refused = CallTimeline::new(0, true);
    book.add_call(&refused, &CallOutcome::Refused("overloaded".into()));
    book.set_tally(WorkTally {
        prefill: 50,
        generated: 40,
        recomputed: 10,
        lost: 10,
        preemptions: 1,
    });
    let measures = book.summary(1.0);
    assert_eq!(measures.stall_total_s, 1.0);
    assert_eq!((measures.unfinished, measures.refused()), (1, 1));
    assert_eq!(measures.preemptions_per_1000, Some(500.0));
    assert_eq!(measures.wasted_share, Some(0.2));
}
