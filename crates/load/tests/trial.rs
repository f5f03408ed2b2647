//! Tests of simulated trials, the baseline policies and experiments.

use std::sync::{Arc, Mutex};

use base::{ClockTime, NodeName, RequestId, TargetName, TimeSpan, TokenCount};
use load::baseline::{BaselinePolicy, SelectionRule};
use load::{
    ExperimentPlan, FaultEvent, FaultKind, MetricKind, MetricsSummary, NodeContext, PolicyEntry,
    TrialPlan, WorkloadKind, render_experiment_json, render_experiment_page,
    render_experiment_text, run_experiment, run_trial,
};
use sched::{
    DispatchOutcome, LoadReport, PeerDigest, RoutePolicy, SchedAction, TargetInfo, WorkItem,
};
use yare::parameterized;

fn short_plan(rate: f64, seed: u64) -> TrialPlan {
    TrialPlan {
        warmup: TimeSpan::from_secs(10),
        window: TimeSpan::from_secs(60),
        engines: 3,
        nodes: 2,
        ..TrialPlan::new(WorkloadKind::LanternaSul.mix(), rate, seed)
    }
}

fn run(plan: &TrialPlan, rule: SelectionRule) -> MetricsSummary {
    let mut metrics = run_trial(plan, &PolicyEntry::for_baseline(rule).factory).unwrap();
    let cost = metrics.cost.as_mut().unwrap();
    assert_eq!(cost.illegal_actions, 0);
    // Elapsed times differ from run to run.
    cost.submit_p50_ns = 0;
    cost.submit_p99_ns = 0;
    cost.policy_ns_per_dispatch = 0.0;
    metrics
}

/// Guards against metrics that depend on anything but the plan.
#[parameterized(
    random = { SelectionRule::Random },
    round_robin = { SelectionRule::RoundRobin },
    least_in_flight = { SelectionRule::LeastInFlight },
)]
fn same_plan_gives_same_metrics(rule: SelectionRule) {
    let plan = short_plan(4.0, 7);
    let first = run(&plan, rule);
    assert_eq!(first, run(&plan, rule));
    assert_ne!(first, run(&short_plan(4.0, 8), rule));
    let answered = first.quick.complete + first.long.complete;
    assert_eq!(answered, first.quick.requests + first.long.requests);
}

/// Guards against calls that are lost without notice when their engine is killed: those without
/// a token are run again, the others fail with `generation_lost`.
#[test]
fn killed_engine_loses_only_started_generations() {
    let fault = FaultEvent {
        at: ClockTime::new(40_000),
        engine: 0,
        kind: FaultKind::Killed {
            restart: Some(TimeSpan::from_secs(5)),
        },
    };
    let mut plan = short_plan(4.0, 3);
    plan.faults = vec![fault];
    let metrics = run(&plan, SelectionRule::RoundRobin);
    assert_eq!(
        metrics.failures.keys().collect::<Vec<_>>(),
        ["generation_lost"]
    );
    assert_eq!((metrics.refused(), metrics.unfinished), (0, 0));
    assert!(metrics.wasted_share.unwrap() > 0.0);
}

/// Guards against new work for an engine that was given notice, and against engines that start
/// later but are never used.
#[test]
fn reclaimed_engine_gets_no_new_work_and_a_new_one_does() {
    let reclaimed = FaultEvent {
        at: ClockTime::new(20_000),
        engine: 0,
        kind: FaultKind::Reclaimed {
            notice: TimeSpan::from_secs(600),
        },
    };
    let started = FaultEvent {
        at: ClockTime::new(30_000),
        engine: 3,
        kind: FaultKind::Started,
    };
    let mut plan = short_plan(4.0, 3);
    plan.faults = vec![reclaimed, started];
    let log = Arc::new(Mutex::new(Vec::new()));
    let shared = Arc::clone(&log);
    let entry = PolicyEntry::new("logged", move |context| {
        Box::new(LoggedPolicy::new(context, &shared))
    });
    let metrics = run_trial(&plan, &entry.factory).unwrap();
    assert_eq!((metrics.failed(), metrics.refused()), (0, 0));
    let log = log.lock().unwrap();
    let sent = |name: &str, from: u64| {
        let late = |entry: &&LogEntry| entry.0 > ClockTime::new(from) && entry.1.as_str() == name;
        log.iter().filter(late).count()
    };
    assert_eq!(sent("engine-0000", 21_000), 0);
    assert!(sent("engine-0001", 21_000) > 0);
    assert!(sent("engine-0003", 31_000) > 0);
}

/// Guards against load reports outside the planned delays of 250 ms to 2 s, and against progress
/// events without tokens.
#[test]
fn reports_are_late_and_progress_is_told() {
    let ages = Arc::new(Mutex::new(Vec::new()));
    let shared = Arc::clone(&ages);
    let entry = PolicyEntry::new("aged", move |context| {
        Box::new(LoggedPolicy {
            ages: Arc::clone(&shared),
            ..LoggedPolicy::new(context, &Arc::default())
        })
    });
    run_trial(&short_plan(2.0, 1), &entry.factory).unwrap();
    let ages = ages.lock().unwrap();
    assert!(ages.len() > 100);
    assert!(
        ages.iter()
            .all(|age| (249..=2_000).contains(&age.as_millis()))
    );
}

/// Guards against digests that reach other failure domains or their sender, and against messages
/// that are left out of the cost.
#[test]
fn digests_and_probes_arrive_and_are_counted() {
    let digests = Arc::new(Mutex::new(Vec::new()));
    let shared = Arc::clone(&digests);
    let entry = PolicyEntry::new("chatty", move |context| {
        Box::new(LoggedPolicy {
            digests: Arc::clone(&shared),
            chatty: true,
            ..LoggedPolicy::new(context, &Arc::default())
        })
    });
    let mut plan = short_plan(1.0, 1);
    (plan.nodes, plan.domains) = (4, 2);
    let cost = run_trial(&plan, &entry.factory).unwrap().cost.unwrap();
    assert!(cost.digest_bytes_per_s > 0.0 && cost.probe_bytes_per_s > 0.0);
    assert_eq!(cost.illegal_actions, 0);
    let mut pairs = digests.lock().unwrap().clone();
    pairs.sort();
    pairs.dedup();
    let pairs: Vec<_> = pairs
        .iter()
        .map(|(from, to)| (from.as_str(), to.as_str()))
        .collect();
    let peers = [("node-000", "node-002"), ("node-001", "node-003")];
    let both = peers
        .iter()
        .flat_map(|&(left, right)| [(left, right), (right, left)]);
    let mut both: Vec<_> = both.collect();
    both.sort();
    assert_eq!(pairs, both);
}

/// Guards against random faults that leave calls open or answers incomplete.
#[test]
fn drawn_faults_leave_no_call_open() {
    let mut plan = short_plan(4.0, 5);
    let (from, until) = (ClockTime::new(10_000), ClockTime::new(70_000));
    plan.faults = FaultEvent::draw_schedule(plan.engines, from, until, 6, 5);
    let metrics = run(&plan, SelectionRule::LeastInFlight);
    let ended = metrics.quick.complete + metrics.long.complete;
    let ended = ended + metrics.refused() + metrics.failed();
    assert_eq!(ended, metrics.quick.requests + metrics.long.requests);
    assert_eq!(metrics.unfinished, 0);
    assert!(!metrics.failures.contains_key("incomplete_answer"));
}

type LogEntry = (ClockTime, TargetName);

/// A round-robin baseline that logs its dispatches, the ages of load reports and the senders and
/// receivers of digests; if `chatty`, it publishes a digest and sends a probe at each tick.
struct LoggedPolicy {
    inner: BaselinePolicy,
    now: ClockTime,
    log: Arc<Mutex<Vec<LogEntry>>>,
    ages: Arc<Mutex<Vec<TimeSpan>>>,
    digests: Arc<Mutex<Vec<(NodeName, NodeName)>>>,
    chatty: bool,
    node: NodeName,
    extra: Vec<SchedAction>,
}

impl LoggedPolicy {
    fn new(context: &NodeContext, log: &Arc<Mutex<Vec<LogEntry>>>) -> Self {
        Self {
            inner: BaselinePolicy::new(SelectionRule::RoundRobin, context.seed),
            now: ClockTime::ZERO,
            log: Arc::clone(log),
            ages: Arc::default(),
            digests: Arc::default(),
            chatty: false,
            node: context.node.clone(),
            extra: Vec::new(),
        }
    }
}

impl RoutePolicy for LoggedPolicy {
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]) {
        self.inner.on_targets(now, targets);
    }

    fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        self.ages.lock().unwrap().push(now - report.measured_at);
    }

    fn on_digest(&mut self, _now: ClockTime, digest: PeerDigest) {
        let pair = (digest.node, self.node.clone());
        self.digests.lock().unwrap().push(pair);
    }

    fn submit(&mut self, now: ClockTime, item: WorkItem) {
        self.now = now;
        self.inner.submit(now, item);
    }

    fn withdraw(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_admitted(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_progress(&mut self, _now: ClockTime, _request: &RequestId, produced: TokenCount) {
        assert!(produced.0 > 0);
    }

    fn on_finished(&mut self, now: ClockTime, request: &RequestId, state: DispatchOutcome) {
        self.inner.on_finished(now, request, state);
    }

    fn on_cache_event(&mut self, _: ClockTime, _: &TargetName, _: u64, _: bool) {}

    fn on_tick(&mut self, _now: ClockTime) {
        if !self.chatty {
            return;
        }
        self.extra.push(SchedAction::Publish(PeerDigest {
            node: self.node.clone(),
            sequence: 1,
            targets: Vec::new(),
        }));
        let target = "engine-0001".parse().unwrap();
        self.extra.push(SchedAction::Probe(target));
    }

    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>) {
        let mut own = std::mem::take(&mut self.extra);
        self.inner.drain_actions(&mut own);
        for action in &own {
            if let SchedAction::Dispatch { target, .. } = action {
                self.log.lock().unwrap().push((self.now, target.clone()));
            }
        }
        actions.append(&mut own);
    }
}

/// Guards against plans that would take all resources of the machine.
#[test]
fn plans_out_of_bounds_are_refused() {
    let mut plan = short_plan(2.0, 1);
    plan.nodes = 100_000;
    let entry = PolicyEntry::for_baseline(SelectionRule::Random);
    assert!(run_trial(&plan, &entry.factory).is_err());
    let empty = ExperimentPlan {
        seeds: Vec::new(),
        ..ExperimentPlan::default()
    };
    assert!(run_experiment(&empty).is_err());
}

/// Guards against ratios to the baseline of another seed or condition, and against reports that
/// leave out a policy.
#[test]
fn experiment_compares_with_the_best_baseline_of_the_seed() {
    let plan = ExperimentPlan {
        workloads: vec![WorkloadKind::LanternaSul],
        loads: vec![0.5],
        seeds: vec![1, 2],
        engines: 2,
        nodes: 2,
        warmup: TimeSpan::ZERO,
        window: TimeSpan::from_secs(30),
        reference_load: None,
        ..ExperimentPlan::default()
    };
    let report = run_experiment(&plan).unwrap();
    let condition = (WorkloadKind::LanternaSul, 0.5);
    let metric = MetricKind::LongCompletionP99;
    let ratios = report.policies().into_iter();
    let ratios: Vec<_> = ratios
        .map(|name| report.ratio(condition, name, metric).unwrap())
        .collect();
    assert_eq!(ratios.len(), 3);
    assert!(ratios.iter().all(|ratio| ratio.min >= 1.0));
    assert!(ratios.iter().any(|ratio| ratio.min == 1.0));
    assert!(render_experiment_text(&report).contains("round_robin"));
    assert!(render_experiment_json(&report).contains("\"comparisons\""));
    let page = render_experiment_page(&report).unwrap();
    assert_eq!(page.matches("<svg").count(), page.matches("</svg>").count());
    assert!(page.contains("polyline") && page.contains("least_in_flight"));
}
