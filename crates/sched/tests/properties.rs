//! Invariants of the policy on random event sequences.

mod driver;
mod support;

use driver::{Driver, RequestPhase, run_steps};
use proptest::prelude::*;
use sched::{CoordinationMode, PeakPolicy, PolicySettings, RoutePolicy};
use support::*;

fn new_policy(driver: &Driver, mode: CoordinationMode) -> PeakPolicy {
    let names = ("node-1".parse().unwrap(), "patan".parse().unwrap());
    let mut policy = PeakPolicy::new(PolicySettings::with_mode(mode), names.0, names.1, 3);
    policy.on_targets(driver.now, &driver.list);
    policy
}

/// Guards against requests that are answered twice or never or are dispatched to a target that is
/// excluded, unusable or no candidate, and against a workspace that exceeds its limits of streams or
/// waiting requests.
#[test]
fn every_request_is_answered_once_within_limits() {
    run_steps(150, |steps| {
        let mut driver = Driver::new();
        let mut policy = new_policy(&driver, CoordinationMode::Probes);
        for step in steps {
            driver.apply(step, &mut [&mut policy]);
            driver.check_actions(&actions(&mut policy))?;
            prop_assert_eq!(policy.waiting_count(), driver.waiting_count());
            let running = driver.open_requests.values();
            let running = running.filter(|phase| matches!(phase, RequestPhase::Running(..)));
            prop_assert!(running.count() <= 3 * 25);
        }
        let end = at(driver.now.as_millis() + 200_000);
        driver.now = end;
        policy.on_tick(end);
        driver.check_actions(&actions(&mut policy))?;
        prop_assert_eq!(policy.waiting_count(), 0);
        let left = driver.open_requests.len() + driver.ended_requests.len();
        prop_assert_eq!(left as u64, driver.submitted);
        Ok(())
    });
}

/// Guards against prompts of own streams that together exceed the memory of a target.
#[test]
fn own_streams_stay_within_memory() {
    run_steps(100, |steps| {
        let mut policy = policy(PolicySettings::default(), 2);
        let names = candidates(2);
        let mut held = [0_u64; 2];
        for (number, (_, first, second, _)) in steps.into_iter().enumerate() {
            let mut item = item(at(10), number as u64, &names);
            item.prompt_tokens = base::TokenCount(16 + first % 3_000);
            item.max_tokens = Some(base::TokenCount(1 + second % 1_000));
            let prompt = u64::from(item.prompt_tokens.0);
            policy.submit(at(10), item);
            for (_, name) in dispatched(&actions(&mut policy)) {
                let slot = usize::from(name == target(1));
                held[slot] += prompt;
                prop_assert!(held[slot] <= 16_000, "{:?}", held);
            }
        }
        Ok(())
    });
}

/// Guards against a workspace that waits longer than its fair share while another one floods the
/// queue.
#[test]
fn flood_delays_others_within_a_bound() {
    run_steps(40, |steps| {
        let mut policy = policy(PolicySettings::default(), 1);
        let names = candidates(1);
        for number in 0..400 {
            policy.submit(at(10), item(at(10), number, &names));
        }
        let mut running = dispatched(&actions(&mut policy));
        for (number, (_, _, second, _)) in steps.into_iter().take(20).enumerate() {
            let mut other = item(at(20), 900 + number as u64, &names);
            other.workspace = "w1".parse().unwrap();
            policy.submit(at(20), other);
            let mut ends = 0;
            let wanted = request(900 + number as u64);
            while !running.iter().any(|(name, _)| *name == wanted) {
                let (first, _) = running.remove(second as usize % running.len());
                policy.on_finished(at(30), &first, sched::DispatchOutcome::Cancelled);
                running.extend(dispatched(&actions(&mut policy)));
                ends += 1;
                prop_assert!(ends <= 4, "{} ends before request {}", ends, number);
            }
        }
        Ok(())
    });
}

/// Guards against a driver that does not detect actions that `RoutePolicy` does not allow.
#[test]
fn forbidden_actions_are_detected() {
    let dispatch = |number: u64, name: usize| sched::SchedAction::Dispatch {
        request: request(number),
        target: target(name),
        priority: sched::RequestPriority(0),
    };
    let mut driver = Driver::new();
    let mut policy = new_policy(&driver, CoordinationMode::Probes);
    driver.apply((0, 1, 1, 0), &mut [&mut policy]);
    assert!(
        driver.check_actions(&[dispatch(0, 0)]).is_err(),
        "no candidate"
    );
    assert!(
        driver.check_actions(&[dispatch(9, 1)]).is_err(),
        "unknown request"
    );
    assert!(driver.check_actions(&[dispatch(0, 1)]).is_ok());
    assert!(
        driver.check_actions(&[dispatch(0, 1)]).is_err(),
        "answered twice"
    );
}
