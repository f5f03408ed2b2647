//! The basis of a node's accepted revision, such as its confirmation by peers.

use std::time::Duration;

use agatemoor::{DemoCaller, DemoFleet};
use hyper::Method;
use node::StatusPage;
use tokio::time::{sleep, timeout};

/// Longer than the time after which peers that do not report their revision count as unreachable.
const SILENCE_DURATION: Duration = Duration::from_secs(7);
/// Longest wait for every node to be confirmed.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the basis of a node's revision from its status page; empty if the node does not answer.
async fn revision_basis(fleet: &DemoFleet, node: usize) -> String {
    let caller = DemoCaller::new(fleet.key());
    let (method, path) = (Method::GET, "/ops/status");
    let address = fleet.nodes[node].operators;
    let answer = caller
        .call(address, method, path, &[], Default::default())
        .await;
    let page: Option<StatusPage> = serde_json::from_slice(&answer.body).ok();
    page.map_or_else(String::new, |page| page.revision.basis)
}

/// Guards against nodes that treat reachable peers as silent and would count themselves as isolated
/// once the platform is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reachable_nodes_confirm_their_revision_to_one_another() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    sleep(SILENCE_DURATION).await;
    let confirmed = async {
        for node in 0..fleet.nodes.len() {
            while revision_basis(&fleet, node).await != "confirmed" {
                sleep(Duration::from_millis(100)).await;
            }
        }
    };
    timeout(STATE_TIMEOUT, confirmed)
        .await
        .expect("every node is confirmed");
    fleet.stop().await;
}
