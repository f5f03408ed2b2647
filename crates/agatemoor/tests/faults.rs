//! The whole system in separate processes, with one fault at a time.

#[allow(dead_code)]
mod common;

use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller};
use bytes::Bytes;
use common::{FleetPlan, ProcessFleet, SECOND_KEY, wait_until};
use hyper::Method;
use tokio::time::{sleep, timeout};

/// Time after which a leaving target gets nothing new.
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);
/// Pause of a node; longer than the second after which a node notices that it was paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Guards against lost, doubled or foreign tokens when a caller goes on at another node.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_node_goes_on_at_another() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let call = fleet.generate(0, "killed node", 200, true);
    let kill = async {
        wait_until("tokens flow", async || {
            fleet.count_generations("killed node").await == 1
        })
        .await;
        sleep(Duration::from_millis(500)).await;
        fleet.nodes[0].child.signal("KILL");
    };
    let (first, ()) = tokio::join!(call, kill);
    assert!(!first.complete, "the stream was cut off: {first:?}");
    let last = first.last_event.clone().expect("some event arrived");
    // Any other node will do, also one of the other failure domain.
    for node in [1, 3] {
        let headers = [("last-event-id", last.as_str())];
        let path = "/v1/completions";
        let rest = fleet.send(node, Method::GET, path, &headers, "").await;
        let joined = CallResponse {
            text: format!("{}{}", first.text, rest.text),
            complete: rest.complete,
            ..CallResponse::default()
        };
        assert!(joined.is_complete(200), "node {node}: {first:?} {rest:?}");
    }
    assert_eq!(fleet.count_generations("killed node").await, 1);
    fleet.nodes[0].child.kill();
}

/// Guards against a second run of what a killed node may have run.
#[tokio::test(flavor = "multi_thread")]
async fn tickets_of_a_killed_node_never_run_again() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let address = fleet.nodes[0].callers;
    let unused = fleet.caller.ticket(address).await.expect("a ticket");
    let used = fleet.caller.ticket(address).await.expect("a ticket");
    let headers = [("idempotency-key", used.as_str()), ("x-delay-ms", "20000")];
    let order = fleet.order(0, "running order", &headers);
    let kill = async {
        wait_until("the order runs", async || {
            fleet.count_orders("running order").await == 1
        })
        .await;
        fleet.nodes[0].child.signal("KILL");
    };
    let (cut, ()) = tokio::join!(order, kill);
    assert_eq!(cut.status, 0, "{cut:?}");
    fleet.nodes[0].child.kill();
    for node in [1, 2, 3] {
        for (mark, ticket) in [("running order", &used), ("unused order", &unused)] {
            let headers = [("idempotency-key", ticket.as_str())];
            let answer = fleet.order(node, mark, &headers).await;
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.run_state(), "unknown", "{answer:?}");
        }
    }
    // The next run of the same name is another owner.
    fleet.restart_node(0, false);
    fleet.wait_serving(0).await;
    for (mark, ticket) in [("running order", &used), ("unused order", &unused)] {
        let headers = [("idempotency-key", ticket.as_str())];
        let answer = fleet.order(0, mark, &headers).await;
        assert_eq!(answer.run_state(), "unknown", "{answer:?}");
    }
    assert_eq!(fleet.count_orders("running order").await, 1);
    assert_eq!(fleet.count_orders("unused order").await, 0);
}

/// Guards against a second run while the owner of a ticket or key is paused, and after it.
#[tokio::test(flavor = "multi_thread")]
async fn keys_used_while_a_node_is_paused_run_once() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let address = fleet.nodes[0].callers;
    let mut keys = Vec::new();
    for number in 0..3 {
        let ticket = fleet.caller.ticket(address).await.expect("a ticket");
        keys.push((format!("paused order by ticket {number}"), ticket));
    }
    // Some of these keys have the paused node as their home.
    for number in 0..8 {
        let mark = format!("paused order by key {number}");
        keys.push((mark, format!("key-{number}")));
    }
    fleet.nodes[0].child.signal("STOP");
    let wake = async {
        sleep(PAUSE).await;
        fleet.nodes[0].child.signal("CONT");
    };
    let sends = async {
        let calls = keys.iter().flat_map(|(mark, key)| {
            [1, 2, 3].map(|node| {
                let fleet = &fleet;
                async move {
                    let headers = [
                        ("idempotency-key", key.as_str()),
                        ("x-request-timeout-ms", "15000"),
                    ];
                    fleet.order(node, mark, &headers).await
                }
            })
        });
        futures_util::future::join_all(calls).await
    };
    let (answers, ()) = tokio::join!(sends, wake);
    for answer in &answers {
        assert!(answer.status != 0, "each caller gets an answer: {answer:?}");
    }
    fleet.wait_serving(0).await;
    for (at, (mark, key)) in keys.iter().enumerate() {
        let mut told = answers[3 * at..3 * at + 3].to_vec();
        for node in 0..4 {
            let headers = [("idempotency-key", key.as_str())];
            told.push(fleet.order(node, mark, &headers).await);
        }
        let runs = fleet.count_orders(mark).await;
        assert!(runs <= 1, "{mark} ran {runs} times");
        let done = told.iter().filter(|answer| answer.status == 200);
        let bodies: Vec<_> = done.map(|answer| &answer.body).collect();
        assert!(bodies.is_empty() || runs == 1, "{mark}: {told:?}");
        assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]), "{mark}");
        let last = told.last().expect("some answer");
        assert!(last.run_state() != "no" || runs == 0, "{mark}: {last:?}");
    }
}

/// Guards against a node that goes on with the view of before its pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_reads_its_view_again_before_it_serves() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let second = DemoCaller::new(SECOND_KEY);
    let more = ProcessFleet::second_workspace();
    fleet.publish(&fleet.declaration(&more)).await;
    let ask = async |node: usize, mark: &str| {
        let address = fleet.nodes[node].callers;
        let call = second.generate(address, "quill", mark, 2, false, &[]);
        timeout(ANSWER_LIMIT, call).await.unwrap_or_default()
    };
    for node in 0..4 {
        wait_until("the second workspace is known", async || {
            ask(node, "before").await.status == 200
        })
        .await;
    }
    fleet.nodes[0].child.signal("STOP");
    fleet.publish(&fleet.declaration("")).await;
    for node in 1..4 {
        wait_until("the second workspace is withdrawn", async || {
            ask(node, "between").await.status == 401
        })
        .await;
    }
    // These requests wait in the paused process and are the first that it sees.
    let wake = async {
        sleep(PAUSE).await;
        fleet.nodes[0].child.signal("CONT");
    };
    let calls = (0..10).map(|_| ask(0, "after the pause"));
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), wake);
    for answer in &answers {
        let known = matches!(answer.status, 401 | 503);
        assert!(known, "served with the old view: {answer:?}");
    }
    assert_eq!(fleet.count_generations("after the pause").await, 0);
    fleet.wait_serving(0).await;
    assert_eq!(ask(0, "after the pause").await.status, 401);
}

/// Guards against a cut stream that looks like a whole answer, or goes on with other tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_engine_ends_with_an_error() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let call = fleet.generate(0, "killed engine", 400, true);
    let kill = async {
        wait_until("the generation runs", async || {
            fleet.engine_running("killed engine").await.is_some()
        })
        .await;
        sleep(Duration::from_millis(800)).await;
        let engine = fleet.engine_running("killed engine").await;
        let engine = engine.expect("the engine answers");
        fleet.engines[engine].child.signal("KILL");
        engine
    };
    let (answer, engine) = tokio::join!(call, kill);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(!answer.complete, "{answer:?}");
    assert!(text.contains("generation_lost"), "{text}");
    assert!(!text.contains("[DONE]"));
    assert!(
        answer.token_marks().is_some(),
        "tokens of one generation in order"
    );
    assert_eq!(fleet.count_generations("killed engine").await, 0);
    fleet.engines[engine].child.kill();
    // A whole answer is served by another engine as soon as its caller asks.
    let next = fleet.generate(0, "next", 20, false).await;
    assert!(next.is_complete(20), "{next:?}");
}

/// Guards against a fleet that needs the platform to serve or to start a node.
#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_goes_on_without_its_platform() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let revision = fleet.revision(0).await;
    fleet.platform.kill();
    for node in 0..4 {
        let answer = fleet.generate(node, "no platform", 10, true).await;
        assert!(answer.is_complete(10), "{answer:?}");
    }
    fleet.nodes[1].child.kill();
    fleet.restart_node(1, true);
    fleet.wait_serving(1).await;
    assert_eq!(fleet.revision(1).await, revision);
    for node in 0..4 {
        assert_eq!(fleet.revision(node).await, revision);
    }
}

/// Guards against an older declaration that takes effect again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_platform_reverts_nothing() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let first = fleet.revision(0).await;
    let fault = fleet.platform_address;
    fleet.control(fault, "/control/fault", "stale".into()).await;
    let more = ProcessFleet::second_workspace();
    let newer = fleet.declaration(&more);
    fleet.publish(&newer).await;
    fleet.nodes[1].child.kill();
    fleet.restart_node(1, false);
    fleet.wait_serving(1).await;
    for node in 0..4 {
        assert_eq!(fleet.revision(node).await, first);
    }
    fleet.control(fault, "/control/fault", "none".into()).await;
    for node in 0..4 {
        wait_until("the newer revision is in effect", async || {
            fleet.revision(node).await != first
        })
        .await;
    }
    let second = fleet.revision(0).await;
    // Another platform process at the same address knows the older declaration only.
    fleet.platform.kill();
    fleet.restart_platform();
    fleet.publish(&fleet.declaration("")).await;
    fleet.nodes[1].child.kill();
    fleet.restart_node(1, true);
    fleet.wait_serving(1).await;
    let start = std::time::Instant::now();
    // Every reader has met the older data after this time, at a watch wait of 30 s at most.
    while start.elapsed() < PAUSE {
        for node in 0..4 {
            assert_eq!(fleet.revision(node).await, second, "node {node}");
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against work for a target that is about to be taken away.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_nothing_new() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let engine = fleet.engines[0].address;
    // Such an engine admits what it is sent, so that its history shows who sends anything.
    let left = fleet.control(engine, "/control/leave?admit", Bytes::new());
    assert_eq!(left.await.status, 200);
    sleep(LEAVE_BOUND).await;
    let before = fleet.history(engine).await.len();
    for round in 0..10 {
        let calls = (0..4).map(|node| fleet.generate(node, "after leaving", 3, round % 2 == 0));
        for answer in futures_util::future::join_all(calls).await {
            assert!(answer.is_complete(3), "{answer:?}");
        }
    }
    assert_eq!(fleet.history(engine).await.len(), before);
    assert_eq!(fleet.count_generations("after leaving").await, 40);
}

/// Guards against a request that ends one engine after the other, and against refusing others.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_targets_ends_two_at_most() {
    let mut fleet = ProcessFleet::start(FleetPlan {
        engines: vec!["thapathali", "thapathali", "thapathali", "balaju"],
        engine_args: vec!["--crash-text".to_owned(), "crash-the-engine".to_owned()],
    })
    .await;
    let mut codes = Vec::new();
    for round in 0..6 {
        let answer = fleet
            .generate(round % 2, "crash-the-engine", 5, false)
            .await;
        assert_ne!(answer.status, 200, "{answer:?}");
        codes.push(answer.error_code());
        let ended = count_ended(&mut fleet);
        assert!(
            ended <= 2,
            "{ended} engines ended; {codes:?}; {:#?} {:#?}",
            fleet.nodes[0].child.lines(),
            fleet.nodes[1].child.lines()
        );
    }
    assert_eq!(codes[4..], ["crash_suspect", "crash_suspect"], "{codes:?}");
    for node in 0..4 {
        let innocent = fleet.generate(node, "innocent", 10, true).await;
        assert!(innocent.is_complete(10), "{innocent:?}");
    }
}

fn count_ended(fleet: &mut ProcessFleet) -> usize {
    let engines = fleet.engines.iter_mut();
    engines
        .filter_map(|engine| engine.child.has_ended().then_some(()))
        .count()
}
