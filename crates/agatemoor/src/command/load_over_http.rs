use std::net::SocketAddr;

use base::TimeSpan;
use load::{
    LengthHint, LoadOutcome, LoadPlan, render_outcome, render_outcome_json, render_outcome_page,
    run_load,
};

use super::async_runtime::run_multi_threaded;
use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS};
use super::load_command::{LoadCommand, MAX_RUN_SECONDS, parse_list, usage_error, write_if_named};

/// Most requests of a run without `--calls`.
const DEFAULT_CALL_LIMIT: usize = 100_000;
/// Model that is requested without `--model`; the one of the examples.
const DEFAULT_MODEL: &str = "quill";

/// Sends load to running nodes and reports the outcome.
pub fn run(command: &LoadCommand) -> u8 {
    let plan = match make_plan(command) {
        Ok(plan) => plan,
        Err(error) => return usage_error(&error),
    };
    run_multi_threaded(async {
        match run_load(plan).await {
            Ok(outcome) => report(command, &outcome).unwrap_or_else(|code| code),
            Err(error) => usage_error(&error.to_string()),
        }
    })
}

fn make_plan(command: &LoadCommand) -> Result<LoadPlan, String> {
    let nodes = command.node.as_deref().ok_or("--node is missing")?;
    let keys = command.key.as_deref().ok_or("--key is missing")?;
    let kind = command.workload.ok_or("--workload is missing")?;
    let rate = command.rate.ok_or("--rate is missing")?;
    let seconds = command.seconds.ok_or("--seconds is missing")?;
    if !(1..=MAX_RUN_SECONDS).contains(&seconds) {
        return Err(format!("--seconds must be 1 to {MAX_RUN_SECONDS}"));
    }
    let model = command.model.as_deref().unwrap_or(DEFAULT_MODEL);
    let model = model.parse().map_err(|error| format!("--model: {error}"))?;
    let mut plan = LoadPlan::new(kind.mix(), model);
    plan.nodes = parse_list::<SocketAddr>("--node", nodes)?;
    for (index, key) in keys.split(',').map(str::trim).enumerate() {
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("--key: keys must be printable ASCII without spaces".to_owned());
        }
        let workspace = format!("ws-{index:02}").parse();
        let workspace = workspace.map_err(|error| format!("--key: {error}"))?;
        plan = plan.with_key(workspace, key);
    }
    plan.rate = rate;
    plan.duration = TimeSpan::from_secs(seconds);
    plan.call_limit = command.calls.unwrap_or(DEFAULT_CALL_LIMIT);
    plan.open_limit = command.open.unwrap_or(plan.open_limit);
    plan.call_timeout = command.call_timeout.unwrap_or(plan.call_timeout);
    plan.length_hint = LengthHint::StandInField;
    plan.seed = command.seed.unwrap_or(plan.seed);
    plan.check().map_err(|error| error.to_string())?;
    Ok(plan)
}

fn report(command: &LoadCommand, outcome: &LoadOutcome) -> Result<u8, u8> {
    print!("{}", render_outcome(outcome));
    write_if_named(command.json.as_deref(), || render_outcome_json(outcome))?;
    write_if_named(command.html.as_deref(), || render_outcome_page(outcome))?;
    if outcome.has_stream_fault() {
        let (order, count) = (outcome.order_faults, outcome.count_faults);
        eprintln!(
            "wrong streams: {order} with wrong token offsets, {count} with wrong token counts"
        );
        return Err(EXIT_FAILURE);
    }
    let complete = outcome.metrics.quick.complete + outcome.metrics.long.complete;
    if outcome.calls > 0 && complete == 0 {
        eprintln!("no call was answered completely");
        return Err(EXIT_FAILURE);
    }
    Ok(EXIT_SUCCESS)
}
