use base::TimeSpan;
use engine::{EngineProfile, PreemptionPolicy};

use crate::failure::InvalidPlanSnafu;
use crate::{FaultEvent, LoadError, WorkloadMix};

const MAX_NODES: usize = 512;
const MAX_ENGINES: usize = 4_096;
const MAX_RATE: f64 = 100_000.0;

/// Parameters of one trial, the simulation of one policy under one workload, load and seed.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Classes of calls and workspaces.
    pub mix: WorkloadMix,
    /// Mean arrivals each second over all nodes.
    pub rate: f64,
    /// Warm-up: time before calls are measured.
    pub warmup: TimeSpan,
    /// Time in which the measured calls arrive.
    pub window: TimeSpan,
    /// Longest time after the window in which open calls may still end.
    pub drain: TimeSpan,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of failure domains; nodes and engines are assigned to them in turn.
    pub domains: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Speed and memory of each engine.
    pub profile: EngineProfile,
    /// What engines do with preempted sequences.
    pub on_full: PreemptionPolicy,
    /// Time between two load reports of an engine.
    pub report_period: TimeSpan,
    /// Shortest delay of load reports and cache events.
    pub delay_min: TimeSpan,
    /// Longest delay of load reports and cache events.
    pub delay_max: TimeSpan,
    /// Share of cache events that are lost.
    pub cache_event_loss: f64,
    /// Time between two ticks of a policy.
    pub tick: TimeSpan,
    /// Time until nodes learn that a target started, is leaving or has died.
    pub detection_delay: TimeSpan,
    /// Faults of engines.
    pub faults: Vec<FaultEvent>,
    /// Seed of arrivals, delays and engines.
    pub seed: u64,
}

impl TrialPlan {
    /// Creates a plan with 8 nodes and 12 engines in one failure domain.
    pub fn new(mix: WorkloadMix, rate: f64, seed: u64) -> Self {
        Self {
            mix,
            rate,
            warmup: TimeSpan::from_secs(300),
            window: TimeSpan::from_secs(600),
            drain: TimeSpan::from_secs(1_200),
            nodes: 8,
            domains: 1,
            engines: 12,
            profile: EngineProfile::default(),
            on_full: PreemptionPolicy::Recompute,
            report_period: TimeSpan::new(500),
            delay_min: TimeSpan::new(250),
            delay_max: TimeSpan::from_secs(2),
            cache_event_loss: 0.1,
            tick: TimeSpan::new(25),
            detection_delay: TimeSpan::from_secs(1),
            faults: Vec::new(),
            seed,
        }
    }

    /// Checks the bounds of the plan.
    ///
    /// # Errors
    /// `InvalidPlan` with the first bound that is exceeded.
    pub fn check(&self) -> Result<(), LoadError> {
        let fault_engines = self.faults.iter().map(|fault| fault.engine);
        let top = fault_engines.max().unwrap_or(0);
        let problem = match self {
            plan if plan.nodes == 0 || plan.nodes > MAX_NODES => "nodes: 1 to 512",
            plan if plan.engines == 0 || plan.engines > MAX_ENGINES => "engines: 1 to 4096",
            _ if top >= MAX_ENGINES => "engines of faults: below 4096",
            plan if plan.domains == 0 => "domains: at least 1",
            plan if !(plan.rate > 0.0 && plan.rate <= MAX_RATE) => "rate: above 0 to 100000",
            plan if plan.window == TimeSpan::ZERO => "window: above 0",
            plan if plan.tick == TimeSpan::ZERO => "tick: above 0",
            plan if plan.report_period == TimeSpan::ZERO => "report period: above 0",
            plan if plan.delay_min > plan.delay_max => "delays: shortest above longest",
            plan if !(0.0..=1.0).contains(&plan.cache_event_loss) => "cache event loss: 0 to 1",
            _ => return Ok(()),
        };
        InvalidPlanSnafu { reason: problem }.fail()
    }
}
