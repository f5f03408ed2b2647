use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use log::info;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::LoadPlan;
use super::call_task::{CallContext, CallRecord, run_call};
use crate::{CallOutcome, CallSpec, CallTimeline, LoadError, MetricsRecorder, MetricsSummary};

/// Time between two progress lines in the log.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);
/// Refusal kind of calls that were not sent because too many were open.
const TOOL_LIMIT: &str = "load_tool_limit";

/// Result of a run over HTTP as callers saw it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadOutcome {
    /// The metrics of the design, without those that only engines can count.
    #[serde(rename = "measures")]
    pub metrics: MetricsSummary,
    /// Calls that were due.
    pub calls: u64,
    /// Time from the start to the end of the last call in seconds.
    pub seconds: f64,
    /// Number of events with another generation or a wrong offset.
    pub order_faults: u64,
    /// Number of complete answers whose announced number of tokens differs from the number
    /// received.
    pub count_faults: u64,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Tokens received in answers that did not complete.
    pub lost_tokens: u64,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

impl LoadOutcome {
    /// Share of the received tokens that belong to no complete answer.
    pub fn lost_share(&self) -> f64 {
        self.lost_tokens as f64 / self.tokens.max(1) as f64
    }

    /// Whether a caller saw a token out of order, twice or of another generation, or a wrong
    /// token count.
    pub fn has_stream_fault(&self) -> bool {
        self.order_faults + self.count_faults > 0
    }
}

/// Makes calls in an open loop: each is sent at its due time, whether or not earlier calls have
/// ended, and its latencies are measured from then. Returns at the latest after the plan's
/// duration and call timeout.
///
/// # Errors
/// The errors of [`LoadPlan::check`]; failed calls are part of the outcome.
pub async fn run_load(plan: LoadPlan) -> Result<LoadOutcome, LoadError> {
    plan.check()?;
    let mut specs = draw_calls(&plan);
    specs.truncate(plan.call_limit);
    let mut run = LoadRun::new(plan);
    for spec in specs {
        run.make_call(spec).await;
    }
    while run.join_call().await {}
    Ok(run.finish())
}

fn draw_calls(plan: &LoadPlan) -> Vec<CallSpec> {
    let seconds = plan.duration.as_millis() as f64 / 1e3;
    plan.mix.draw_calls(plan.rate, seconds, plan.seed)
}

/// State of a run over HTTP.
struct LoadRun {
    context: Arc<CallContext>,
    random: Pcg64Mcg,
    tasks: JoinSet<CallRecord>,
    recorder: MetricsRecorder,
    calls: u64,
    order_faults: u64,
    count_faults: u64,
    tokens: u64,
    lost_tokens: u64,
    outcomes: BTreeMap<String, u64>,
    next_progress: Instant,
}

impl LoadRun {
    fn new(plan: LoadPlan) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        let start = Instant::now();
        Self {
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            context: Arc::new(CallContext {
                plan,
                client,
                start,
            }),
            tasks: JoinSet::new(),
            recorder: MetricsRecorder::new(),
            calls: 0,
            order_faults: 0,
            count_faults: 0,
            tokens: 0,
            lost_tokens: 0,
            outcomes: BTreeMap::new(),
            next_progress: start + PROGRESS_PERIOD,
        }
    }

    /// Waits until a call is due and starts it, or counts it as refused if too many are open.
    async fn make_call(&mut self, spec: CallSpec) {
        let due = self.context.start + Duration::from_micros(spec.arrival);
        sleep_until(due).await;
        while let Some(record) = self.tasks.try_join_next() {
            self.add_record(record.ok());
        }
        self.log_progress();
        self.calls += 1;
        let nodes = &self.context.plan.nodes;
        let node = nodes[self.random.random_range(0..nodes.len())];
        if self.tasks.len() >= self.context.plan.open_limit {
            let timeline = CallTimeline::new(spec.arrival, spec.is_quick());
            let outcome = CallOutcome::Refused(TOOL_LIMIT.into());
            self.add_outcome(&timeline, &outcome);
            return;
        }
        self.tasks
            .spawn(run_call(Arc::clone(&self.context), spec, node));
    }

    /// Waits for a call to end and records it; false if none is open.
    async fn join_call(&mut self) -> bool {
        let Some(record) = self.tasks.join_next().await else {
            return false;
        };
        self.add_record(record.ok());
        self.log_progress();
        true
    }

    fn add_record(&mut self, record: Option<CallRecord>) {
        let Some(record) = record else {
            *self.outcomes.entry("task_failed".to_string()).or_default() += 1;
            return;
        };
        for gap in &record.gaps {
            self.recorder.record_gap(record.timeline.is_quick(), *gap);
        }
        self.order_faults += record.order_faults;
        let tokens = u64::from(record.timeline.tokens());
        self.tokens += tokens;
        if record.outcome == CallOutcome::Complete {
            self.count_faults += u64::from(record.count_fault);
            self.recorder.add_good_tokens(tokens);
        } else {
            self.lost_tokens += tokens;
        }
        self.add_outcome(&record.timeline, &record.outcome);
    }

    fn add_outcome(&mut self, timeline: &CallTimeline, outcome: &CallOutcome) {
        let name = match outcome {
            CallOutcome::Complete => "complete".to_string(),
            CallOutcome::Refused(kind) => format!("refused {kind}"),
            CallOutcome::Failed(kind) => format!("failed {kind}"),
            CallOutcome::Unfinished => "unfinished".to_string(),
        };
        *self.outcomes.entry(name).or_default() += 1;
        self.recorder.record_call(timeline, outcome);
    }

    fn log_progress(&mut self) {
        let now = Instant::now();
        if now < self.next_progress {
            return;
        }
        self.next_progress = now + PROGRESS_PERIOD;
        let seconds = self.context.start.elapsed().as_secs();
        let (calls, open) = (self.calls, self.tasks.len());
        let tokens = self.tokens;
        info!(
            "{seconds} s: {calls} calls due, {open} open, {tokens} tokens, {:?}",
            self.outcomes
        );
    }

    fn finish(self) -> LoadOutcome {
        let seconds = self.context.start.elapsed().as_secs_f64();
        LoadOutcome {
            metrics: self.recorder.summary(seconds),
            calls: self.calls,
            seconds,
            order_faults: self.order_faults,
            count_faults: self.count_faults,
            tokens: self.tokens,
            lost_tokens: self.lost_tokens,
            outcomes: self.outcomes,
        }
    }
}
