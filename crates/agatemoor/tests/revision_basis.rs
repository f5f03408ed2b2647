//! What the accepted revision of a node rests on.

use std::time::Duration;

use agatemoor::{DemoCaller, DemoFleet};
use hyper::Method;
use node::StatusPage;
use tokio::time::{sleep, timeout};

/// Time after which peers that do not tell their revision count as out of reach, and some more.
const SILENCE: Duration = Duration::from_secs(7);
/// Longest wait for every node to be confirmed.
const STATE_LIMIT: Duration = Duration::from_secs(30);

async fn basis_at(fleet: &DemoFleet, node: usize) -> String {
    let caller = DemoCaller::new(fleet.key());
    let (method, path) = (Method::GET, "/ops/status");
    let address = fleet.nodes[node].operators;
    let answer = caller
        .call(address, method, path, &[], Default::default())
        .await;
    let page: Option<StatusPage> = serde_json::from_slice(&answer.body).ok();
    page.map_or_else(String::new, |page| page.revision.basis)
}

/// Guards against nodes that take their peers for silent although they are in reach, and would
/// call themselves isolated once the platform is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_in_reach_confirm_their_revision_to_one_another() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    sleep(SILENCE).await;
    let confirmed = async {
        for node in 0..fleet.nodes.len() {
            while basis_at(&fleet, node).await != "confirmed" {
                sleep(Duration::from_millis(100)).await;
            }
        }
    };
    timeout(STATE_LIMIT, confirmed)
        .await
        .expect("every node is confirmed");
    fleet.stop().await;
}
