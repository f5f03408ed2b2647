use std::collections::BTreeMap;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::MeasureMetric;
use crate::{EngineCapacity, MeasureSummary, WorkloadKind};

/// Measures of one trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialRow {
    /// Workload.
    pub workload: WorkloadKind,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Name of the policy.
    pub policy: String,
    /// Whether the policy is a baseline.
    pub baseline: bool,
    /// Seed.
    pub seed: u64,
    /// What was measured.
    pub measures: MeasureSummary,
}

/// Least, median and greatest value over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RatioSpread {
    /// Least value.
    pub min: f64,
    /// Median; the lower one of the middle two.
    pub median: f64,
    /// Greatest value.
    pub max: f64,
}

impl RatioSpread {
    /// Sums up values; `None` if there are none or one is not a number.
    ///
    /// ```
    /// let spread = load::RatioSpread::new(vec![3.0, 1.0, 2.0]).unwrap();
    /// assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.0, 3.0));
    /// ```
    pub fn new(mut values: Vec<f64>) -> Option<Self> {
        if values.is_empty() || values.iter().any(|value| value.is_nan()) {
            return None;
        }
        values.sort_by(f64::total_cmp);
        Some(Self {
            min: values[0],
            median: values[(values.len() - 1) / 2],
            max: values[values.len() - 1],
        })
    }
}

/// One measure of one policy over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ComparisonRow {
    /// Workload.
    pub workload: WorkloadKind,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Name of the policy.
    pub policy: String,
    /// Name of the measure.
    pub metric: String,
    /// The measure itself.
    pub value: Option<RatioSpread>,
    /// The measure over that of the best baseline.
    pub ratio: Option<RatioSpread>,
    /// The measure over that of uncongested engines.
    pub uncongested: Option<RatioSpread>,
}

/// All trials of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: u32,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Capacity of one engine under each workload.
    pub capacities: BTreeMap<WorkloadKind, EngineCapacity>,
    /// The trials by workload, load, policy and seed.
    pub rows: Vec<TrialRow>,
    /// Trials of uncongested engines, one for each workload and seed.
    pub references: Vec<TrialRow>,
}

impl ExperimentReport {
    /// Workloads and loads in the order of the plan.
    pub fn settings(&self) -> Vec<(WorkloadKind, f64)> {
        let mut settings = Vec::new();
        for row in &self.rows {
            if !settings.contains(&(row.workload, row.load)) {
                settings.push((row.workload, row.load));
            }
        }
        settings
    }

    /// Names of the policies in the order of the plan.
    pub fn policies(&self) -> Vec<&str> {
        let mut names = Vec::new();
        for row in &self.rows {
            if !names.contains(&row.policy.as_str()) {
                names.push(&row.policy);
            }
        }
        names
    }

    /// Spread of a measure over the seeds.
    pub fn spread(
        &self,
        setting: (WorkloadKind, f64),
        policy: &str,
        metric: MeasureMetric,
    ) -> Option<RatioSpread> {
        let rows = self.rows_of(setting).filter(|row| row.policy == policy);
        let values = rows.map(|row| metric.value(&row.measures));
        RatioSpread::new(values.collect::<Option<_>>()?)
    }

    /// Spread over the seeds of a measure over that of the best baseline of the same seed.
    /// Infinite where only the baseline is zero, one where both are.
    pub fn ratio(
        &self,
        setting: (WorkloadKind, f64),
        policy: &str,
        metric: MeasureMetric,
    ) -> Option<RatioSpread> {
        let mut ratios = Vec::new();
        for row in self.rows_of(setting).filter(|row| row.policy == policy) {
            let value = metric.value(&row.measures)?;
            let best = self.best_baseline(setting, row.seed, metric)?;
            ratios.push(match (value, best) {
                (0.0, 0.0) => 1.0,
                _ => value / best,
            });
        }
        RatioSpread::new(ratios)
    }

    /// Spread over the seeds of a measure over that of uncongested engines with the same seed;
    /// `None` if no such trials were run.
    pub fn reference_ratio(
        &self,
        setting: (WorkloadKind, f64),
        policy: &str,
        metric: MeasureMetric,
    ) -> Option<RatioSpread> {
        let mut ratios = Vec::new();
        for row in self.rows_of(setting).filter(|row| row.policy == policy) {
            let same = |other: &&TrialRow| other.workload == row.workload && other.seed == row.seed;
            let reference = self.references.iter().find(same)?;
            let value = metric.value(&row.measures)?;
            ratios.push(value / metric.value(&reference.measures)?);
        }
        RatioSpread::new(ratios)
    }

    /// Every measure of every policy.
    pub fn comparisons(&self) -> Vec<ComparisonRow> {
        let mut rows = Vec::new();
        for setting in self.settings() {
            for policy in self.policies() {
                for metric in MeasureMetric::iter() {
                    rows.push(ComparisonRow {
                        workload: setting.0,
                        load: setting.1,
                        policy: policy.to_string(),
                        metric: metric.to_string(),
                        value: self.spread(setting, policy, metric),
                        ratio: self.ratio(setting, policy, metric),
                        uncongested: self.reference_ratio(setting, policy, metric),
                    });
                }
            }
        }
        rows
    }

    fn best_baseline(
        &self,
        setting: (WorkloadKind, f64),
        seed: u64,
        metric: MeasureMetric,
    ) -> Option<f64> {
        let rows = self.rows_of(setting);
        let baselines = rows.filter(|row| row.baseline && row.seed == seed);
        let values = baselines.filter_map(|row| metric.value(&row.measures));
        match metric.is_cost() {
            true => values.min_by(f64::total_cmp),
            false => values.max_by(f64::total_cmp),
        }
    }

    fn rows_of(&self, (workload, load): (WorkloadKind, f64)) -> impl Iterator<Item = &TrialRow> {
        let wanted = move |row: &&TrialRow| row.workload == workload && row.load == load;
        self.rows.iter().filter(wanted)
    }
}
