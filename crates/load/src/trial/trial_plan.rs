use base::TimeSpan;
use engine::{EngineProfile, PreemptionPolicy};

use crate::failure::InvalidPlanSnafu;
use crate::{FaultEvent, LoadError, WorkloadMix};

const MOST_NODES: usize = 512;
const MOST_ENGINES: usize = 4_096;
const MOST_RATE: f64 = 100_000.0;

/// One run of one policy.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Calls and workspaces.
    pub mix: WorkloadMix,
    /// Mean arrivals each second over all nodes.
    pub rate: f64,
    /// Time before calls are measured.
    pub warmup: TimeSpan,
    /// Time in which the measured calls arrive.
    pub window: TimeSpan,
    /// Time for open calls to end after the window.
    pub drain: TimeSpan,
    /// Number of nodes.
    pub nodes: usize,
    /// Failure domains over which nodes and engines are spread in turn.
    pub domains: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Speed and memory of each engine.
    pub profile: EngineProfile,
    /// What engines do with preempted sequences.
    pub on_full: PreemptionPolicy,
    /// Time between two reports of an engine.
    pub report_period: TimeSpan,
    /// Shortest delay of reports and cache events.
    pub delay_min: TimeSpan,
    /// Longest delay of reports and cache events.
    pub delay_max: TimeSpan,
    /// Share of cache events that never arrive.
    pub cache_gap: f64,
    /// Time between two ticks of a policy.
    pub tick: TimeSpan,
    /// Time until nodes learn that a target came, leaves or is gone.
    pub detect_delay: TimeSpan,
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
            cache_gap: 0.1,
            tick: TimeSpan::new(25),
            detect_delay: TimeSpan::from_secs(1),
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
            plan if plan.nodes == 0 || plan.nodes > MOST_NODES => "nodes: 1 to 512",
            plan if plan.engines == 0 || plan.engines > MOST_ENGINES => "engines: 1 to 4096",
            _ if top >= MOST_ENGINES => "engines of faults: below 4096",
            plan if plan.domains == 0 => "domains: at least 1",
            plan if !(plan.rate > 0.0 && plan.rate <= MOST_RATE) => "rate: above 0 to 100000",
            plan if plan.window == TimeSpan::ZERO => "window: above 0",
            plan if plan.tick == TimeSpan::ZERO => "tick: above 0",
            plan if plan.report_period == TimeSpan::ZERO => "report period: above 0",
            plan if plan.delay_min > plan.delay_max => "delays: shortest above longest",
            plan if !(0.0..=1.0).contains(&plan.cache_gap) => "cache gap: 0 to 1",
            _ => return Ok(()),
        };
        InvalidPlanSnafu { reason: problem }.fail()
    }
}
