//! Compares the relay of a node with a bare `hyper` pass-through in the same run.
//!
//! `cargo run --release -p agatemoor --example relay_bench -- rounds=5`
//!
//! The example starts itself as an engine feeder, a pass-through and a node, each a process of
//! its own, drives both proxies in turn and reads their processor time and resident memory from
//! `/proc`. Keys, each of which may be left out: `rounds` (1 to 20), `rate` (requests a second),
//! `seconds` (of arrivals), `tokens` (of an answer), `gap` (milliseconds between tokens),
//! `requests` (of one token, for the time per request), `streams` (open at once, for the memory;
//! 0 leaves it out), `threads` (of each proxy), `fresh` (whether the pass-through opens a
//! connection for each request, as a node does), `parts` (of `load`, `requests`, `memory`).

mod bench_plan;
mod bench_run;
mod caller;
mod child_process;
mod feeder;
mod fleet;
mod memory_run;
mod node_role;
mod pass_through;
mod spread;

use std::net::SocketAddr;

use bench_plan::BenchPlan;
use tokio::runtime::{Builder, Runtime};

/// What the processes of the benchmark return.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Threads of the process that makes the calls, and of the feeder.
const OUTER_THREADS: usize = 3;

fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["role-feeder"] => start(OUTER_THREADS)?.block_on(feeder::run()),
        ["role-pass", engine, threads, fresh] => {
            let engine: SocketAddr = engine.parse()?;
            start(threads.parse()?)?.block_on(pass_through::run(engine, fresh.parse()?))
        }
        ["role-node", platform, threads] => {
            start(threads.parse()?)?.block_on(node_role::run(platform.parse()?))
        }
        words => {
            let plan = BenchPlan::parse(words)?;
            start(OUTER_THREADS)?.block_on(bench_run::run(&plan))
        }
    }
}

/// The node and the pass-through run on the same kind of runtime.
fn start(threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}
