//! Measures the network, CPU and memory cost of control traffic for a node that serves no calls.
//!
//! `cargo build --release -p agatemoor`, then
//! `cargo run --release -p agatemoor --example control_cost -- nodes=8,16 targets=4,11 seconds=15`
//!
//! The example serves the platform and fake engines itself and starts each node as a process of
//! the built program. Arguments, all optional: `nodes` and `targets` (for each node;
//! lists, all pairs are run), `domains`, `seconds` (of a measurement, at most 120), `settle`
//! (seconds between readiness and measurement), `programs` (paths of builds to compare in the same
//! run), `burst` (published changes, 0 leaves them out), `storm` (seconds in which all nodes are
//! restarted, 0 leaves it out), `load` (`varied` or `steady` figures of the engines).
//!
//! Body bytes and messages come from `/ops/metrics`. Heads and replies are message counts times
//! the size of a head and a reply, measured on a socket in one exchange of the real peer client.
//! Bytes of probes are counted at the sockets of the engines.

mod cost_fleet;
mod cost_plan;
mod cost_run;
mod fake_engine;
mod message_overhead;
mod node_process;

use cost_plan::CostPlan;
use message_overhead::MessageOverhead;

/// Error type of the example.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let plan = CostPlan::parse(&args)?;
    let overhead = MessageOverhead::measure().await?;
    println!("{plan}");
    println!(
        "a peer message has {} B of request head, and {} B of reply with head",
        overhead.request, overhead.reply
    );
    for nodes in &plan.nodes {
        for targets in &plan.targets {
            for program in &plan.programs {
                cost_run::run(&plan, program, *nodes, *targets, &overhead).await?;
            }
        }
    }
    Ok(())
}
