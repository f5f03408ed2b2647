//! Calls at engines that are about to be taken away, and calls whose response head never comes.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{IncarnationNumber, TimeSpan};
use calls::{AnswerMode, CallFailure};
use node::{EngineCall, EngineClient, EngineError, HttpEngine, SystemClock};
use sched::{DispatchOutcome, RequestPriority};
use serde_json::{Map, json};
use standin::{EngineServer, EngineSettings};
use support::{RelayScene, TinyEngine, TinyScript};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use web::{ConnectionPool, PoolSettings};

/// Longest wait for an answer, well under the 10 s after which a missing head ends an attempt.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);
/// Calls that wait at one engine, far more than the retry budget of an idle workspace.
const WAITING_CALLS: usize = 20;
/// Time in which a call that may be moved has left its target.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// An engine that sends no token before it is released.
fn stalled() -> TinyScript {
    TinyScript {
        early_tokens: 0,
        ..TinyScript::default()
    }
}

/// An engine that sends no response head before it is released.
fn headless() -> TinyScript {
    TinyScript {
        hold_head: true,
        ..TinyScript::default()
    }
}

async fn start_scene(script: TinyScript) -> (RelayScene, TinyEngine, TinyEngine) {
    let first = TinyEngine::start("e1", script).await;
    let second = TinyEngine::start("e2", TinyScript::default()).await;
    (RelayScene::new(&first, &second), first, second)
}

async fn wait_for(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < ANSWER_LIMIT, "nothing happened in time");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn read(call: JoinHandle<Result<String, CallFailure>>) -> String {
    let answer = timeout(ANSWER_LIMIT, call).await.expect("an answer");
    answer.expect("no panic").expect("a whole answer")
}

/// Tokens of one engine only, in order, each once.
fn assert_answer(answer: &str, engine: &str) {
    let words = answer.split(['"', ' ']);
    let tokens: Vec<&str> = words
        .filter(|word| word.starts_with("e1.") || word.starts_with("e2."))
        .collect();
    let expected: Vec<String> = (0..3).map(|offset| format!("{engine}.{offset}")).collect();
    assert_eq!(tokens, expected, "{answer}");
}

/// Guards against a call that waits for its first token at an engine that is about to be taken
/// away, and against work that goes on there, or blame for the engine, after the call has moved.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_tokens_leaves_a_reclaimed_engine() {
    let (scene, first, second) = start_scene(stalled()).await;
    let call = scene.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().calls == 1).await;
    scene.leave_first();
    assert_answer(&read(call).await, "e2");
    assert_eq!(second.log().calls, 1);
    wait_for(|| first.log().cancelled == ["e1-g"]).await;
    let log = scene.policy.log();
    assert_eq!(log.finished[0].1, DispatchOutcome::Cancelled);
}

/// Guards against a call that waits for the response head of an engine that is being taken away,
/// and against work that goes on there though the engine never named it on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_head_leaves_a_reclaimed_engine() {
    let (scene, first, _) = start_scene(headless()).await;
    let call = scene.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().calls == 1).await;
    scene.leave_first();
    // Without the move the answer would come after the head wait of 10 s, which is too late here.
    assert_answer(&read(call).await, "e2");
    wait_for(|| first.log().cancelled == ["e1-g"]).await;
}

/// Guards against calls that are cancelled at a reclaimed engine and then refused, as their moves
/// used up the retry budget.
#[tokio::test(flavor = "multi_thread")]
async fn every_waiting_call_leaves_a_reclaimed_engine() {
    let (scene, first, second) = start_scene(stalled()).await;
    let calls: Vec<_> = (0..WAITING_CALLS)
        .map(|_| scene.start_call(true, AnswerMode::Streamed))
        .collect();
    wait_for(|| first.log().calls == WAITING_CALLS).await;
    scene.leave_first();
    for call in calls {
        assert_answer(&read(call).await, "e2");
    }
    assert_eq!(second.log().calls, WAITING_CALLS);
}

/// Runs a call at an engine that leaves; it must stay there and end once the engine goes on.
async fn assert_stays(script: TinyScript, repeatable: bool, mode: AnswerMode) {
    let (scene, first, second) = start_scene(script).await;
    let call = scene.start_call(repeatable, mode);
    wait_for(|| first.log().calls == 1).await;
    // The early tokens arrive before the engine leaves.
    sleep(Duration::from_millis(300)).await;
    scene.leave_first();
    sleep(MOVE_TIME).await;
    assert!(!call.is_finished());
    first.release();
    assert_answer(&read(call).await, "e1");
    assert_eq!(second.log().calls, 0);
    assert!(first.log().cancelled.is_empty());
}

/// Guards against a second run of a call that is not repeatable (P4).
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_not_repeatable_stays() {
    assert_stays(stalled(), false, AnswerMode::Streamed).await;
}

/// Guards against a stream that is cut off, or gets tokens of two generations (P1).
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_call_with_a_token_stays() {
    let mut script = stalled();
    script.early_tokens = 1;
    assert_stays(script, true, AnswerMode::Streamed).await;
}

/// Guards against work that is thrown away though the engine has begun to answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_call_with_a_token_stays() {
    let mut script = stalled();
    script.early_tokens = 1;
    assert_stays(script, true, AnswerMode::Buffered).await;
}

/// Guards against a call that is given up after the whole wait for a response head, though the
/// engine runs it and only the connection is silent. It is not repeatable, so it must not run
/// a second time either.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_without_a_head_is_resumed() {
    let (scene, first, second) = start_scene(headless()).await;
    let call = scene.start_call(false, AnswerMode::Streamed);
    assert_answer(&read(call).await, "e1");
    let log = first.log().clone();
    assert_eq!((log.calls, log.asked, log.resumed), (1, 1, 1));
    assert_eq!(second.log().calls, 0);
}

/// Guards against a request that is given up while it is still on its way to the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_unknown_to_the_engine_waits() {
    let mut script = headless();
    script.knows_request = false;
    let (scene, first, second) = start_scene(script).await;
    let call = scene.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().asked == 1).await;
    sleep(Duration::from_millis(200)).await;
    assert!(!call.is_finished());
    first.release();
    assert_answer(&read(call).await, "e1");
    assert_eq!((first.log().calls, second.log().calls), (1, 0));
}

/// Guards against a wait for the answer of a run of the engine that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_an_earlier_run_is_run_elsewhere() {
    let mut script = headless();
    script.knows_request = false;
    script.incarnation = IncarnationNumber(2);
    let (scene, first, second) = start_scene(script).await;
    let call = scene.start_call(true, AnswerMode::Streamed);
    assert_answer(&read(call).await, "e2");
    assert_eq!((first.log().calls, second.log().calls), (1, 1));
}

/// Guards against a stand-in engine that can't be asked for a request, or that takes an unknown
/// one for another.
#[tokio::test(flavor = "multi_thread")]
async fn a_stand_in_engine_knows_its_requests() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EngineSettings::new("e1".parse().expect("a name"));
    let started = tokio::task::spawn_blocking(move || EngineServer::start(any, settings));
    let server = started.await.expect("no panic").expect("a free port");
    let client = HttpEngine::new(ConnectionPool::new(PoolSettings::new()), SystemClock::new());
    let address = server.address();
    let mut body = Map::new();
    body.insert("prompt".to_owned(), json!("a"));
    body.insert("stand_in_tokens".to_owned(), json!(2));
    let call = EngineCall {
        request: "r1".parse().expect("a name"),
        path: "completions",
        body,
        priority: RequestPriority::default(),
        head_timeout: TimeSpan::from_secs(5),
        time_left: None,
    };
    let link = client.connect(address).await.expect("a connection");
    let stream = link.start(call).await.expect("a stream");
    let ask = |request: &str| client.request_progress(address, request.parse().expect("a name"));
    let known = ask("r1").await.expect("an answer");
    assert_eq!(known.generation.as_ref(), stream.generation());
    assert!(known.generation.is_some());
    let unknown = ask("r2").await.expect("an answer");
    assert_eq!(unknown.generation, None);
    assert_eq!(unknown.incarnation, known.incarnation);
    server.kill();
    wait_for(|| server.is_dead()).await;
    let mut refused = ask("r1").await;
    for _ in 0..100 {
        if refused == Err(EngineError::Refused) {
            break;
        }
        sleep(Duration::from_millis(20)).await;
        refused = ask("r1").await;
    }
    assert_eq!(refused, Err(EngineError::Refused));
}
