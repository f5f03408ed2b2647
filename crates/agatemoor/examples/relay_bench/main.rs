//! Compares the relay of a node with a bare `hyper` pass-through in the same run.
//!
//! `cargo run --release -p agatemoor --example relay_bench -- rounds=5`
//!
//! The example starts itself as a fake engine, a pass-through and a node, each a process of
//! its own, sends load to each proxy in turn and reads its CPU time and resident memory from
//! `/proc`. Arguments are `KEY=VALUE`, all optional: `rounds` (1 to 20), `rate` (requests per
//! second), `seconds` (of arrivals), `tokens` (of a response), `gap` (milliseconds between tokens),
//! `requests` (of one token, for the CPU time per request), `streams` (concurrent, for the memory;
//! 0 leaves it out), `threads` (of each proxy), `fresh` (whether the pass-through opens a
//! connection for each request, as a node does), `parts` (of `load`, `requests`, `memory`).

mod bench_plan;
mod bench_run;
mod caller;
mod child_process;
mod fake_engine;
mod fleet;
mod memory_run;
mod node_role;
mod pass_through;
mod sample_summary;

use std::net::SocketAddr;

use bench_plan::BenchPlan;
use tokio::runtime::{Builder, Runtime};

/// Error type of the benchmark.
pub type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Threads of the process that makes the calls, and of the fake engine.
const HARNESS_THREADS: usize = 3;

fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["role-engine"] => make_runtime(HARNESS_THREADS)?.block_on(fake_engine::run()),
        ["role-pass", engine, threads, fresh] => {
            let engine: SocketAddr = engine.parse()?;
            make_runtime(threads.parse()?)?.block_on(pass_through::run(engine, fresh.parse()?))
        }
        ["role-node", platform, threads] => {
            make_runtime(threads.parse()?)?.block_on(node_role::run(platform.parse()?))
        }
        words => {
            let plan = BenchPlan::parse(words)?;
            make_runtime(HARNESS_THREADS)?.block_on(bench_run::run(&plan))
        }
    }
}

/// Creates a multi-threaded runtime; all processes use the same kind, so that they are comparable.
fn make_runtime(threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}
