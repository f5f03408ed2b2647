use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};
use engine::EngineSimulator;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sched::{RoutePolicy, SchedAction};

use super::call_state::{CallPlace, CallState};
use super::cost_book::CostBook;
use super::engine_cell::EngineCell;
use super::event_queue::{EventQueue, TrialEvent};
use super::trial_setup::{create_calls, create_engines, create_seats};
use super::{NodeSeat, PolicyFactory, TrialPlan};
use crate::{CallOutcome, FaultKind, LoadError, MeasureBook, MeasureSummary, WorkTally};

/// One-way delay between a node and an engine or a peer, in microseconds.
pub const NODE_DELAY: u64 = 500;
const MICROS_PER_MILLI: u64 = 1_000;
/// Separates the random streams of one trial.
const NETWORK_STREAM: u64 = 0x6e65_7400;
const ENGINE_STREAM: u64 = 0x656e_6700;

/// Runs one policy in virtual time; the same plan gives the same measures, processor times
/// excepted.
///
/// # Errors
/// `InvalidPlan` if the plan is out of bounds.
///
/// ```
/// use load::{PolicyEntry, TrialPlan, WorkloadKind, run_trial};
/// use load::baseline::ChoiceRule;
/// let mut plan = TrialPlan::new(WorkloadKind::LanternaSul.mix(), 2.0, 1);
/// plan.warmup = "0ms".parse().unwrap();
/// plan.window = "20s".parse().unwrap();
/// let entry = PolicyEntry::with_rule(ChoiceRule::Random);
/// let measures = run_trial(&plan, &entry.factory).unwrap();
/// assert_eq!(measures.refused(), 0);
/// ```
pub fn run_trial(plan: &TrialPlan, factory: &PolicyFactory) -> Result<MeasureSummary, LoadError> {
    plan.check()?;
    let mut run = TrialRun::new(plan, factory);
    run.start();
    run.run();
    Ok(run.finish())
}

/// State of a trial; engines and nodes are handled in `engine_part` and `node_part`.
pub(super) struct TrialRun<'a> {
    pub plan: &'a TrialPlan,
    pub now: u64,
    pub queue: EventQueue,
    pub calls: Vec<CallState>,
    pub policies: Vec<Box<dyn RoutePolicy>>,
    pub seats: Vec<NodeSeat>,
    pub engines: Vec<EngineCell>,
    pub targets: Arc<[TargetName]>,
    pub random: Pcg64Mcg,
    pub book: MeasureBook,
    pub tally: WorkTally,
    pub cost: CostBook,
    pub actions: Vec<SchedAction>,
    pub open: usize,
}

impl<'a> TrialRun<'a> {
    fn new(plan: &'a TrialPlan, factory: &PolicyFactory) -> Self {
        let seats = create_seats(plan);
        let engines = create_engines(plan);
        let calls = create_calls(plan);
        Self {
            plan,
            now: 0,
            queue: EventQueue::default(),
            open: calls.len(),
            calls,
            policies: seats.iter().map(|seat| factory(seat)).collect(),
            seats,
            targets: engines.iter().map(|cell| cell.target.clone()).collect(),
            engines,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ NETWORK_STREAM),
            book: MeasureBook::new(),
            tally: WorkTally::default(),
            cost: CostBook::new(),
            actions: Vec::new(),
        }
    }

    fn start(&mut self) {
        for engine in 0..self.plan.engines {
            self.start_engine(engine);
            let phase = self.random.random_range(0..micros(self.plan.report_period));
            self.queue.push(phase, TrialEvent::Measure { engine });
        }
        self.show_targets();
        for node in 0..self.policies.len() {
            let phase = self.random.random_range(0..micros(self.plan.tick));
            self.queue.push(phase, TrialEvent::Tick { node });
        }
        for (at, fault) in self.plan.faults.iter().enumerate() {
            let time = fault.at.as_millis() * MICROS_PER_MILLI;
            self.queue.push(time, TrialEvent::Fault { at });
        }
        self.push_arrival(0);
    }

    fn run(&mut self) {
        let plan = self.plan;
        let limit = micros(plan.warmup + plan.window + plan.drain);
        while self.open > 0 {
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
                self.push_arrival(call + 1);
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
            TrialEvent::Prioritise {
                engine,
                call,
                priority,
            } => self.prioritise(engine, call, priority),
            TrialEvent::Wake { engine } => self.wake_engine(engine),
            TrialEvent::Admitted { call, attempt } => self.note_admitted(call, attempt),
            TrialEvent::Progress {
                call,
                attempt,
                produced,
            } => self.note_progress(call, attempt, produced),
            TrialEvent::Completed { call, attempt } => self.note_completed(call, attempt),
            TrialEvent::NotAdmitted { call, attempt } => self.note_not_admitted(call, attempt),
            TrialEvent::Lost { call, attempt } => self.note_lost(call, attempt),
            TrialEvent::Measure { engine } => self.measure_engine(engine),
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
            TrialEvent::Fault { at } => self.bring_fault(at),
            TrialEvent::Kill { engine } => self.kill_engine(engine),
            TrialEvent::Start { engine } => self.replace_engine(engine),
            TrialEvent::Targets => self.show_targets(),
        }
    }

    fn bring_fault(&mut self, at: usize) {
        let fault = self.plan.faults[at];
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
                self.push_targets();
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
        self.push_targets();
        if first {
            self.queue.push(self.now, TrialEvent::Measure { engine });
        }
    }

    /// Puts an empty engine into its place.
    fn start_engine(&mut self, engine: usize) {
        let cell = &mut self.engines[engine];
        cell.starts += 1;
        let seed = (self.plan.seed ^ ENGINE_STREAM) << 24 | (engine as u64) << 8 | cell.starts;
        cell.model = Some(EngineSimulator::new(self.plan.profile.clone(), seed));
        cell.leaving = false;
        cell.wake_at = None;
    }

    pub(super) fn push_targets(&mut self) {
        let seen = self.now + micros(self.plan.detect_delay);
        self.queue.push(seen, TrialEvent::Targets);
    }

    fn push_arrival(&mut self, call: usize) {
        if let Some(next) = self.calls.get(call) {
            let at = next.spec.arrival + self.plan.mix.client_delay;
            self.queue.push(at, TrialEvent::Arrive { call });
        }
    }

    /// Ends a call and books what its caller saw.
    pub(super) fn end_call(&mut self, call: usize, outcome: &CallOutcome) {
        let state = &mut self.calls[call];
        if state.place == CallPlace::Ended {
            return;
        }
        state.place = CallPlace::Ended;
        self.open -= 1;
        let tokens = u64::from(state.timeline.tokens());
        match outcome {
            CallOutcome::Complete => self.book.add_good_tokens(u64::from(state.window_tokens)),
            CallOutcome::Failed(_) if state.measured => self.tally.lost += tokens,
            _ => {}
        }
        if state.measured {
            self.book.add_call(&state.timeline, outcome);
        }
    }

    fn finish(mut self) -> MeasureSummary {
        let now = self.now;
        for call in 0..self.calls.len() {
            let state = &mut self.calls[call];
            if state.place != CallPlace::Ended && state.spec.arrival <= now {
                state.timeline.close_open(now);
                self.end_call(call, &CallOutcome::Unfinished);
            }
        }
        let nodes = self.policies.len();
        let cost = self.cost.summary(now as f64 / 1e6, nodes);
        self.book.set_cost(cost);
        self.book.set_tally(self.tally);
        self.book.summary(micros(self.plan.window) as f64 / 1e6)
    }

    /// Time as policies see it.
    pub(super) fn clock(&self) -> ClockTime {
        ClockTime::new(self.now / MICROS_PER_MILLI)
    }

    /// A delay of reports and cache events.
    pub(super) fn draw_delay(&mut self) -> u64 {
        let (min, max) = (micros(self.plan.delay_min), micros(self.plan.delay_max));
        self.random.random_range(min..=max)
    }
}

/// A span in microseconds.
pub(super) fn micros(span: TimeSpan) -> u64 {
    span.as_millis() * MICROS_PER_MILLI
}
