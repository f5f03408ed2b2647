use base::TimeSpan;
use engine::{EngineProfile, PreemptionPolicy};

use crate::{FaultEvent, PolicyEntry, TrialPlan, WorkloadKind};

/// Parameters of an experiment, which runs a trial of every policy under every workload, load
/// and seed.
///
/// ```
/// let plan = load::ExperimentPlan::default();
/// assert_eq!((plan.nodes, plan.engines, plan.seeds.len()), (8, 12, 5));
/// ```
#[derive(Clone)]
pub struct ExperimentPlan {
    /// Workloads.
    pub workloads: Vec<WorkloadKind>,
    /// Offered loads as fractions of the measured capacity of all engines.
    pub loads: Vec<f64>,
    /// Policies, baselines among them.
    pub policies: Vec<PolicyEntry>,
    /// Offered load of the reference trials with uncongested engines; `None` runs none.
    pub reference_load: Option<f64>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Number of nodes.
    pub nodes: usize,
    /// Failure domains over which nodes and engines are spread.
    pub domains: usize,
    /// Number of engines.
    pub engines: usize,
    /// Speed and memory of each engine.
    pub profile: EngineProfile,
    /// What engines do with preempted sequences.
    pub on_full: PreemptionPolicy,
    /// Warm-up: time before calls are measured.
    pub warmup: TimeSpan,
    /// Time in which the measured calls arrive.
    pub window: TimeSpan,
    /// Faults of engines, the same in every trial.
    pub faults: Vec<FaultEvent>,
    /// Number of trials that run in parallel; at most five.
    pub threads: usize,
}

impl Default for ExperimentPlan {
    fn default() -> Self {
        let mix = WorkloadKind::Kanchan.mix();
        let trial = TrialPlan::new(mix, 1.0, 1);
        Self {
            workloads: vec![WorkloadKind::Kanchan, WorkloadKind::LanternaSul],
            loads: vec![0.7, 0.9, 1.1],
            policies: PolicyEntry::baselines(),
            reference_load: Some(0.3),
            seeds: vec![1, 2, 3, 4, 5],
            nodes: trial.nodes,
            domains: trial.domains,
            engines: trial.engines,
            profile: trial.profile,
            on_full: trial.on_full,
            warmup: trial.warmup,
            window: trial.window,
            faults: trial.faults,
            threads: 5,
        }
    }
}

impl ExperimentPlan {
    /// Returns this plan with one more policy.
    #[must_use]
    pub fn with_policy(mut self, entry: PolicyEntry) -> Self {
        self.policies.push(entry);
        self
    }

    /// The trial of one workload, rate and seed.
    pub fn trial(&self, workload: WorkloadKind, rate: f64, seed: u64) -> TrialPlan {
        TrialPlan {
            nodes: self.nodes,
            domains: self.domains,
            engines: self.engines,
            profile: self.profile.clone(),
            on_full: self.on_full,
            warmup: self.warmup,
            window: self.window,
            faults: self.faults.clone(),
            ..TrialPlan::new(workload.mix(), rate, seed)
        }
    }
}
