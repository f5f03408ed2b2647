//! Guards the guarantees P1 to P5 and the limit on retries in whole simulated runs under faults.

mod fake;

use std::collections::BTreeSet;

use calls::{HistoryChecker, Violation, ViolationKind};
use fake::{FaultKind, GuardSwitches, KeyScheme, Simulation, SimulationConfig, SimulationReport};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

/// Retries that the budgets allow apart from load: each of the six nodes starts with one and earns
/// one in 10 s, and a restarted node starts anew with one.
fn extra_retries(report: &SimulationReport) -> u64 {
    6 + u64::from(report.restarts) + 6 * (report.virtual_ms / 10_000 + 1)
}

fn run(config: SimulationConfig) -> (SimulationReport, Vec<Violation>) {
    let requests = config.requests;
    let report = Simulation::new(config).run();
    let ended = report.answered + report.refused + report.unknown + report.silent;
    assert_eq!(ended, requests, "every request ends");
    let violations = HistoryChecker::new(extra_retries(&report)).check(&report.history);
    (report, violations)
}

fn kinds(violations: &[Violation]) -> BTreeSet<ViolationKind> {
    violations.iter().map(|violation| violation.kind).collect()
}

/// Guards all guarantees under one kind of fault at a time.
#[parameterized(
    kill_node = { FaultKind::KillNode },
    pause_node = { FaultKind::PauseNode },
    stop_node = { FaultKind::StopNode },
    cut_domains = { FaultKind::CutDomains },
    silent_one_way = { FaultKind::SilentOneWay },
    silent_both = { FaultKind::SilentBoth },
    crash_request = { FaultKind::CrashRequest },
    reclaim_engine = { FaultKind::ReclaimEngine },
    kill_engine = { FaultKind::KillEngine },
    caller_resends = { FaultKind::CallerResends },
)]
fn no_violation_under_one_fault(fault: FaultKind) {
    let (report, violations) = run(SimulationConfig::new(11, 2_000, &[fault]));
    assert_eq!(violations, []);
    assert!(report.faults > 0, "the fault was injected");
    assert!(report.answered > 1_200, "most requests are answered");
}

/// Guards against violations that only two kinds of fault together cause.
#[test]
fn no_violation_under_pairs_of_faults() {
    let seed = 4_242;
    println!("seed {seed}");
    let mut random = Pcg64::seed_from_u64(seed);
    for _ in 0..12 {
        let pair = [0, 1].map(|_| FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())]);
        let seed = random.random();
        let (report, violations) = run(SimulationConfig::new(seed, 1_000, &pair));
        assert_eq!(violations, [], "{pair:?} with seed {seed}");
        println!("{pair:?} seed {seed}: {} answered", report.answered);
    }
}

/// Guards all guarantees in one long run with every kind of fault.
#[test]
fn no_violation_under_all_faults() {
    let (report, violations) = run(SimulationConfig::new(7, 12_000, &FaultKind::ALL));
    assert_eq!(violations, []);
    assert!(report.faults > 100);
    assert!(report.resumed > 0, "callers continued streams elsewhere");
    assert!(report.replayed > 0, "resends got retained answers");
    assert!(report.crash_refusals > 0, "crashing requests were refused");
}

/// Guards against a simulation that hides faults because its runs vary: the same seed must give the
/// same history.
#[test]
fn same_seed_gives_the_same_history() {
    let config = SimulationConfig::new(3, 500, &FaultKind::ALL);
    let first = Simulation::new(config.clone()).run();
    let second = Simulation::new(config).run();
    assert_eq!(first.history.callers, second.history.callers);
    assert_eq!(first.history.targets, second.history.targets);
}

/// Guards the limit of two dead targets for a request that crashes every target that runs it.
#[test]
fn crashing_request_kills_at_most_two_targets() {
    let (report, violations) = run(SimulationConfig::new(5, 6_000, &[FaultKind::CrashRequest]));
    assert_eq!(violations, []);
    assert!(report.crash_deaths.len() >= 5);
    let most = report.crash_deaths.iter().max().copied();
    assert_eq!(most, Some(2), "{:?}", report.crash_deaths);
}

/// Guards the tests above against passing without testing a mechanism: each mechanism is switched
/// off in turn, and the checker must then find the guarantee violated.
#[parameterized(
    p1_offsets = {
        |s: &mut GuardSwitches| s.check_offsets = false, FaultKind::SilentOneWay, ViolationKind::TokenOrder
    },
    p2_end = {
        |s: &mut GuardSwitches| s.check_end = false, FaultKind::KillEngine, ViolationKind::PartialAnswer
    },
    p3_first_byte = {
        |s: &mut GuardSwitches| s.record_first_byte = false, FaultKind::KillEngine, ViolationKind::ToldNotRun
    },
    p4_owner = {
        |s: &mut GuardSwitches| s.bind_owner = false, FaultKind::CallerResends, ViolationKind::RanTwice
    },
    p4_retry_after_sent = {
        |s: &mut GuardSwitches| s.respect_repeatable = false, FaultKind::KillEngine, ViolationKind::RanTwice
    },
    p5_leaving = {
        |s: &mut GuardSwitches| s.avoid_leaving = false, FaultKind::ReclaimEngine,
        ViolationKind::WorkAfterLeaving
    },
    retry_budget = {
        |s: &mut GuardSwitches| s.limit_retries = false, FaultKind::SilentBoth, ViolationKind::RetryLoad
    },
)]
fn violation_without_the_mechanism(
    switch_off: fn(&mut GuardSwitches),
    fault: FaultKind,
    kind: ViolationKind,
) {
    let mut config = SimulationConfig::new(5, 4_000, &[fault]);
    if kind == ViolationKind::RetryLoad {
        // Unlimited retries add 10% only if links fail far more often.
        config.fault_period_ms = 50;
    }
    let (_, violations) = run(config.clone());
    assert_eq!(violations, [], "with the mechanism");
    switch_off(&mut config.switches);
    let (_, violations) = run(config);
    assert!(
        kinds(&violations).contains(&kind),
        "without it: {:?}",
        kinds(&violations)
    );
}

/// Guards each scheme of recognising resends on its own, under faults of nodes.
#[parameterized(
    tickets = { KeyScheme::Ticket },
    keys = { KeyScheme::Key },
    neither = { KeyScheme::Neither },
)]
fn no_violation_with_one_scheme(scheme: KeyScheme) {
    let nodes = [
        FaultKind::KillNode,
        FaultKind::PauseNode,
        FaultKind::StopNode,
        FaultKind::CutDomains,
        FaultKind::CallerResends,
    ];
    let mut config = SimulationConfig::new(31, 4_000, &nodes);
    config.scheme = scheme;
    let (_, violations) = run(config);
    assert_eq!(violations, []);
}
