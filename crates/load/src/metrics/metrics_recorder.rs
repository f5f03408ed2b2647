use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use smol_str::SmolStr;

use super::{CallOutcome, CallTimeline, ClassSummary, CostSummary, MetricsSummary};

/// Upper bound of the histograms in microseconds: one day.
const HISTOGRAM_MAX: u64 = 86_400_000_000;

/// Tokens and preemptions that the engines counted in a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Prompt tokens computed at first admission.
    pub prefill: u64,
    /// Output tokens generated.
    pub generated: u64,
    /// Tokens computed again after a preemption.
    pub recomputed: u64,
    /// Output tokens that belong to no complete answer.
    pub lost: u64,
    /// Number of preemptions.
    pub preemptions: u64,
}

impl WorkCounters {
    /// Share of all processed tokens that were recomputed or belong to no complete answer.
    pub fn wasted_share(&self) -> f64 {
        let work = self.prefill + self.generated + self.recomputed;
        match work {
            0 => 0.0,
            _ => (self.recomputed + self.lost) as f64 / work as f64,
        }
    }
}

/// Counts and histograms of the quick or of the long calls.
#[derive(Clone, Debug)]
struct ClassRecorder {
    requests: u64,
    complete: u64,
    stall_total: u64,
    stalls: Histogram<u64>,
    first_token_times: Histogram<u64>,
    gaps: Histogram<u64>,
    completion_times: Histogram<u64>,
}

impl ClassRecorder {
    fn new() -> Self {
        Self {
            requests: 0,
            complete: 0,
            stall_total: 0,
            stalls: new_histogram(),
            first_token_times: new_histogram(),
            gaps: new_histogram(),
            completion_times: new_histogram(),
        }
    }

    fn summary(&self) -> ClassSummary {
        let served = self.stalls.len().max(1);
        ClassSummary {
            requests: self.requests,
            complete: self.complete,
            stall_total_s: self.stall_total as f64 / 1e6,
            stall_mean_ms: self.stall_total as f64 / 1e3 / served as f64,
            stall_p95_ms: quantile_ms(&self.stalls, 0.95),
            stall_p99_ms: quantile_ms(&self.stalls, 0.99),
            first_token_p50_ms: quantile_ms(&self.first_token_times, 0.5),
            first_token_p99_ms: quantile_ms(&self.first_token_times, 0.99),
            gap_p50_ms: quantile_ms(&self.gaps, 0.5),
            gap_p99_ms: quantile_ms(&self.gaps, 0.99),
            gap_p999_ms: quantile_ms(&self.gaps, 0.999),
            completion_p50_s: quantile_ms(&self.completion_times, 0.5) / 1e3,
            completion_p99_s: quantile_ms(&self.completion_times, 0.99) / 1e3,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("valid histogram bounds")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Records what callers see and what engines count, and computes the metrics from it.
///
/// ```
/// use load::{CallOutcome, CallTimeline, MetricsRecorder};
/// let mut recorder = MetricsRecorder::new();
/// let mut timeline = CallTimeline::new(0, true);
/// timeline.record_token(910_000);
/// recorder.record_call(&timeline, &CallOutcome::Complete);
/// assert_eq!(recorder.summary(10.0).quick.stall_total_s, 0.1);
/// ```
#[derive(Clone, Debug)]
pub struct MetricsRecorder {
    quick: ClassRecorder,
    long: ClassRecorder,
    refusals: BTreeMap<SmolStr, u64>,
    failures: BTreeMap<SmolStr, u64>,
    unfinished: u64,
    good_tokens: u64,
    work: Option<WorkCounters>,
    cost: Option<CostSummary>,
}

impl Default for MetricsRecorder {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricsRecorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        Self {
            quick: ClassRecorder::new(),
            long: ClassRecorder::new(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            unfinished: 0,
            good_tokens: 0,
            work: None,
            cost: None,
        }
    }

    /// Records a gap between two tokens in microseconds.
    pub fn record_gap(&mut self, quick: bool, gap: u64) {
        self.class(quick).gaps.saturating_record(gap.max(1));
    }

    /// Records the end of a call. A refused call counts as a refusal; its times are left out.
    pub fn record_call(&mut self, timeline: &CallTimeline, outcome: &CallOutcome) {
        let class = self.class(timeline.is_quick());
        class.requests += 1;
        if let CallOutcome::Refused(kind) = outcome {
            *self.refusals.entry(kind.clone()).or_default() += 1;
            return;
        }
        class.stall_total += timeline.stall_time();
        class.stalls.saturating_record(timeline.stall_time());
        if let Some(first) = timeline.time_to_first_token() {
            class.first_token_times.saturating_record(first);
        }
        match outcome {
            CallOutcome::Complete => {
                class.complete += 1;
                class
                    .completion_times
                    .saturating_record(timeline.time_to_last_token());
            }
            CallOutcome::Failed(kind) => *self.failures.entry(kind.clone()).or_default() += 1,
            CallOutcome::Refused(_) => {}
            CallOutcome::Unfinished => self.unfinished += 1,
        }
    }

    /// Counts tokens of complete answers for the goodput.
    pub fn add_good_tokens(&mut self, tokens: u64) {
        self.good_tokens += tokens;
    }

    /// Sets the tokens and preemptions that the engines counted.
    pub fn set_work(&mut self, work: WorkCounters) {
        self.work = Some(work);
    }

    /// Sets the cost of the decisions.
    pub fn set_cost(&mut self, cost: CostSummary) {
        self.cost = Some(cost);
    }

    /// Computes the metrics; the good tokens were counted over `seconds`.
    pub fn summary(&self, seconds: f64) -> MetricsSummary {
        let (quick, long) = (self.quick.summary(), self.long.summary());
        let requests = (quick.requests + long.requests).max(1) as f64;
        let per_thousand = |work: WorkCounters| work.preemptions as f64 * 1e3 / requests;
        MetricsSummary {
            stall_total_s: quick.stall_total_s + long.stall_total_s,
            quick,
            long,
            goodput_tokens_per_s: self.good_tokens as f64 / seconds.max(1e-9),
            refusals: self.refusals.clone(),
            failures: self.failures.clone(),
            unfinished: self.unfinished,
            preemptions_per_1000: self.work.map(per_thousand),
            recomputed_tokens: self.work.map(|work| work.recomputed),
            wasted_share: self.work.map(|work| work.wasted_share()),
            cost: self.cost.clone(),
        }
    }

    fn class(&mut self, quick: bool) -> &mut ClassRecorder {
        match quick {
            true => &mut self.quick,
            false => &mut self.long,
        }
    }
}
