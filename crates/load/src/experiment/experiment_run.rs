use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::ExperimentPlan;
use crate::baseline::SelectionRule;
use crate::failure::InvalidPlanSnafu;
use crate::{
    EngineCapacity, ExperimentReport, LoadError, PolicyEntry, TrialRow, WorkloadKind,
    measure_capacity, run_trial,
};

/// The machine is shared, so an experiment takes at most half of its cores.
const MAX_THREADS: usize = 5;
const MAX_TRIALS: usize = 2_000;

/// One trial to run.
#[derive(Clone, Copy)]
struct TrialJob {
    workload: WorkloadKind,
    load: f64,
    /// Index of the policy in the plan; `None` for a reference trial with uncongested engines.
    policy: Option<usize>,
    seed: u64,
}

/// Measures the capacity of an engine under each workload, then runs all trials in parallel.
///
/// # Errors
/// `InvalidPlan` if the plan is empty, too large or contains an invalid trial.
pub fn run_experiment(plan: &ExperimentPlan) -> Result<ExperimentReport, LoadError> {
    let jobs = list_jobs(plan);
    if jobs.is_empty() || jobs.len() > MAX_TRIALS {
        let reason = format!("{} trials: 1 to {MAX_TRIALS}", jobs.len());
        return InvalidPlanSnafu { reason }.fail();
    }
    let threads = plan.threads.clamp(1, MAX_THREADS);
    let capacities = measure_capacities(plan);
    let rows = run_parallel(threads, &jobs, |job| {
        let capacity = &capacities[&job.workload];
        run_job(plan, capacity, job)
    });
    let rows = rows.into_iter().collect::<Result<Vec<_>, _>>()?;
    let planned = jobs.iter().filter(|job| job.policy.is_some()).count();
    let (rows, references) = rows.split_at(planned);
    Ok(ExperimentReport {
        nodes: plan.nodes,
        engines: plan.engines,
        memory_tokens: plan.profile.memory_tokens().0,
        seeds: plan.seeds.clone(),
        capacities,
        rows: rows.to_vec(),
        references: references.to_vec(),
    })
}

fn list_jobs(plan: &ExperimentPlan) -> Vec<TrialJob> {
    let mut jobs = Vec::new();
    for &workload in &plan.workloads {
        for &load in &plan.loads {
            for policy in 0..plan.policies.len() {
                for &seed in &plan.seeds {
                    jobs.push(TrialJob {
                        workload,
                        load,
                        policy: Some(policy),
                        seed,
                    });
                }
            }
        }
    }
    let Some(load) = plan.reference_load else {
        return jobs;
    };
    for &workload in &plan.workloads {
        for &seed in &plan.seeds {
            jobs.push(TrialJob {
                workload,
                load,
                policy: None,
                seed,
            });
        }
    }
    jobs
}

fn measure_capacities(plan: &ExperimentPlan) -> BTreeMap<WorkloadKind, EngineCapacity> {
    let measured = run_parallel(MAX_THREADS, &plan.workloads, |workload| {
        measure_capacity(&workload.mix(), &plan.profile)
    });
    plan.workloads.iter().copied().zip(measured).collect()
}

fn run_job(
    plan: &ExperimentPlan,
    capacity: &EngineCapacity,
    job: TrialJob,
) -> Result<TrialRow, LoadError> {
    let rate = job.load * capacity.requests_per_s * plan.engines as f64;
    let trial = plan.trial(job.workload, rate, job.seed);
    let reference = PolicyEntry::for_baseline(SelectionRule::LeastInFlight);
    let entry = match job.policy {
        Some(at) => &plan.policies[at],
        None => &reference,
    };
    Ok(TrialRow {
        workload: job.workload,
        load: job.load,
        policy: entry.name.clone(),
        baseline: entry.baseline,
        seed: job.seed,
        metrics: run_trial(&trial, &entry.factory)?,
    })
}

/// Runs `work` on each item in up to `threads` threads and returns the results in the order of
/// the items.
fn run_parallel<T: Copy + Sync, R: Send>(
    threads: usize,
    items: &[T],
    work: impl Fn(T) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(items.len()) {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(item) = items.get(at) else {
                        return;
                    };
                    let result = work(*item);
                    // A poisoned lock means that another thread panicked; the scope reports it.
                    results.lock().expect("lock of results").push((at, result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("lock of results");
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, result)| result).collect()
}
