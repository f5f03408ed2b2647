//! Rollouts over real nodes and stand-in engines.

use std::time::Duration;

use agatemoor::{DemoCaller, DemoFleet};
use orders::RolloutState;
use tokio::time::{sleep, timeout};

/// Longest wait for a state of the fleet.
const STATE_LIMIT: Duration = Duration::from_secs(100);

async fn wait_halted(fleet: &DemoFleet) {
    loop {
        let report = fleet.convergence().await.expect("the nodes report");
        let halted = |state: &RolloutState| matches!(state, RolloutState::Halted { .. });
        if report.rollouts.iter().any(|row| halted(&row.state)) {
            assert!(!report.converged());
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a version that fails on its first targets and is rolled out all the same, and
/// against a fleet that stays halted after a new revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_version_halts_and_a_new_revision_puts_it_right() {
    let mut fleet = DemoFleet::start().await.expect("the fleet starts");
    let caller = DemoCaller::new(fleet.key());
    fleet.publish_version(9);
    let halted = timeout(STATE_LIMIT, wait_halted(&fleet)).await;
    halted.expect("the rollout halts");
    let node = fleet.nodes[0].callers;
    let answer = caller
        .generate(node, "quill", "halted", 3, false, &[])
        .await;
    assert!(answer.is_complete(3), "{answer:?}");
    fleet.publish_version(3);
    fleet
        .wait_converged(STATE_LIMIT)
        .await
        .expect("the fleet converges");
    fleet.stop().await;
}
