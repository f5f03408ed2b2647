//! Promises of the policy on random event sequences.

mod driver;
mod support;

use driver::{Driver, Place, run_steps};
use proptest::prelude::*;
use sched::{CoordinationMode, PeakPolicy, PolicySettings, RoutePolicy};
use support::*;

fn new_policy(driver: &Driver, mode: CoordinationMode) -> PeakPolicy {
    let names = ("node-1".parse().unwrap(), "patan".parse().unwrap());
    let mut policy = PeakPolicy::new(PolicySettings::with_mode(mode), names.0, names.1, 3);
    policy.on_targets(driver.now, &driver.list);
    policy
}

/// Guards against requests that leave twice or never, go to a target that is excluded, unusable
/// or no candidate, and against more streams or waiting requests than a workspace may have.
#[test]
fn every_request_leaves_once_within_limits() {
    run_steps(150, |steps| {
        let mut driver = Driver::new();
        let mut policy = new_policy(&driver, CoordinationMode::Probes);
        for step in steps {
            driver.apply(step, &mut [&mut policy]);
            driver.follow(&actions(&mut policy))?;
            prop_assert_eq!(policy.waiting_count(), driver.waiting());
            let running = driver.places.values();
            let running = running.filter(|place| matches!(place, Place::Running(..)));
            prop_assert!(running.count() <= 3 * 25);
        }
        let end = at(driver.now.as_millis() + 200_000);
        driver.now = end;
        policy.on_tick(end);
        driver.follow(&actions(&mut policy))?;
        prop_assert_eq!(policy.waiting_count(), 0);
        let left = driver.places.len() + driver.ended.len();
        prop_assert_eq!(left as u64, driver.submitted);
        Ok(())
    });
}

/// Guards against prompts and tokens of own streams that exceed the memory of a target.
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

/// Guards against a workspace that waits for more than its share while another one floods.
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
                policy.on_finished(at(30), &first, sched::FinishState::Cancelled);
                running.extend(dispatched(&actions(&mut policy)));
                ends += 1;
                prop_assert!(ends <= 4, "{} ends before request {}", ends, number);
            }
        }
        Ok(())
    });
}

/// Guards against a check of actions that lets forbidden ones pass.
#[test]
fn forbidden_actions_are_found() {
    let dispatch = |number: u64, name: usize| sched::SchedAction::Dispatch {
        request: request(number),
        target: target(name),
        priority: sched::WorkPriority(0),
    };
    let mut driver = Driver::new();
    let mut policy = new_policy(&driver, CoordinationMode::Probes);
    driver.apply((0, 1, 1, 0), &mut [&mut policy]);
    assert!(driver.follow(&[dispatch(0, 0)]).is_err(), "no candidate");
    assert!(driver.follow(&[dispatch(9, 1)]).is_err(), "unknown request");
    assert!(driver.follow(&[dispatch(0, 1)]).is_ok());
    assert!(driver.follow(&[dispatch(0, 1)]).is_err(), "left twice");
}
