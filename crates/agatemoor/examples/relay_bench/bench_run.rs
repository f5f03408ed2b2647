use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};

use crate::AnyError;
use crate::bench_plan::BenchPlan;
use crate::caller::call;
use crate::child_process::ChildProcess;
use crate::fleet::{start_platform, wait_ready};
use crate::memory_run::bytes_per_stream;
use crate::sample_summary::SampleSummary;

/// Concurrent requests of one token.
const CONCURRENT_REQUESTS: usize = 8;
/// Time in which the CPU time of an idle proxy is measured.
const IDLE_DURATION: Duration = Duration::from_secs(3);

/// Results of one proxy in one round.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyFigures {
    /// CPU microseconds for each token of the token load, including the cost of its requests.
    token_us: f64,
    /// CPU cores used while all streams of the token load are open.
    cores: f64,
    /// Median time to the first token under the token load, in microseconds.
    first_us: f64,
    /// CPU microseconds for each request of one token.
    request_us: f64,
    /// Share of the requests of the token load with a complete response.
    whole: f64,
}

/// Runs the benchmark and prints its tables.
pub async fn run(plan: &BenchPlan) -> Result<(), AnyError> {
    println!("{plan:?}");
    let engine_process = ChildProcess::start(&["role-engine"])?;
    let platform = start_platform(engine_process.address).await?;
    let threads = plan.threads.to_string();
    let (engine, fresh) = (engine_process.address.to_string(), plan.fresh.to_string());
    let pass = ChildProcess::start(&["role-pass", &engine, &threads, &fresh])?;
    let platform_address = platform.address().to_string();
    let node = ChildProcess::start(&["role-node", &platform_address, &threads])?;
    for proxy in [&pass, &node] {
        wait_ready(proxy.address).await?;
    }
    eprintln!("pass-through {}, node {}", pass.id(), node.id());
    let mut rounds = Vec::new();
    for round in 0..plan.rounds {
        // The order alternates, so that a drift of the machine's speed affects both proxies.
        let order = match round % 2 {
            0 => [&pass, &node],
            _ => [&node, &pass],
        };
        let first = run_round(plan, order[0]).await?;
        let second = run_round(plan, order[1]).await?;
        let pair = match round % 2 {
            0 => [first, second],
            _ => [second, first],
        };
        eprintln!("round {round}: {pair:?}");
        rounds.push(pair);
    }
    print_rounds(plan, &rounds);
    for (name, proxy) in [("pass-through", &pass), ("node", &node)] {
        sleep(Duration::from_secs(1)).await;
        let (start, cpu) = (Instant::now(), proxy.cpu()?);
        sleep(IDLE_DURATION).await;
        let idle = (proxy.cpu()? - cpu).as_secs_f64() / start.elapsed().as_secs_f64();
        let (user, system) = proxy.ticks()?;
        println!(
            "{name}: idle {:.2}% of a core; user {user} and system {system} ticks in total; \
             {} KiB resident",
            idle * 100.0,
            proxy.resident()?
        );
    }
    if plan.has("memory") && plan.streams > 0 {
        for (name, proxy) in [("pass-through", &pass), ("node", &node)] {
            let bytes = bytes_per_stream(proxy, plan.streams).await?;
            println!(
                "{name}: {bytes:.0} resident bytes per stream at {} streams",
                plan.streams
            );
        }
    }
    platform.stop();
    Ok(())
}

async fn run_round(plan: &BenchPlan, proxy: &ChildProcess) -> Result<ProxyFigures, AnyError> {
    let mut results = ProxyFigures::default();
    if plan.has("load") {
        run_load(plan, proxy, &mut results).await?;
    }
    if plan.has("requests") {
        results.request_us = run_requests(plan, proxy).await?;
    }
    Ok(results)
}

/// Sends requests for long responses at a fixed rate (open loop) and measures CPU time and latency.
async fn run_load(
    plan: &BenchPlan,
    proxy: &ChildProcess,
    results: &mut ProxyFigures,
) -> Result<(), AnyError> {
    let calls = plan.rate * plan.seconds;
    let mut arrivals = interval(Duration::from_secs(1) / plan.rate);
    let mut open = JoinSet::new();
    let ramp = calls * plan.gap * plan.tokens / (plan.seconds * 1_000);
    let (address, tokens, gap) = (proxy.address, plan.tokens, plan.gap);
    let begin = proxy.cpu()?;
    let mut steady = (Instant::now(), begin);
    for number in 0..calls {
        arrivals.tick().await;
        if number == ramp.min(calls - 1) {
            steady = (Instant::now(), proxy.cpu()?);
        }
        open.spawn(call(address, tokens, gap));
    }
    let steady_cpu = proxy.cpu()? - steady.1;
    results.cores = steady_cpu.as_secs_f64() / steady.0.elapsed().as_secs_f64();
    let (mut firsts, mut failed) = (Vec::new(), 0);
    while let Some(result) = open.join_next().await {
        match result? {
            Ok(first) => firsts.push(first.as_secs_f64() * 1e6),
            Err(error) => {
                eprintln!("{error}");
                failed += 1;
            }
        }
    }
    let used = proxy.cpu()? - begin;
    results.token_us = used.as_secs_f64() * 1e6 / f64::from(calls * tokens);
    results.whole = 1.0 - f64::from(failed) / f64::from(calls);
    firsts.sort_by(f64::total_cmp);
    results.first_us = firsts.get(firsts.len() / 2).copied().unwrap_or(f64::NAN);
    Ok(())
}

/// Sends requests of one token with fixed concurrency (closed loop); returns CPU time per request.
async fn run_requests(plan: &BenchPlan, proxy: &ChildProcess) -> Result<f64, AnyError> {
    let begin = proxy.cpu()?;
    let mut open = JoinSet::new();
    for _ in 0..plan.requests {
        if open.len() >= CONCURRENT_REQUESTS
            && let Some(result) = open.join_next().await
        {
            result??;
        }
        open.spawn(call(proxy.address, 1, 1));
    }
    while let Some(result) = open.join_next().await {
        result??;
    }
    let used = proxy.cpu()? - begin;
    Ok(used.as_secs_f64() * 1e6 / f64::from(plan.requests))
}

fn print_rounds(plan: &BenchPlan, rounds: &[[ProxyFigures; 2]]) {
    let row = |name: &str, value: fn(&ProxyFigures) -> f64| {
        let [pass, node] =
            [0, 1].map(|at| SampleSummary::new(rounds.iter().map(|pair| value(&pair[at]))));
        let ratio = SampleSummary::new(rounds.iter().map(|pair| value(&pair[1]) / value(&pair[0])));
        println!("| {name} | {pass} | {node} | {ratio} |");
    };
    println!(
        "| min / median / max of {} rounds | pass-through | node | node over pass-through |\n\
         |---|---|---|---|",
        rounds.len()
    );
    if plan.has("load") {
        let offered = plan.rate * plan.tokens;
        row("µs of CPU per token", |results| results.token_us);
        row("cores at the full rate", |results| results.cores);
        row("µs to first token", |results| results.first_us);
        row("complete responses", |results| results.whole);
        println!("offered: {offered} tokens/s, {} requests/s", plan.rate);
    }
    if plan.has("requests") {
        row("µs of CPU per request", |results| results.request_us);
    }
}
