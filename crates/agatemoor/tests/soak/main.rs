//! A fault soak of real gateway processes, with stand-ins that speak the users' platform's wire.
//!
//! CI plays two short seeds. By hand, `SOAK_SEEDS=1..50 cargo test --release -p agatemoor --test soak
//! many_seeds -- --nocapture` plays a range of them; SOAK_GATEWAYS, SOAK_CALLERS and SOAK_SECONDS set
//! the size. The logs of a seed stay under `target/tmp/soak-SEED`.

mod fake_platform;
mod fake_runner;
mod history_checker;
mod planted;
mod raw_http;
mod soak_caller;
mod soak_fleet;
mod soak_history;

use std::collections::BTreeMap;
use std::env;
use std::time::Duration;

use history_checker::{BrokenRule, check_history};
use soak_fleet::{SoakPlan, SoakReport, run_soak};
use soak_history::{ArrivalOutcome, History};

/// Seeds that CI plays; those that ever failed are added, with the cause.
const SEEDS: [u64; 2] = [1, 2];

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

fn plan(seed: u64) -> SoakPlan {
    SoakPlan {
        seed,
        gateways: number("SOAK_GATEWAYS", 6) as usize,
        callers: number("SOAK_CALLERS", 24),
        trouble: Duration::from_secs(number("SOAK_SECONDS", 14)),
    }
}

/// Prints what a soak saw and returns the rules that were broken.
async fn play(seed: u64) -> Vec<(BrokenRule, String)> {
    let report = run_soak(plan(seed)).await;
    let broken = check_history(&report.history, report.calm);
    print_report(seed, &report, &broken);
    broken
}

fn print_report(seed: u64, report: &SoakReport, broken: &[(BrokenRule, String)]) {
    println!("seed {seed}: {}", summary(&report.history));
    if broken.is_empty() {
        return;
    }
    println!("logs in {}", report.folder.display());
    for fault in &report.faults {
        println!("  {fault}");
    }
    for (rule, text) in broken {
        println!("  {rule:?}: {text}");
    }
}

fn summary(history: &History) -> String {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in history.calls.values().filter(|call| call.crasher.is_none()) {
        let end = call.end.as_ref();
        let status = end.and_then(|end| end.status);
        let text = status.map_or("cut".to_owned(), |status| status.to_string());
        *ends.entry(text).or_default() += 1;
    }
    let arrivals = history.arrivals.values().flatten();
    let deaths = arrivals.filter(|one| one.outcome == ArrivalOutcome::Died);
    let crashers = history.calls.values().filter(|call| call.crasher.is_some());
    format!(
        "{ends:?}; {} attempts of crashing calls, {} deaths",
        crashers.count(),
        deaths.count()
    )
}

// Guards against broken rules in real processes under faults that overlap.
#[tokio::test(flavor = "multi_thread")]
async fn short_seeds_break_no_rule() {
    for seed in SEEDS {
        assert_eq!(play(seed).await, []);
    }
}

// The same over a range of seeds, by hand: without SOAK_SEEDS it plays none.
#[tokio::test(flavor = "multi_thread")]
async fn many_seeds() {
    let Ok(range) = env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, last) = range.split_once("..").expect("FIRST..LAST");
    let seeds = first.parse().unwrap()..=last.parse().unwrap();
    let mut failed = Vec::new();
    for seed in seeds {
        if !play(seed).await.is_empty() {
            failed.push(seed);
        }
    }
    assert_eq!(failed, [0_u64; 0], "seeds with broken rules");
}
