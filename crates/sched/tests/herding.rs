//! Herding: nodes that share targets and have the same late load reports.

mod support;

use sched::{CoordinationMode, PeakPolicy, PolicySettings, RoutePolicy, SchedAction};
use support::*;
use yare::parameterized;

const TARGETS: usize = 12;
const ROUNDS: u64 = 10;

/// Lets each node send one request a round, all with the same reports that show the first target
/// empty and the others half full. Returns the share of requests that went to the first target.
fn share_of_first(mode: CoordinationMode, nodes: usize) -> f64 {
    let domain: base::DomainName = "patan".parse().unwrap();
    let new_policy = |number: usize| {
        let node = format!("node-{number}").parse().unwrap();
        let settings = PolicySettings::with_mode(mode);
        let mut policy = PeakPolicy::new(settings, node, domain.clone(), number as u64);
        policy.on_targets(at(0), &targets(TARGETS));
        for number in 0..TARGETS {
            let mut report = report(number, at(0), if number == 0 { 0 } else { 4_000 });
            report.total_pages = 9_375;
            policy.on_report(at(0), report);
        }
        policy
    };
    let mut policies: Vec<_> = (0..nodes).map(new_policy).collect();
    let names = candidates(TARGETS);
    let mut first = 0;
    for round in 0..ROUNDS {
        let now = at(1_000 + round * 1_000);
        let mut digests = Vec::new();
        for (number, policy) in policies.iter_mut().enumerate() {
            let mut item = item(now, round * 100 + number as u64, &names);
            item.prompt_tokens = base::TokenCount(2_000);
            policy.submit(now, item);
            policy.on_tick(now);
            let found = actions(policy);
            first += dispatched(&found)
                .iter()
                .filter(|(_, name)| *name == target(0))
                .count();
            digests.extend(found.into_iter().filter_map(|action| match action {
                SchedAction::Publish(digest) => Some(digest),
                _ => None,
            }));
        }
        for policy in &mut policies {
            let fresh = digests.iter().cloned();
            fresh.for_each(|digest| policy.on_digest(now, digest));
        }
    }
    first as f64 / (nodes as u64 * ROUNDS) as f64
}

/// Guards against nodes that all dispatch to the target that was empty in the latest reports.
#[parameterized(
    reports_8 = { CoordinationMode::Reports, 8, 0.35, 1.0 },
    reports_26 = { CoordinationMode::Reports, 26, 0.35, 1.0 },
    two_choices_8 = { CoordinationMode::TwoChoices, 8, 0.0, 0.25 },
    two_choices_26 = { CoordinationMode::TwoChoices, 26, 0.0, 0.25 },
    digests_8 = { CoordinationMode::Digests, 8, 0.0, 0.35 },
    digests_26 = { CoordinationMode::Digests, 26, 0.0, 0.25 },
)]
fn herding_is_measured_and_bounded(mode: CoordinationMode, nodes: usize, least: f64, most: f64) {
    let share = share_of_first(mode, nodes);
    println!("{mode} with {nodes} nodes: {share:.2} of the requests at the emptiest target");
    assert!((least..=most).contains(&share), "{share}");
}
