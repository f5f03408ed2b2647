//! Calls of an uncancellable service, which continue after their callers stop waiting.

use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller, DemoFleet};
use hyper::Method;
use tokio::time::{Instant, sleep};

/// Longest wait for a run to finish.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends an order that takes two seconds.
async fn send_slow_order(fleet: &DemoFleet, mark: &str, headers: &[(&str, &str)]) -> CallResponse {
    let caller = DemoCaller::new(fleet.key());
    let headers = [&[("x-delay-ms", "2000")], headers].concat();
    let path = "/svc/orders/orders";
    let body = mark.to_owned().into_bytes();
    let address = fleet.nodes[0].callers;
    caller
        .call(address, Method::POST, path, &headers, body.into())
        .await
}

/// Waits until the only run of an order has finished.
async fn assert_runs_once_to_its_end(fleet: &DemoFleet, mark: &str) {
    let start = Instant::now();
    loop {
        let runs = fleet.app.runs();
        let runs: Vec<_> = runs.iter().filter(|run| run.mark == mark).collect();
        assert!(runs.len() <= 1, "{runs:?}");
        if runs.iter().any(|run| run.finished) {
            return;
        }
        assert!(
            start.elapsed() < RUN_TIMEOUT,
            "the run did not finish: {runs:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a run that is aborted at the deadline of its caller although it is uncancellable.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_continues_after_the_deadline_of_its_caller() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let answer = send_slow_order(&fleet, "late order", &[("x-request-timeout-ms", "300")]).await;
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.run_state(), "unknown");
    assert_runs_once_to_its_end(&fleet, "late order").await;
    fleet.stop().await;
}

/// Guards against a run that is aborted when its caller closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_continues_after_its_caller_disconnects() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let call = tokio::time::timeout(
        Duration::from_millis(500),
        send_slow_order(&fleet, "left order", &[]),
    );
    assert!(
        call.await.is_err(),
        "the caller disconnects before the answer"
    );
    assert_runs_once_to_its_end(&fleet, "left order").await;
    fleet.stop().await;
}

/// Guards against a caller that waits beyond its own deadline for a run that another caller's request
/// with the same key started.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_joined_caller_keeps_its_own_deadline() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let caller = DemoCaller::new(fleet.key());
    let ticket = caller
        .ticket(fleet.nodes[0].callers)
        .await
        .expect("a ticket");
    let key = ("idempotency-key", ticket.as_str());
    let first_headers = [key];
    let first = send_slow_order(&fleet, "joined order", &first_headers);
    let second = async {
        sleep(Duration::from_millis(300)).await;
        send_slow_order(
            &fleet,
            "joined order",
            &[key, ("x-request-timeout-ms", "200")],
        )
        .await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 504, "{second:?}");
    assert_eq!(second.run_state(), "unknown");
    assert_eq!(fleet.count_runs("joined order"), 1);
    fleet.stop().await;
}
