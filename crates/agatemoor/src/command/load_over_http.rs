use std::net::SocketAddr;

use base::TimeSpan;
use load::{
    LengthHint, LoadOutcome, LoadPlan, render_outcome, render_outcome_json, render_outcome_page,
    run_load,
};

use super::async_runtime::run_async;
use super::exit_code::{EXIT_DONE, EXIT_FAILED};
use super::load_command::{LONGEST_RUN, LoadCommand, parse_list, usage, write_file};

/// Most requests of a run that names no bound.
const CALL_LIMIT: usize = 100_000;
/// Model of the examples.
const MODEL: &str = "quill";

/// Drives callers against running nodes.
pub fn run(command: &LoadCommand) -> u8 {
    let plan = match make_plan(command) {
        Ok(plan) => plan,
        Err(mistake) => return usage(&mistake),
    };
    run_async(async {
        match run_load(plan).await {
            Ok(outcome) => report(command, &outcome).unwrap_or_else(|code| code),
            Err(error) => usage(&error.to_string()),
        }
    })
}

fn make_plan(command: &LoadCommand) -> Result<LoadPlan, String> {
    let nodes = command.node.as_deref().ok_or("--node is missing")?;
    let keys = command.key.as_deref().ok_or("--key is missing")?;
    let kind = command.workload.ok_or("--workload is missing")?;
    let rate = command.rate.ok_or("--rate is missing")?;
    let seconds = command.seconds.ok_or("--seconds is missing")?;
    if !(1..=LONGEST_RUN).contains(&seconds) {
        return Err(format!("--seconds: 1 to {LONGEST_RUN}"));
    }
    let model = command.model.as_deref().unwrap_or(MODEL);
    let model = model.parse().map_err(|error| format!("--model: {error}"))?;
    let mut plan = LoadPlan::new(kind.mix(), model);
    plan.nodes = parse_list::<SocketAddr>("--node", nodes)?;
    for (at, key) in keys.split(',').map(str::trim).enumerate() {
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("--key: keys are printable ASCII without spaces".to_owned());
        }
        let workspace = format!("ws-{at:02}").parse();
        let workspace = workspace.map_err(|error| format!("--key: {error}"))?;
        plan = plan.with_key(workspace, key);
    }
    plan.rate = rate;
    plan.duration = TimeSpan::from_secs(seconds);
    plan.call_limit = command.calls.unwrap_or(CALL_LIMIT);
    plan.open_limit = command.open.unwrap_or(plan.open_limit);
    plan.call_timeout = command.call_timeout.unwrap_or(plan.call_timeout);
    plan.length_hint = LengthHint::StandInField;
    plan.seed = command.seed.unwrap_or(plan.seed);
    plan.check().map_err(|error| error.to_string())?;
    Ok(plan)
}

fn report(command: &LoadCommand, outcome: &LoadOutcome) -> Result<u8, u8> {
    print!("{}", render_outcome(outcome));
    write_file(command.json.as_deref(), || render_outcome_json(outcome))?;
    write_file(command.html.as_deref(), || render_outcome_page(outcome))?;
    if outcome.has_stream_fault() {
        let (order, count) = (outcome.order_faults, outcome.count_faults);
        eprintln!("wrong streams: {order} wrong offsets, {count} wrong counts");
        return Err(EXIT_FAILED);
    }
    let complete = outcome.metrics.quick.complete + outcome.metrics.long.complete;
    if outcome.calls > 0 && complete == 0 {
        eprintln!("no call was answered completely");
        return Err(EXIT_FAILED);
    }
    Ok(EXIT_DONE)
}
