//! End-to-end tests of separate processes, without faults.

#[allow(dead_code)]
mod common;

use bytes::Bytes;
use common::{FleetPlan, ProcessFleet};
use hyper::Method;

/// Guards against nodes that serve callers only if all of them run in one process.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_serves_every_kind_of_call() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    for node in 0..fleet.nodes.len() {
        let streamed = fleet.generate(node, "streamed", 30, true).await;
        assert!(streamed.is_complete(30), "node {node}: {streamed:?}");
        let whole = fleet.generate(node, "whole", 30, false).await;
        assert!(whole.is_complete(30), "node {node}: {whole:?}");
        let models = fleet
            .send_request(node, Method::GET, "/v1/models", &[], "")
            .await;
        assert_eq!(models.status, 200);
        assert_eq!(models.json()["data"][0]["id"], "quill", "{models:?}");
        let mark = format!("order through node {node}");
        let order = fleet.send_order(node, &mark, &[]).await;
        assert_eq!(order.status, 200, "{order:?}");
        assert_eq!(fleet.count_order_runs(&mark).await, 1);
    }
}

/// Guards against a second run of an order that is sent again through another node.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_sent_to_all_nodes_with_one_ticket_runs_once() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let ticket = fleet.caller.ticket(fleet.nodes[0].caller_address).await;
    let ticket = ticket.expect("a ticket");
    let headers = [("idempotency-key", ticket.as_str()), ("x-delay-ms", "500")];
    let mark = "order by ticket";
    // Each node of both domains gets the order, three of them while the first attempt may still run.
    let (first, second, third) = tokio::join!(
        fleet.send_order(0, mark, &headers),
        fleet.send_order(1, mark, &headers),
        fleet.send_order(2, mark, &headers),
    );
    let fourth = fleet.send_order(3, mark, &headers).await;
    for answer in [&first, &second, &third, &fourth] {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, first.body);
    }
    assert_eq!(fleet.count_order_runs(mark).await, 1);
}

/// Guards against a planned stop that cuts a stream off or gives an exit code for a failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_the_end_of_a_stream() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let call = fleet.generate(1, "stopped", 150, true);
    let stop = async {
        common::wait_until("the generation runs", async || {
            fleet.count_generation_runs("stopped").await == 1
        })
        .await;
        fleet.nodes[1].process.send_signal("TERM");
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert!(answer.is_complete(150), "{answer:?}");
    assert_eq!(fleet.nodes[1].process.wait_for_exit(), Some(0));
    assert_eq!(fleet.count_generation_runs("stopped").await, 1);
}

/// Guards against operator pages that are missing or empty.
#[tokio::test(flavor = "multi_thread")]
async fn operators_get_status_events_and_metrics() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    for node in 0..fleet.nodes.len() {
        let status = fleet.get_operator_page(node, "/ops/status").await;
        assert_eq!(status.json()["ready"], true, "{status:?}");
        assert_eq!(status.json()["node"], fleet.nodes[node].name.as_str());
        let events = fleet.get_operator_page(node, "/ops/events").await.json();
        let events = events["events"].as_array().cloned().unwrap_or_default();
        assert!(!events.is_empty());
        let metrics = fleet.get_operator_page(node, "/ops/metrics").await;
        assert_eq!(metrics.status, 200);
        assert!(!metrics.body.is_empty(), "{metrics:?}");
    }
    let address = fleet.nodes[0].operator_address;
    let answer = fleet
        .caller
        .call(address, Method::POST, "/ops/status", &[], Bytes::new())
        .await;
    assert_eq!(answer.status, 405);
}
