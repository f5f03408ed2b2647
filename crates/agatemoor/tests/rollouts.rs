//! Rollouts of model versions on real nodes and stand-in engines.

use std::time::Duration;

use agatemoor::{DemoCaller, DemoFleet};
use orders::RolloutState;
use tokio::time::{sleep, timeout};

/// Longest wait for a state of the fleet.
const STATE_TIMEOUT: Duration = Duration::from_secs(100);

/// Waits until a rollout is halted and asserts that the fleet has not converged then.
async fn wait_until_halted(fleet: &DemoFleet) {
    loop {
        let report = fleet.convergence().await.expect("the nodes report");
        let is_halted = |state: &RolloutState| matches!(state, RolloutState::Halted { .. });
        if report.rollouts.iter().any(|row| is_halted(&row.state)) {
            assert!(!report.converged());
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a rollout that continues although its version fails on the first targets, and
/// against a rollout that stays halted after a new revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_version_halts_until_a_new_revision_replaces_it() {
    let mut fleet = DemoFleet::start().await.expect("the fleet starts");
    let caller = DemoCaller::new(fleet.key());
    fleet.publish_version(9);
    let outcome = timeout(STATE_TIMEOUT, wait_until_halted(&fleet)).await;
    outcome.expect("the rollout halts");
    let node = fleet.nodes[0].callers;
    let answer = caller
        .generate(node, "quill", "halted", 3, false, &[])
        .await;
    assert!(answer.is_complete(3), "{answer:?}");
    fleet.publish_version(3);
    fleet
        .wait_converged(STATE_TIMEOUT)
        .await
        .expect("the fleet converges");
    fleet.stop().await;
}
