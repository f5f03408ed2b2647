//! Orders with tickets or idempotency keys, sent to nodes whose failure domain can't serve them.

use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller, DemoFleet};
use hyper::Method;
use tokio::time::{Instant, sleep};

/// Longest wait until the home of a key has run long enough to accept the key.
const KEY_HOME_TIMEOUT: Duration = Duration::from_secs(40);

/// Sends an order with an idempotency key to a node.
async fn send_order(fleet: &DemoFleet, node: usize, mark: &str, key: &str) -> CallResponse {
    let caller = DemoCaller::new(fleet.key());
    let headers = [("idempotency-key", key)];
    let address = fleet.nodes[node].callers;
    let path = "/svc/orders/orders";
    let body = mark.to_owned().into_bytes();
    caller
        .call(address, Method::POST, path, &headers, body.into())
        .await
}

/// Guards against `no_target` for every order with a ticket of a node whose failure domain has no
/// instance of the service; such orders always got it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_of_a_domain_without_the_service_is_served_by_another_domain() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let caller = DemoCaller::new(fleet.key());
    // The only instance of the service is in the domain of the first two nodes.
    let ticket = caller
        .ticket(fleet.nodes[2].callers)
        .await
        .expect("a ticket");
    let first = send_order(&fleet, 2, "far order", &ticket).await;
    assert_eq!(first.status, 200, "{first:?}");
    let again = send_order(&fleet, 1, "far order", &ticket).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.body, first.body);
    assert_eq!(fleet.count_runs("far order"), 1);
    fleet.stop().await;
}

/// Guards against an order with a key chosen by the caller that runs twice when it is sent to several
/// nodes, or never.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_with_a_key_of_the_caller_runs_once_at_all_nodes() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let start = Instant::now();
    // Key homes that have just started refuse keys, without running the order.
    let mut number = 0;
    let (mark, key) = loop {
        number += 1;
        let (mark, key) = (format!("own key {number}"), format!("key-{number}"));
        let answer = send_order(&fleet, 0, &mark, &key).await;
        if answer.status == 200 {
            break (mark, key);
        }
        assert_eq!(answer.run_state(), "unknown", "{answer:?}");
        assert_eq!(fleet.count_runs(&mark), 0);
        assert!(start.elapsed() < KEY_HOME_TIMEOUT, "{answer:?}");
        sleep(Duration::from_millis(500)).await;
    };
    for node in 0..fleet.nodes.len() {
        let again = send_order(&fleet, node, &mark, &key).await;
        assert_eq!(again.status, 200, "{node}: {again:?}");
    }
    assert_eq!(fleet.count_runs(&mark), 1);
    fleet.stop().await;
}
