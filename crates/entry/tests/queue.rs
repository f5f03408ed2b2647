//! The line of waiting calls and the share of second sends.

use base::{ClockTime, ServiceName, TimeSpan};
use entry::{RetryShare, WaitLine};
use proptest::prelude::*;

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

// Guards against plans that starve behind an endless stream of more urgent calls.
#[test]
fn a_call_that_waited_goes_before_more_urgent_ones() {
    let mut line = WaitLine::default();
    let plan = line.join(ClockTime::new(0), &service(), 2);
    let early = line.join(ClockTime::new(700), &service(), 0);
    line.join(ClockTime::new(900), &service(), 0);
    assert_eq!(line.head(&service()), Some(early));
    line.leave(early);
    assert_eq!(line.head(&service()), Some(plan));
    assert_eq!(line.count(&service()), 2);
}

// Guards against one service that waits for room and blocks another.
#[test]
fn services_wait_apart() {
    let other: ServiceName = "app".parse().unwrap();
    let mut line = WaitLine::default();
    line.join(ClockTime::new(0), &service(), 0);
    let quick = line.join(ClockTime::new(5), &other, 0);
    assert_eq!(line.head(&other), Some(quick));
    assert_eq!(line.services().len(), 2);
}

proptest! {
    // Guards against retry storms: all nodes together stay in the budget in every window.
    #[test]
    fn nodes_together_stay_in_the_budget(
        events in prop::collection::vec((0_u64..300, 0_usize..4, any::<bool>()), 1..400),
    ) {
        const RATIO: f64 = 0.2;
        const EXTRA: f64 = 12.0;
        let window = TimeSpan::from_secs(10);
        let mut shares = vec![RetryShare::new(RATIO, EXTRA, window); 4];
        let mut now = ClockTime::new(60_000);
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        for (pause, node, is_retry) in events {
            now += TimeSpan::new(pause);
            if !is_retry {
                shares[node].on_call(now, &service());
                calls.push(now);
            } else if shares[node].take(now, &service(), 4) {
                retries.push(now);
            }
        }
        for end in &retries {
            let inside = |at: &&ClockTime| **at <= *end && end.since(**at) < window;
            let used = retries.iter().filter(inside).count() as f64;
            // Calls count in the same window or the one before it.
            let recent = |at: &&ClockTime| **at <= *end && end.since(**at) < window * 2;
            let offered = calls.iter().filter(recent).count() as f64;
            prop_assert!(used <= RATIO * offered + EXTRA);
        }
    }
}

// Guards against a node that spends the whole fixed budget since it does not count its peers.
#[test]
fn the_fixed_budget_is_shared_by_nodes() {
    let now = ClockTime::new(60_000);
    let mut share = RetryShare::new(0.2, 50.0, TimeSpan::from_secs(10));
    let taken = (0..100).filter(|_| share.take(now, &service(), 10)).count();
    assert_eq!(taken, 4);
    let later = now + TimeSpan::from_secs(11);
    assert!(share.take(later, &service(), 10));
}
