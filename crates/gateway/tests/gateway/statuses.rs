//! Responses of targets whose status line is none, or whose status fits no response to a call.

use http::StatusCode;

use crate::support::{TargetMode, call, start_setup, until};

/// Status lines without their version that are no answer to a call.
const BAD_STATUSES: [&str; 19] = [
    "000 Nothing",
    "001 Nothing",
    "099 Nothing",
    "0 Nothing",
    "20 Short",
    "2000 Long",
    "600 Beyond",
    "999 Beyond",
    "2x0 Letters",
    "abc Letters",
    "-20 Sign",
    "+200 Sign",
    " 200 Blank",
    "",
    "100 Interim with a body",
    "101 Switching",
    "199 Interim with a body",
    "204 Empty with a body",
    "700",
];

// Guards against a caller that takes bytes that are no answer for the answer of its target, and against a
// second run of a call that may have run.
#[tokio::test]
async fn a_status_that_is_none_reaches_no_caller() {
    for status in BAD_STATUSES {
        for (service, path) in [("app", "/once/1"), ("pool", "/stream/1")] {
            let modes = [TargetMode::Status(status), TargetMode::Status(status)];
            let (_store, targets, gateway) = start_setup(service, &modes).await;
            let headers = "x-id: a1\r\nx-size: 10\r\n";
            let answer = call(gateway.callers, path, headers, "").await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status:?} {path}");
            assert!(!answer.text.contains("hello"), "{status:?} {path}");
            let runs: usize = targets.iter().map(|target| target.calls().len()).sum();
            assert_eq!(runs, 1, "{status:?} {path}");
        }
    }
}

// Guards against a sound call that fails, or gets the rest of such an answer, since the connection is used again
// or the target counts as healthy.
#[tokio::test]
async fn a_call_that_may_run_twice_is_sent_elsewhere() {
    for status in BAD_STATUSES {
        let modes = [TargetMode::Status(status), TargetMode::Answer];
        let (_store, targets, gateway) = start_setup("app", &modes).await;
        for number in 0..4 {
            let headers = format!("x-id: a{number}\r\n");
            let answer = call(gateway.callers, "/read/1", &headers, "").await;
            assert_eq!(answer.status, 200, "{status:?}");
            assert!(answer.text.ends_with("hello"), "{status:?}");
        }
        until("no call is open", || {
            targets.iter().all(|target| target.open_calls() == 0)
        })
        .await;
        let pool = &gateway.server.core().pool;
        assert_eq!(pool.idle_count(), 0, "{status:?}");
    }
}

// Guards against failures that are withheld from callers, as their statuses are unusual.
#[tokio::test]
async fn unusual_failures_of_targets_reach_the_caller() {
    for status in [300, 304, 418, 451, 500, 520, 599] {
        let (_store, _targets, gateway) = start_setup("app", &[TargetMode::Fail(status)]).await;
        let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
        assert_eq!(answer.status, status);
    }
}
