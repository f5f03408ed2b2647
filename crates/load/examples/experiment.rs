//! Runs an experiment with the baselines and prints its tables.
//!
//! `cargo run --release -p load --example experiment -- [OUT_DIR] [WORKLOAD] [LOAD…]`

use std::path::Path;
use std::time::Instant;

use load::{ExperimentPlan, render_json, render_page, render_text, run_experiment};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let out = args.next();
    let mut plan = ExperimentPlan::default();
    if let Some(workload) = args.next() {
        plan.workloads = vec![workload.parse()?];
    }
    let loads: Vec<f64> = args.map(|text| text.parse()).collect::<Result<_, _>>()?;
    if !loads.is_empty() {
        plan.loads = loads;
    }
    let start = Instant::now();
    let report = run_experiment(&plan)?;
    println!("{}", render_text(&report));
    eprintln!("{} trials in {:.1?}", report.rows.len(), start.elapsed());
    if let Some(out) = out.as_deref().map(Path::new) {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("report.json"), render_json(&report))?;
        std::fs::write(out.join("report.html"), render_page(&report)?)?;
    }
    Ok(())
}
