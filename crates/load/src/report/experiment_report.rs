use std::collections::BTreeMap;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::MetricKind;
use crate::{EngineCapacity, MetricsSummary, WorkloadKind};

/// Metrics of one trial and the parameters that identify it.
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
    /// Metrics of the trial.
    #[serde(rename = "measures")]
    pub metrics: MetricsSummary,
}

/// Minimum, median and maximum of a metric or ratio over the seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ValueSpread {
    /// Minimum.
    pub min: f64,
    /// Median; the lower one of the middle two.
    pub median: f64,
    /// Maximum.
    pub max: f64,
}

impl ValueSpread {
    /// Computes the spread of `values`; `None` if there are none or one is NaN.
    ///
    /// ```
    /// let spread = load::ValueSpread::new(vec![3.0, 1.0, 2.0]).unwrap();
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

/// One metric of one policy at one workload and load, compared over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ComparisonRow {
    /// Workload.
    pub workload: WorkloadKind,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Name of the policy.
    pub policy: String,
    /// Name of the metric.
    pub metric: String,
    /// Spread of the metric.
    pub value: Option<ValueSpread>,
    /// Spread of the ratio to the best baseline.
    pub ratio: Option<ValueSpread>,
    /// Spread of the ratio to uncongested engines.
    pub uncongested: Option<ValueSpread>,
}

/// Results of all trials of an experiment.
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
    /// Reference trials with uncongested engines, one for each workload and seed.
    pub references: Vec<TrialRow>,
}

impl ExperimentReport {
    /// Test conditions, each a workload and a load, in the order of the plan.
    pub fn conditions(&self) -> Vec<(WorkloadKind, f64)> {
        let mut conditions = Vec::new();
        for row in &self.rows {
            if !conditions.contains(&(row.workload, row.load)) {
                conditions.push((row.workload, row.load));
            }
        }
        conditions
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

    /// Spread of a metric over the seeds.
    pub fn spread(
        &self,
        condition: (WorkloadKind, f64),
        policy: &str,
        metric: MetricKind,
    ) -> Option<ValueSpread> {
        let rows = self.rows_at(condition).filter(|row| row.policy == policy);
        let values = rows.map(|row| metric.value(&row.metrics));
        ValueSpread::new(values.collect::<Option<_>>()?)
    }

    /// Spread over the seeds of the ratio of a metric to that of the best baseline with the same
    /// seed. A ratio is infinite if only the baseline is zero, and one if both are.
    pub fn ratio(
        &self,
        condition: (WorkloadKind, f64),
        policy: &str,
        metric: MetricKind,
    ) -> Option<ValueSpread> {
        let mut ratios = Vec::new();
        for row in self.rows_at(condition).filter(|row| row.policy == policy) {
            let value = metric.value(&row.metrics)?;
            let best = self.best_baseline(condition, row.seed, metric)?;
            ratios.push(match (value, best) {
                (0.0, 0.0) => 1.0,
                _ => value / best,
            });
        }
        ValueSpread::new(ratios)
    }

    /// Spread over the seeds of the ratio of a metric to that of uncongested engines with the
    /// same seed; `None` if no reference trials were run.
    pub fn uncongested_ratio(
        &self,
        condition: (WorkloadKind, f64),
        policy: &str,
        metric: MetricKind,
    ) -> Option<ValueSpread> {
        let mut ratios = Vec::new();
        for row in self.rows_at(condition).filter(|row| row.policy == policy) {
            let same = |other: &&TrialRow| other.workload == row.workload && other.seed == row.seed;
            let reference = self.references.iter().find(same)?;
            let value = metric.value(&row.metrics)?;
            ratios.push(value / metric.value(&reference.metrics)?);
        }
        ValueSpread::new(ratios)
    }

    /// Every metric of every policy at every workload and load.
    pub fn comparisons(&self) -> Vec<ComparisonRow> {
        let mut rows = Vec::new();
        for condition in self.conditions() {
            for policy in self.policies() {
                for metric in MetricKind::iter() {
                    rows.push(ComparisonRow {
                        workload: condition.0,
                        load: condition.1,
                        policy: policy.to_string(),
                        metric: metric.to_string(),
                        value: self.spread(condition, policy, metric),
                        ratio: self.ratio(condition, policy, metric),
                        uncongested: self.uncongested_ratio(condition, policy, metric),
                    });
                }
            }
        }
        rows
    }

    fn best_baseline(
        &self,
        condition: (WorkloadKind, f64),
        seed: u64,
        metric: MetricKind,
    ) -> Option<f64> {
        let rows = self.rows_at(condition);
        let baselines = rows.filter(|row| row.baseline && row.seed == seed);
        let values = baselines.filter_map(|row| metric.value(&row.metrics));
        match metric.is_lower_better() {
            true => values.min_by(f64::total_cmp),
            false => values.max_by(f64::total_cmp),
        }
    }

    fn rows_at(&self, (workload, load): (WorkloadKind, f64)) -> impl Iterator<Item = &TrialRow> {
        let wanted = move |row: &&TrialRow| row.workload == workload && row.load == load;
        self.rows.iter().filter(wanted)
    }
}
