//! Calls whose work goes on after their callers stopped waiting.

use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller, DemoFleet};
use hyper::Method;
use tokio::time::{Instant, sleep};

/// Longest wait for the work to end.
const WORK_LIMIT: Duration = Duration::from_secs(30);

async fn slow_order(fleet: &DemoFleet, mark: &str, headers: &[(&str, &str)]) -> CallResponse {
    let caller = DemoCaller::new(fleet.key());
    let headers = [&[("x-delay-ms", "2000")], headers].concat();
    let path = "/svc/orders/orders";
    let body = mark.to_owned().into_bytes();
    let address = fleet.nodes[0].callers;
    caller
        .call(address, Method::POST, path, &headers, body.into())
        .await
}

async fn assert_finishes(fleet: &DemoFleet, mark: &str) {
    let start = Instant::now();
    loop {
        let runs = fleet.app.runs();
        let runs: Vec<_> = runs.iter().filter(|run| run.mark == mark).collect();
        assert!(runs.len() <= 1, "{runs:?}");
        if runs.iter().any(|run| run.finished) {
            return;
        }
        assert!(
            start.elapsed() < WORK_LIMIT,
            "the work was cut off: {runs:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against work that is cut off at the deadline of its caller although it must not be.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_goes_on_after_the_deadline_of_its_caller() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let answer = slow_order(&fleet, "late order", &[("x-request-timeout-ms", "300")]).await;
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.run_state(), "unknown");
    assert_finishes(&fleet, "late order").await;
    fleet.stop().await;
}

/// Guards against work that is cut off when its caller closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_goes_on_after_its_caller_went_away() {
    let fleet = DemoFleet::start().await.expect("the fleet starts");
    let call = tokio::time::timeout(
        Duration::from_millis(500),
        slow_order(&fleet, "left order", &[]),
    );
    assert!(
        call.await.is_err(),
        "the caller goes away before the answer"
    );
    assert_finishes(&fleet, "left order").await;
    fleet.stop().await;
}

/// Guards against a caller that waits past its deadline for the answer of another one's run.
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
    let first = slow_order(&fleet, "joined order", &first_headers);
    let second = async {
        sleep(Duration::from_millis(300)).await;
        slow_order(
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
