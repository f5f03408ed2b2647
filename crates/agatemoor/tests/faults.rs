//! End-to-end tests of separate processes, with one fault at a time.

#[allow(dead_code)]
mod common;

use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller};
use bytes::Bytes;
use common::{FleetPlan, ProcessFleet, SECOND_WORKSPACE_KEY, wait_until};
use hyper::Method;
use tokio::time::{sleep, timeout};

/// Time after which a leaving target gets no new requests.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for which a node is paused; longer than the second after which a node notices a pause. Also
/// the time for which the test of a stale platform watches the revisions.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// Guards against lost, repeated or foreign tokens when a caller resumes a stream at another node.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_node_is_resumed_at_another_node() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let call = fleet.generate(0, "killed node", 200, true);
    let kill = async {
        wait_until("the generation runs", async || {
            fleet.count_generation_runs("killed node").await == 1
        })
        .await;
        sleep(Duration::from_millis(500)).await;
        fleet.nodes[0].process.send_signal("KILL");
    };
    let (first, ()) = tokio::join!(call, kill);
    assert!(!first.complete, "the stream was cut off: {first:?}");
    let last = first.last_event.clone().expect("an event arrived");
    // Any other node can resume the stream, also one of the other failure domain.
    for node in [1, 3] {
        let headers = [("last-event-id", last.as_str())];
        let path = "/v1/completions";
        let rest = fleet
            .send_request(node, Method::GET, path, &headers, "")
            .await;
        let joined = CallResponse {
            text: format!("{}{}", first.text, rest.text),
            complete: rest.complete,
            ..CallResponse::default()
        };
        assert!(joined.is_complete(200), "node {node}: {first:?} {rest:?}");
    }
    assert_eq!(fleet.count_generation_runs("killed node").await, 1);
    fleet.nodes[0].process.kill();
}

/// Guards against a second run of an order that a killed node may have run already.
#[tokio::test(flavor = "multi_thread")]
async fn orders_with_tickets_of_a_killed_node_never_run_again() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let address = fleet.nodes[0].caller_address;
    let unused = fleet.caller.ticket(address).await.expect("a ticket");
    let used = fleet.caller.ticket(address).await.expect("a ticket");
    let headers = [("idempotency-key", used.as_str()), ("x-delay-ms", "20000")];
    let order = fleet.send_order(0, "running order", &headers);
    let kill = async {
        wait_until("the order runs", async || {
            fleet.count_order_runs("running order").await == 1
        })
        .await;
        fleet.nodes[0].process.send_signal("KILL");
    };
    let (cut, ()) = tokio::join!(order, kill);
    assert_eq!(cut.status, 0, "{cut:?}");
    fleet.nodes[0].process.kill();
    for node in [1, 2, 3] {
        for (mark, ticket) in [("running order", &used), ("unused order", &unused)] {
            let headers = [("idempotency-key", ticket.as_str())];
            let answer = fleet.send_order(node, mark, &headers).await;
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.run_state(), "unknown", "{answer:?}");
        }
    }
    // The restarted node has the same name but does not own the tickets of its predecessor.
    fleet.restart_node(0, false);
    fleet.wait_until_serving(0).await;
    for (mark, ticket) in [("running order", &used), ("unused order", &unused)] {
        let headers = [("idempotency-key", ticket.as_str())];
        let answer = fleet.send_order(0, mark, &headers).await;
        assert_eq!(answer.run_state(), "unknown", "{answer:?}");
    }
    assert_eq!(fleet.count_order_runs("running order").await, 1);
    assert_eq!(fleet.count_order_runs("unused order").await, 0);
}

/// Guards against a second run of an order while the owner of its ticket or key is paused, and after
/// the pause.
#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_while_a_node_is_paused_run_once() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let address = fleet.nodes[0].caller_address;
    let mut keys = Vec::new();
    for number in 0..3 {
        let ticket = fleet.caller.ticket(address).await.expect("a ticket");
        keys.push((format!("paused order by ticket {number}"), ticket));
    }
    // The paused node is the home of some of these keys.
    for number in 0..8 {
        let mark = format!("paused order by key {number}");
        keys.push((mark, format!("key-{number}")));
    }
    fleet.nodes[0].process.send_signal("STOP");
    let resume = async {
        sleep(PAUSE_DURATION).await;
        fleet.nodes[0].process.send_signal("CONT");
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
                    fleet.send_order(node, mark, &headers).await
                }
            })
        });
        futures_util::future::join_all(calls).await
    };
    let (answers, ()) = tokio::join!(sends, resume);
    for answer in &answers {
        assert!(answer.status != 0, "each caller gets an answer: {answer:?}");
    }
    fleet.wait_until_serving(0).await;
    for (index, (mark, key)) in keys.iter().enumerate() {
        let mut received = answers[3 * index..3 * index + 3].to_vec();
        for node in 0..4 {
            let headers = [("idempotency-key", key.as_str())];
            received.push(fleet.send_order(node, mark, &headers).await);
        }
        let runs = fleet.count_order_runs(mark).await;
        assert!(runs <= 1, "{mark} ran {runs} times");
        let successes = received.iter().filter(|answer| answer.status == 200);
        let bodies: Vec<_> = successes.map(|answer| &answer.body).collect();
        assert!(bodies.is_empty() || runs == 1, "{mark}: {received:?}");
        assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]), "{mark}");
        let last = received.last().expect("an answer");
        assert!(last.run_state() != "no" || runs == 0, "{mark}: {last:?}");
    }
}

/// Guards against a node that serves with the declaration that it had read before a pause, although
/// it has changed meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_node_reads_the_declaration_before_it_serves() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let second = DemoCaller::new(SECOND_WORKSPACE_KEY);
    let section = ProcessFleet::second_workspace_section();
    fleet.publish(&fleet.declaration(&section)).await;
    let generate = async |node: usize, mark: &str| {
        let address = fleet.nodes[node].caller_address;
        let call = second.generate(address, "quill", mark, 2, false, &[]);
        timeout(ANSWER_TIMEOUT, call).await.unwrap_or_default()
    };
    for node in 0..4 {
        wait_until("the second workspace is known", async || {
            generate(node, "before").await.status == 200
        })
        .await;
    }
    fleet.nodes[0].process.send_signal("STOP");
    fleet.publish(&fleet.declaration("")).await;
    for node in 1..4 {
        wait_until("the second workspace is removed", async || {
            generate(node, "between").await.status == 401
        })
        .await;
    }
    // These requests wait at the paused process, which receives them first when it resumes.
    let resume = async {
        sleep(PAUSE_DURATION).await;
        fleet.nodes[0].process.send_signal("CONT");
    };
    let calls = (0..10).map(|_| generate(0, "after the pause"));
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), resume);
    for answer in &answers {
        let is_refused = matches!(answer.status, 401 | 503);
        assert!(is_refused, "served with the old declaration: {answer:?}");
    }
    assert_eq!(fleet.count_generation_runs("after the pause").await, 0);
    fleet.wait_until_serving(0).await;
    assert_eq!(generate(0, "after the pause").await.status, 401);
}

/// Guards against an interrupted stream that looks complete, or that continues with tokens of another
/// generation.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_engine_ends_with_an_error() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let call = fleet.generate(0, "killed engine", 400, true);
    let kill = async {
        wait_until("the generation runs", async || {
            fleet.find_engine_running("killed engine").await.is_some()
        })
        .await;
        sleep(Duration::from_millis(800)).await;
        let engine = fleet.find_engine_running("killed engine").await;
        let engine = engine.expect("the engine answers");
        fleet.engines[engine].process.send_signal("KILL");
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
    assert_eq!(fleet.count_generation_runs("killed engine").await, 0);
    fleet.engines[engine].process.kill();
    // A request without streaming is served by another engine at once.
    let next = fleet.generate(0, "next", 20, false).await;
    assert!(next.is_complete(20), "{next:?}");
}

/// Guards against a fleet that can't serve or start a node while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_works_without_its_platform() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let revision = fleet.accepted_revision(0).await;
    fleet.platform.kill();
    for node in 0..4 {
        let answer = fleet.generate(node, "no platform", 10, true).await;
        assert!(answer.is_complete(10), "{answer:?}");
    }
    fleet.nodes[1].process.kill();
    fleet.restart_node(1, true);
    fleet.wait_until_serving(1).await;
    assert_eq!(fleet.accepted_revision(1).await, revision);
    for node in 0..4 {
        assert_eq!(fleet.accepted_revision(node).await, revision);
    }
}

/// Guards against an older declaration that takes effect again when the platform returns old data.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_platform_reverts_no_declaration() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await;
    let first = fleet.accepted_revision(0).await;
    let platform = fleet.platform_address;
    fleet
        .send_control(platform, "/control/fault", "stale".into())
        .await;
    let section = ProcessFleet::second_workspace_section();
    let newer = fleet.declaration(&section);
    fleet.publish(&newer).await;
    fleet.nodes[1].process.kill();
    fleet.restart_node(1, false);
    fleet.wait_until_serving(1).await;
    for node in 0..4 {
        assert_eq!(fleet.accepted_revision(node).await, first);
    }
    fleet
        .send_control(platform, "/control/fault", "none".into())
        .await;
    for node in 0..4 {
        wait_until("the newer revision is in effect", async || {
            fleet.accepted_revision(node).await != first
        })
        .await;
    }
    let second = fleet.accepted_revision(0).await;
    // A new platform process at the same address has the older declaration only.
    fleet.platform.kill();
    fleet.restart_platform();
    fleet.publish(&fleet.declaration("")).await;
    fleet.nodes[1].process.kill();
    fleet.restart_node(1, true);
    fleet.wait_until_serving(1).await;
    let start = std::time::Instant::now();
    // After this time every reader has seen the older data; a watch waits at most 30 s.
    while start.elapsed() < PAUSE_DURATION {
        for node in 0..4 {
            assert_eq!(fleet.accepted_revision(node).await, second, "node {node}");
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against requests to an engine that is about to be removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_requests() {
    let fleet = ProcessFleet::start(FleetPlan::default()).await;
    let engine = fleet.engines[0].address;
    // With `admit` the leaving engine accepts requests, so that its history shows any that are sent.
    let left = fleet.send_control(engine, "/control/leave?admit", Bytes::new());
    assert_eq!(left.await.status, 200);
    sleep(LEAVING_BOUND).await;
    let before = fleet.fetch_runs(engine).await.len();
    for round in 0..10 {
        let calls = (0..4).map(|node| fleet.generate(node, "after leaving", 3, round % 2 == 0));
        for answer in futures_util::future::join_all(calls).await {
            assert!(answer.is_complete(3), "{answer:?}");
        }
    }
    assert_eq!(fleet.fetch_runs(engine).await.len(), before);
    assert_eq!(fleet.count_generation_runs("after leaving").await, 40);
}

/// Guards against a request that crashes one engine after the other, and against refusing other
/// requests because of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_ends_at_most_two_engines() {
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
        let exited = count_exited_engines(&mut fleet);
        assert!(
            exited <= 2,
            "{exited} engines exited; {codes:?}; {:#?} {:#?}",
            fleet.nodes[0].process.log_lines(),
            fleet.nodes[1].process.log_lines()
        );
    }
    assert_eq!(codes[4..], ["crash_suspect", "crash_suspect"], "{codes:?}");
    for node in 0..4 {
        let unrelated = fleet.generate(node, "unrelated", 10, true).await;
        assert!(unrelated.is_complete(10), "{unrelated:?}");
    }
}

fn count_exited_engines(fleet: &mut ProcessFleet) -> usize {
    let engines = fleet.engines.iter_mut();
    engines
        .filter_map(|engine| engine.process.has_exited().then_some(()))
        .count()
}
