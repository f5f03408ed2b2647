//! Runs an experiment with the baselines, prints its tables and writes a JSON and an HTML report.
//!
//! `cargo run --release -p load --example experiment -- workload=kanchan loads=0.7,0.9 out=DIR`
//!
//! Keys: `workload`, `loads`, `seeds`, `nodes`, `engines`, `window` (such as `600s`), `faults`
//! (number of random faults, drawn with the first seed), `out` (directory). All are optional.

use std::path::Path;
use std::time::Instant;

use base::ClockTime;
use load::{
    ExperimentPlan, FaultEvent, render_experiment_json, render_experiment_page,
    render_experiment_text, run_experiment,
};

type AnyError = Box<dyn std::error::Error>;

fn main() -> Result<(), AnyError> {
    let mut plan = ExperimentPlan::default();
    let mut out = None;
    let mut faults = 0;
    for arg in std::env::args().skip(1) {
        let (key, value) = arg.split_once('=').ok_or("expected KEY=VALUE")?;
        match key {
            "workload" => plan.workloads = vec![value.parse()?],
            "loads" => plan.loads = parse_list(value)?,
            "seeds" => plan.seeds = parse_list(value)?,
            "nodes" => plan.nodes = value.parse()?,
            "engines" => plan.engines = value.parse()?,
            "window" => plan.window = value.parse()?,
            "faults" => faults = value.parse()?,
            "out" => out = Some(value.to_string()),
            _ => return Err(format!("unknown key {key}").into()),
        }
    }
    let from = ClockTime::ZERO + plan.warmup;
    let seed = plan.seeds.first().copied().unwrap_or(0);
    plan.faults = FaultEvent::draw_schedule(plan.engines, from, from + plan.window, faults, seed);
    let start = Instant::now();
    let report = run_experiment(&plan)?;
    println!("{}", render_experiment_text(&report));
    eprintln!("{} trials in {:.1?}", report.rows.len(), start.elapsed());
    if let Some(out) = out.as_deref().map(Path::new) {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("report.json"), render_experiment_json(&report))?;
        std::fs::write(out.join("report.html"), render_experiment_page(&report)?)?;
    }
    Ok(())
}

fn parse_list<T: std::str::FromStr<Err: std::error::Error + 'static>>(
    text: &str,
) -> Result<Vec<T>, AnyError> {
    let parts = text.split(',').map(|part| part.parse());
    Ok(parts.collect::<Result<_, _>>()?)
}
