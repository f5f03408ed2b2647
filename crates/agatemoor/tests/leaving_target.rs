//! Targets that the platform lists as leaving.

use std::time::Duration;

use agatemoor::{DemoCaller, DemoFleet};
use hyper::Method;
use node::{StatusPage, TargetPhase};
use standin::ListedVm;
use tokio::time::{sleep, timeout};

/// Longest wait until every node of the domain knows that the target is leaving.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls that are sent after every node of the domain knows it.
const CALLS: usize = 12;

/// Reads the phase of a target from the status page of a node.
async fn target_phase(fleet: &DemoFleet, node: usize, target: &str) -> Option<TargetPhase> {
    let caller = DemoCaller::new(fleet.key());
    let (method, path) = (Method::GET, "/ops/status");
    let address = fleet.nodes[node].operators;
    let answer = caller
        .call(address, method, path, &[], Default::default())
        .await;
    let page: StatusPage = serde_json::from_slice(&answer.body).ok()?;
    let mut targets = page.targets.into_iter();
    Some(targets.find(|entry| entry.target.as_str() == target)?.phase)
}

/// Guards against new requests to a target whose VM the platform is about to remove, while the target
/// itself does not know it yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_target_that_the_platform_lists_as_leaving_gets_no_new_requests() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let leaving = "thapathali-e2";
    fleet.platform.put_vm(ListedVm {
        service: "agatemoor-target".into(),
        name: leaving.into(),
        domain: "thapathali".into(),
        address: "127.0.0.1:1".into(),
        leaving: true,
    });
    let known = async {
        for node in [0, 1] {
            while target_phase(&fleet, node, leaving).await != Some(TargetPhase::Leaving) {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    timeout(UPDATE_TIMEOUT, known)
        .await
        .expect("every node of the domain learns that the target is leaving");
    let engine = fleet
        .engines
        .iter()
        .find(|engine| engine.name.as_str() == leaving);
    let engine = engine.expect("the engine exists");
    let before = engine.handle.runs().len();
    let caller = DemoCaller::new(fleet.key());
    for call in 0..CALLS {
        let node = fleet.nodes[call % 2].callers;
        let mark = format!("after the update {call}");
        let answer = caller.generate(node, "quill", &mark, 3, false, &[]).await;
        assert!(answer.is_complete(3), "{call}: {answer:?}");
    }
    assert_eq!(engine.handle.runs().len(), before);
    fleet.stop().await;
}
