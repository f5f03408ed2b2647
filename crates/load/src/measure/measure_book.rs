use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use smol_str::SmolStr;

use super::{CallOutcome, CallTimeline, ClassSummary, CostSummary, MeasureSummary};

/// Largest time that a histogram holds, in microseconds; a day.
const HISTOGRAM_TOP: u64 = 86_400_000_000;

/// Work of the engines, counted by the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTally {
    /// Prompt tokens computed at first admission.
    pub prefill: u64,
    /// Output tokens generated.
    pub generated: u64,
    /// Tokens computed again after a preemption.
    pub recomputed: u64,
    /// Output tokens that belong to no complete answer.
    pub lost: u64,
    /// Preemptions.
    pub preemptions: u64,
}

impl WorkTally {
    /// Share of the work that helped no caller.
    pub fn wasted_share(&self) -> f64 {
        let work = self.prefill + self.generated + self.recomputed;
        match work {
            0 => 0.0,
            _ => (self.recomputed + self.lost) as f64 / work as f64,
        }
    }
}

#[derive(Clone, Debug)]
struct ClassBook {
    requests: u64,
    complete: u64,
    stall_total: u64,
    stalls: Histogram<u64>,
    firsts: Histogram<u64>,
    gaps: Histogram<u64>,
    spans: Histogram<u64>,
}

impl ClassBook {
    fn new() -> Self {
        Self {
            requests: 0,
            complete: 0,
            stall_total: 0,
            stalls: new_histogram(),
            firsts: new_histogram(),
            gaps: new_histogram(),
            spans: new_histogram(),
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
            first_token_p50_ms: quantile_ms(&self.firsts, 0.5),
            first_token_p99_ms: quantile_ms(&self.firsts, 0.99),
            gap_p50_ms: quantile_ms(&self.gaps, 0.5),
            gap_p99_ms: quantile_ms(&self.gaps, 0.99),
            gap_p999_ms: quantile_ms(&self.gaps, 0.999),
            completion_p50_s: quantile_ms(&self.spans, 0.5) / 1e3,
            completion_p99_s: quantile_ms(&self.spans, 0.99) / 1e3,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, HISTOGRAM_TOP, 3).expect("valid histogram bounds")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Collects what callers see and what engines count.
///
/// ```
/// use load::{CallOutcome, CallTimeline, MeasureBook};
/// let mut book = MeasureBook::new();
/// let mut timeline = CallTimeline::new(0, true);
/// timeline.add_token(910_000);
/// book.add_call(&timeline, &CallOutcome::Complete);
/// assert_eq!(book.summary(10.0).quick.stall_total_s, 0.1);
/// ```
#[derive(Clone, Debug)]
pub struct MeasureBook {
    quick: ClassBook,
    long: ClassBook,
    refusals: BTreeMap<SmolStr, u64>,
    failures: BTreeMap<SmolStr, u64>,
    unfinished: u64,
    good_tokens: u64,
    tally: Option<WorkTally>,
    cost: Option<CostSummary>,
}

impl Default for MeasureBook {
    fn default() -> Self {
        Self::new()
    }
}

impl MeasureBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self {
            quick: ClassBook::new(),
            long: ClassBook::new(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            unfinished: 0,
            good_tokens: 0,
            tally: None,
            cost: None,
        }
    }

    /// Notes a gap between two tokens, in microseconds.
    pub fn add_gap(&mut self, quick: bool, gap: u64) {
        self.class(quick).gaps.saturating_record(gap.max(1));
    }

    /// Notes the end of a call. A refused one counts as a refusal and not in the times.
    pub fn add_call(&mut self, timeline: &CallTimeline, outcome: &CallOutcome) {
        let class = self.class(timeline.is_quick());
        class.requests += 1;
        if let CallOutcome::Refused(kind) = outcome {
            *self.refusals.entry(kind.clone()).or_default() += 1;
            return;
        }
        class.stall_total += timeline.stall();
        class.stalls.saturating_record(timeline.stall());
        if let Some(first) = timeline.first_token() {
            class.firsts.saturating_record(first);
        }
        match outcome {
            CallOutcome::Complete => {
                class.complete += 1;
                class.spans.saturating_record(timeline.span());
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

    /// Sets the work that the engines counted.
    pub fn set_tally(&mut self, tally: WorkTally) {
        self.tally = Some(tally);
    }

    /// Sets the cost of the decisions.
    pub fn set_cost(&mut self, cost: CostSummary) {
        self.cost = Some(cost);
    }

    /// Computes the measures; the good tokens were counted over `seconds`.
    pub fn summary(&self, seconds: f64) -> MeasureSummary {
        let (quick, long) = (self.quick.summary(), self.long.summary());
        let requests = (quick.requests + long.requests).max(1) as f64;
        let per_thousand = |tally: WorkTally| tally.preemptions as f64 * 1e3 / requests;
        MeasureSummary {
            stall_total_s: quick.stall_total_s + long.stall_total_s,
            quick,
            long,
            goodput_tokens_per_s: self.good_tokens as f64 / seconds.max(1e-9),
            refusals: self.refusals.clone(),
            failures: self.failures.clone(),
            unfinished: self.unfinished,
            preemptions_per_1000: self.tally.map(per_thousand),
            recomputed_tokens: self.tally.map(|tally| tally.recomputed),
            wasted_share: self.tally.map(|tally| tally.wasted_share()),
            cost: self.cost.clone(),
        }
    }

    fn class(&mut self, quick: bool) -> &mut ClassBook {
        match quick {
            true => &mut self.quick,
            false => &mut self.long,
        }
    }
}
