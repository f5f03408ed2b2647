use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};
use engine::EngineSimulator;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sched::{RoutePolicy, SchedAction};

use super::call_state::{CallPhase, CallState};
use super::cost_recorder::CostRecorder;
use super::engine_slot::EngineSlot;
use super::event_queue::{EventQueue, TrialEvent};
use super::trial_setup::{create_call_states, create_engine_slots, create_node_contexts};
use super::{NodeContext, PolicyFactory, TrialPlan};
use crate::{CallOutcome, FaultKind, LoadError, MetricsRecorder, MetricsSummary, WorkCounters};

/// One-way delay between a node and an engine or a peer, in microseconds.
pub const NODE_DELAY: u64 = 500;
const MICROS_PER_MILLI: u64 = 1_000;
/// Mixed into the seed, so that delays and engines of a trial draw from separate random streams.
const NETWORK_STREAM: u64 = 0x6e65_7400;
const ENGINE_STREAM: u64 = 0x656e_6700;

/// Simulates one policy in virtual time. The same plan always gives the same metrics, except
/// for the measured elapsed times.
///
/// # Errors
/// `InvalidPlan` if the plan is out of bounds.
///
/// ```
/// use load::{PolicyEntry, TrialPlan, WorkloadKind, run_trial};
/// use load::baseline::SelectionRule;
/// let mut plan = TrialPlan::new(WorkloadKind::LanternaSul.mix(), 2.0, 1);
/// plan.warmup = "0ms".parse().unwrap();
/// plan.window = "20s".parse().unwrap();
/// let entry = PolicyEntry::for_baseline(SelectionRule::Random);
/// let metrics = run_trial(&plan, &entry.factory).unwrap();
/// assert_eq!(metrics.refused(), 0);
/// ```
pub fn run_trial(plan: &TrialPlan, factory: &PolicyFactory) -> Result<MetricsSummary, LoadError> {
    plan.check()?;
    let mut run = TrialRun::new(plan, factory);
    run.start();
    run.run();
    Ok(run.finish())
}

/// State of the simulation of a trial; `engine_handlers` and `node_handlers` hold the event
/// handlers of engines and nodes.
pub(super) struct TrialRun<'a> {
    pub plan: &'a TrialPlan,
    pub now: u64,
    pub queue: EventQueue,
    pub calls: Vec<CallState>,
    pub policies: Vec<Box<dyn RoutePolicy>>,
    pub node_contexts: Vec<NodeContext>,
    pub engines: Vec<EngineSlot>,
    pub targets: Arc<[TargetName]>,
    pub random: Pcg64Mcg,
    pub recorder: MetricsRecorder,
    pub work: WorkCounters,
    pub cost: CostRecorder,
    pub actions: Vec<SchedAction>,
    pub open_calls: usize,
}

impl<'a> TrialRun<'a> {
    fn new(plan: &'a TrialPlan, factory: &PolicyFactory) -> Self {
        let node_contexts = create_node_contexts(plan);
        let engines = create_engine_slots(plan);
        let calls = create_call_states(plan);
        Self {
            plan,
            now: 0,
            queue: EventQueue::default(),
            open_calls: calls.len(),
            calls,
            policies: node_contexts
                .iter()
                .map(|context| factory(context))
                .collect(),
            node_contexts,
            targets: engines.iter().map(|slot| slot.target.clone()).collect(),
            engines,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ NETWORK_STREAM),
            recorder: MetricsRecorder::new(),
            work: WorkCounters::default(),
            cost: CostRecorder::new(),
            actions: Vec::new(),
        }
    }

    fn start(&mut self) {
        for engine in 0..self.plan.engines {
            self.start_engine(engine);
            let offset = self.random.random_range(0..micros(self.plan.report_period));
            self.queue.push(offset, TrialEvent::ReportDue { engine });
        }
        self.update_targets();
        for node in 0..self.policies.len() {
            let offset = self.random.random_range(0..micros(self.plan.tick));
            self.queue.push(offset, TrialEvent::Tick { node });
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            let time = fault.at.as_millis() * MICROS_PER_MILLI;
            self.queue.push(time, TrialEvent::Fault { index });
        }
        self.schedule_arrival(0);
    }

    fn run(&mut self) {
        let plan = self.plan;
        let limit = micros(plan.warmup + plan.window + plan.drain);
        while self.open_calls > 0 {
            let Some((at, event)) = self.queue.pop() else {
                return;
            };
            if at > limit {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: TrialEvent) {
        match event {
            TrialEvent::Arrive { call } => {
                self.schedule_arrival(call + 1);
                self.submit_call(call);
            }
            TrialEvent::Tick { node } => {
                self.call_policy(node, false, |policy, now| policy.on_tick(now));
                let next = self.now + micros(self.plan.tick);
                self.queue.push(next, TrialEvent::Tick { node });
            }
            TrialEvent::Submit {
                engine,
                call,
                attempt,
                priority,
            } => self.submit_to_engine(engine, call, attempt, priority),
            TrialEvent::SetPriority {
                engine,
                call,
                priority,
            } => self.set_engine_priority(engine, call, priority),
            TrialEvent::Wake { engine } => self.wake_engine(engine),
            TrialEvent::Admitted { call, attempt } => self.handle_admitted(call, attempt),
            TrialEvent::Progress {
                call,
                attempt,
                produced,
            } => self.handle_progress(call, attempt, produced),
            TrialEvent::Completed { call, attempt } => self.handle_completed(call, attempt),
            TrialEvent::NotAdmitted { call, attempt } => self.handle_not_admitted(call, attempt),
            TrialEvent::Lost { call, attempt } => self.handle_lost(call, attempt),
            TrialEvent::ReportDue { engine } => self.report_load(engine),
            TrialEvent::Report { node, report } => {
                self.call_policy(node, false, |policy, now| policy.on_report(now, report));
            }
            TrialEvent::Digest { node, digest } => {
                self.call_policy(node, false, |policy, now| policy.on_digest(now, digest));
            }
            TrialEvent::Cache {
                node,
                engine,
                prefix,
                held,
            } => {
                let target = self.targets[engine].clone();
                self.call_policy(node, false, |policy, now| {
                    policy.on_cache_event(now, &target, prefix, held);
                });
            }
            TrialEvent::Probe { node, engine } => self.answer_probe(node, engine),
            TrialEvent::Fault { index } => self.apply_fault(index),
            TrialEvent::Kill { engine } => self.kill_engine(engine),
            TrialEvent::Start { engine } => self.replace_engine(engine),
            TrialEvent::Targets => self.update_targets(),
        }
    }

    fn apply_fault(&mut self, index: usize) {
        let fault = self.plan.faults[index];
        let engine = fault.engine;
        match fault.kind {
            FaultKind::Killed { restart } => {
                self.kill_engine(engine);
                if let Some(restart) = restart {
                    let next = self.now + micros(restart);
                    self.queue.push(next, TrialEvent::Start { engine });
                }
            }
            FaultKind::Reclaimed { notice } => {
                self.engines[engine].leaving = true;
                self.schedule_target_update();
                let end = self.now + micros(notice);
                self.queue.push(end, TrialEvent::Kill { engine });
            }
            FaultKind::Started => self.replace_engine(engine),
        }
    }

    fn replace_engine(&mut self, engine: usize) {
        if self.engines[engine].model.is_some() {
            return;
        }
        let first = self.engines[engine].starts == 0;
        self.start_engine(engine);
        self.schedule_target_update();
        if first {
            self.queue.push(self.now, TrialEvent::ReportDue { engine });
        }
    }

    /// Starts an engine without work in its slot.
    fn start_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        slot.starts += 1;
        let seed = (self.plan.seed ^ ENGINE_STREAM) << 24 | (engine as u64) << 8 | slot.starts;
        slot.model = Some(EngineSimulator::new(self.plan.profile.clone(), seed));
        slot.leaving = false;
        slot.wake_at = None;
    }

    pub(super) fn schedule_target_update(&mut self) {
        let seen = self.now + micros(self.plan.detection_delay);
        self.queue.push(seen, TrialEvent::Targets);
    }

    fn schedule_arrival(&mut self, call: usize) {
        if let Some(next) = self.calls.get(call) {
            let at = next.spec.arrival + self.plan.mix.client_delay;
            self.queue.push(at, TrialEvent::Arrive { call });
        }
    }

    /// Ends a call and records its metrics; a call that already ended is left unchanged.
    pub(super) fn end_call(&mut self, call: usize, outcome: &CallOutcome) {
        let state = &mut self.calls[call];
        if state.phase == CallPhase::Ended {
            return;
        }
        state.phase = CallPhase::Ended;
        self.open_calls -= 1;
        let tokens = u64::from(state.timeline.tokens());
        match outcome {
            CallOutcome::Complete => self
                .recorder
                .add_good_tokens(u64::from(state.window_tokens)),
            CallOutcome::Failed(_) if state.measured => self.work.lost += tokens,
            _ => {}
        }
        if state.measured {
            self.recorder.record_call(&state.timeline, outcome);
        }
    }

    fn finish(mut self) -> MetricsSummary {
        let now = self.now;
        for call in 0..self.calls.len() {
            let state = &mut self.calls[call];
            if state.phase != CallPhase::Ended && state.spec.arrival <= now {
                state.timeline.add_open_wait(now);
                self.end_call(call, &CallOutcome::Unfinished);
            }
        }
        let nodes = self.policies.len();
        let cost = self.cost.summary(now as f64 / 1e6, nodes);
        self.recorder.set_cost(cost);
        self.recorder.set_work(self.work);
        self.recorder.summary(micros(self.plan.window) as f64 / 1e6)
    }

    /// Current time in milliseconds, the resolution that policies see.
    pub(super) fn clock(&self) -> ClockTime {
        ClockTime::new(self.now / MICROS_PER_MILLI)
    }

    /// Draws the delay of a load report or cache event.
    pub(super) fn draw_delay(&mut self) -> u64 {
        let (min, max) = (micros(self.plan.delay_min), micros(self.plan.delay_max));
        self.random.random_range(min..=max)
    }
}

/// Converts a time span to microseconds.
pub(super) fn micros(span: TimeSpan) -> u64 {
    span.as_millis() * MICROS_PER_MILLI
}
