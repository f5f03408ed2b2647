//! Measures what control traffic costs a node without calls of callers.
//!
//! `cargo build --release -p agatemoor`, then
//! `cargo run --release -p agatemoor --example control_cost -- nodes=8,16 targets=4,11 seconds=15`
//!
//! The example serves the platform and cheap engines itself and starts each node as a process of
//! the built program. Keys, each of which may be left out: `nodes` and `targets` (for each node;
//! lists, all pairs are run), `domains`, `seconds` (of a measurement, at most 120), `settle`
//! (seconds between readiness and measurement), `programs` (paths of builds to compare in the same
//! run), `burst` (published changes, 0 leaves them out), `storm` (seconds in which all nodes are
//! restarted, 0 leaves it out), `load` (`varied` or `steady` figures of the engines).
//!
//! Body bytes and messages come from `/ops/metrics`. Heads and replies are message counts times
//! the size of a head and a reply that one exchange of the real peer client showed on a socket.
//! Bytes of probes are counted at the sockets of the engines.

mod cost_fleet;
mod cost_plan;
mod cost_run;
mod fake_engine;
mod head_size;
mod node_process;

use cost_plan::CostPlan;
use head_size::HeadSize;

/// What the steps of the example return.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let plan = CostPlan::parse(&args)?;
    let head = HeadSize::measure().await?;
    println!("{plan}");
    println!(
        "a peer message has {} B of request head, and {} B of reply with head",
        head.request, head.reply
    );
    for nodes in &plan.nodes {
        for targets in &plan.targets {
            for program in &plan.programs {
                cost_run::run(&plan, program, *nodes, *targets, &head).await?;
            }
        }
    }
    Ok(())
}
