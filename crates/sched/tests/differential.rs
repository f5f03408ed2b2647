//! Compares `PeakPolicy` with a reference implementation on random event sequences.

mod driver;
mod naive;
mod support;

use driver::{Driver, run_steps};
use naive::NaivePolicy;
use proptest::prelude::*;
use sched::{CoordinationMode, PeakPolicy, PolicySettings, RoutePolicy};
use support::actions;
use yare::parameterized;

/// Guards against caches, indexes and incremental sums that give other results than a full scan.
#[parameterized(
    reports = { CoordinationMode::Reports },
    two_choices = { CoordinationMode::TwoChoices },
    probes = { CoordinationMode::Probes },
    digests = { CoordinationMode::Digests },
)]
fn same_events_give_same_actions(mode: CoordinationMode) {
    let names = || ("node-1".parse().unwrap(), "patan".parse().unwrap());
    run_steps(150, |steps| {
        let (node, domain) = names();
        let settings = PolicySettings::with_mode(mode);
        let mut fast = PeakPolicy::new(settings.clone(), node, domain, 11);
        let (node, domain) = names();
        let mut naive = NaivePolicy::new(settings, node, domain, 11);
        let mut driver = Driver::new();
        let list = driver.list.clone();
        fast.on_targets(driver.now, &list);
        naive.on_targets(driver.now, &list);
        for (at, step) in steps.into_iter().enumerate() {
            driver.apply(step, &mut [&mut fast, &mut naive]);
            let (found, expected) = (actions(&mut fast), actions(&mut naive));
            prop_assert_eq!(&found, &expected, "after step {} {:?}", at, step);
            driver.check_actions(&found)?;
        }
        Ok(())
    });
}
