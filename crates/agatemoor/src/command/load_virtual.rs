use base::{ClockTime, TimeSpan};
use load::baseline::SelectionRule;
use load::{
    ExperimentPlan, ExperimentReport, FaultEvent, LoadError, PolicyEntry, render_experiment_json,
    render_experiment_page, render_experiment_text, run_experiment,
};
use sched::{CoordinationMode, PeakPolicy, PolicySettings};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS};
use super::load_command::{LoadCommand, parse_list, usage_error, write_if_named};

/// Policies that are compared without `--policies`.
const DEFAULT_POLICIES: &str = "random,round_robin,least_in_flight,digests";
/// Highest offered load; a higher one would only make the queues of the trial longer.
const MAX_LOAD: f64 = 4.0;
/// Most faults of a trial.
const MAX_FAULTS: usize = 1_000;
/// Longest warm-up and longest measurement window.
const MAX_PHASE: TimeSpan = TimeSpan::from_secs(7_200);

/// Runs the experiment in virtual time and writes its report.
pub fn run(command: &LoadCommand) -> u8 {
    let plan = match make_plan(command) {
        Ok(plan) => plan,
        Err(error) => return usage_error(&error),
    };
    match run_experiment(&plan) {
        Ok(report) => write_report(command, &report).map_or_else(|code| code, |()| EXIT_SUCCESS),
        Err(error @ LoadError::InvalidPlan { .. }) => usage_error(&error.to_string()),
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILURE
        }
    }
}

fn make_plan(command: &LoadCommand) -> Result<ExperimentPlan, String> {
    let mut plan = ExperimentPlan::default();
    if let Some(workload) = command.workload {
        plan.workloads = vec![workload];
    }
    if let Some(loads) = &command.loads {
        plan.loads = parse_list("--loads", loads)?;
    }
    if let Some(seeds) = &command.seeds {
        plan.seeds = parse_list("--seeds", seeds)?;
    }
    let policies = command.policies.as_deref().unwrap_or(DEFAULT_POLICIES);
    let policies = policies.split(',').map(|name| parse_policy(name.trim()));
    plan.policies = policies.collect::<Result<_, _>>()?;
    plan.nodes = command.nodes.unwrap_or(plan.nodes);
    plan.engines = command.engines.unwrap_or(plan.engines);
    plan.domains = command.domains.unwrap_or(plan.domains);
    plan.warmup = command.warmup.unwrap_or(plan.warmup);
    plan.window = command.window.unwrap_or(plan.window);
    check_bounds(command, &plan)?;
    let from = ClockTime::ZERO + plan.warmup;
    let faults = command.faults.unwrap_or(0);
    let seed = plan.seeds.first().copied().unwrap_or(0);
    plan.faults = FaultEvent::draw_schedule(plan.engines, from, from + plan.window, faults, seed);
    Ok(plan)
}

fn check_bounds(command: &LoadCommand, plan: &ExperimentPlan) -> Result<(), String> {
    let in_range = |load: &f64| *load > 0.0 && *load <= MAX_LOAD;
    if !plan.loads.iter().all(in_range) {
        return Err(format!("--loads must be above 0 and at most {MAX_LOAD}"));
    }
    if plan.warmup > MAX_PHASE || plan.window > MAX_PHASE {
        return Err(format!("--warmup and --window must be at most {MAX_PHASE}"));
    }
    if command.faults.is_some_and(|faults| faults > MAX_FAULTS) {
        return Err(format!("--faults must be at most {MAX_FAULTS}"));
    }
    // Checked here, because the experiment measures the capacity before its first trial.
    let workload = plan.workloads.first().ok_or("--workload is missing")?;
    let trial = plan.trial(*workload, 1.0, 0);
    trial.check().map_err(|error| error.to_string())
}

fn parse_policy(name: &str) -> Result<PolicyEntry, String> {
    if let Ok(rule) = name.parse::<SelectionRule>() {
        return Ok(PolicyEntry::for_baseline(rule));
    }
    let Ok(mode) = name.parse::<CoordinationMode>() else {
        return Err(format!("--policies: `{name}` is not a policy"));
    };
    let settings = PolicySettings::with_mode(mode);
    Ok(PolicyEntry::new(name, move |context| {
        let (node, domain) = (context.node.clone(), context.domain.clone());
        Box::new(PeakPolicy::new(
            settings.clone(),
            node,
            domain,
            context.seed,
        ))
    }))
}

fn write_report(command: &LoadCommand, report: &ExperimentReport) -> Result<(), u8> {
    println!("{}", render_experiment_text(report));
    write_if_named(command.json.as_deref(), || render_experiment_json(report))?;
    let page = render_experiment_page(report).map_err(|error| {
        eprintln!("{error}");
        EXIT_FAILURE
    })?;
    write_if_named(command.html.as_deref(), || page)
}
