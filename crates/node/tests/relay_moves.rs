//! Relays of calls at engines that are leaving, and of calls whose response head does not arrive.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{IncarnationNumber, TimeSpan};
use calls::{AnswerMode, CallFailure};
use node::{EngineCall, EngineClient, EngineError, HttpEngine, SystemClock};
use sched::{DispatchOutcome, RequestPriority};
use serde_json::{Map, json};
use standin::{EngineServer, EngineSettings};
use support::{EngineScript, RelayFixture, ScriptedEngine};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use web::{ConnectionPool, PoolSettings};

/// Maximum wait for an answer, well below the 10 s after which a missing response head ends an
/// attempt.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);
/// Number of calls that wait at one engine, far more than the retry budget of an idle workspace.
const WAITING_CALLS: usize = 20;
/// Time within which a call that can be moved has left its target.
const MOVE_WINDOW: Duration = Duration::from_millis(1_500);

/// Script of an engine that sends no token before it is released.
fn stalled_script() -> EngineScript {
    EngineScript {
        tokens_before_release: 0,
        ..EngineScript::default()
    }
}

/// Script of an engine that sends no response head before it is released.
fn headless_script() -> EngineScript {
    EngineScript {
        hold_head: true,
        ..EngineScript::default()
    }
}

async fn start_fixture(script: EngineScript) -> (RelayFixture, ScriptedEngine, ScriptedEngine) {
    let first = ScriptedEngine::start("e1", script).await;
    let second = ScriptedEngine::start("e2", EngineScript::default()).await;
    (RelayFixture::new(&first, &second), first, second)
}

/// Waits until a condition holds; fails after `ANSWER_LIMIT`.
async fn wait_for(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < ANSWER_LIMIT, "nothing happened in time");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Waits for the complete answer of a call.
async fn read(call: JoinHandle<Result<String, CallFailure>>) -> String {
    let answer = timeout(ANSWER_LIMIT, call).await.expect("an answer");
    answer.expect("no panic").expect("a whole answer")
}

/// Asserts that an answer has all tokens of one engine, in order and each once, and no others.
fn assert_answer(answer: &str, engine: &str) {
    let words = answer.split(['"', ' ']);
    let tokens: Vec<&str> = words
        .filter(|word| word.starts_with("e1.") || word.starts_with("e2."))
        .collect();
    let expected: Vec<String> = (0..3).map(|offset| format!("{engine}.{offset}")).collect();
    assert_eq!(tokens, expected, "{answer}");
}

/// Guards against a call that keeps waiting for its first token at a leaving engine. After the move
/// the engine must not continue the generation, and it must not be reported as failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_tokens_moves_off_a_leaving_engine() {
    let (fixture, first, second) = start_fixture(stalled_script()).await;
    let call = fixture.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().calls == 1).await;
    fixture.mark_first_leaving();
    assert_answer(&read(call).await, "e2");
    assert_eq!(second.log().calls, 1);
    wait_for(|| first.log().cancelled == ["e1-g"]).await;
    let log = fixture.policy.log();
    assert_eq!(log.finished[0].1, DispatchOutcome::Cancelled);
}

/// Guards against a call that keeps waiting for the response head of a leaving engine. After the
/// move the engine must not continue the generation, although it never sent the generation's id on
/// the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_head_moves_off_a_leaving_engine() {
    let (fixture, first, _) = start_fixture(headless_script()).await;
    let call = fixture.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().calls == 1).await;
    fixture.mark_first_leaving();
    // Without the move the answer would come after the head time-out of 10 s, too late for `read`.
    assert_answer(&read(call).await, "e2");
    wait_for(|| first.log().cancelled == ["e1-g"]).await;
}

/// Guards against calls that are cancelled at a leaving engine and then refused, because their
/// moves used up the retry budget.
#[tokio::test(flavor = "multi_thread")]
async fn every_waiting_call_moves_off_a_leaving_engine() {
    let (fixture, first, second) = start_fixture(stalled_script()).await;
    let calls: Vec<_> = (0..WAITING_CALLS)
        .map(|_| fixture.start_call(true, AnswerMode::Streamed))
        .collect();
    wait_for(|| first.log().calls == WAITING_CALLS).await;
    fixture.mark_first_leaving();
    for call in calls {
        assert_answer(&read(call).await, "e2");
    }
    assert_eq!(second.log().calls, WAITING_CALLS);
}

/// Runs a call at an engine that then is leaving; the call must stay there and complete once the
/// engine is released.
async fn assert_stays(script: EngineScript, repeatable: bool, mode: AnswerMode) {
    let (fixture, first, second) = start_fixture(script).await;
    let call = fixture.start_call(repeatable, mode);
    wait_for(|| first.log().calls == 1).await;
    // Lets the tokens that are sent before the release arrive before the engine is leaving.
    sleep(Duration::from_millis(300)).await;
    fixture.mark_first_leaving();
    sleep(MOVE_WINDOW).await;
    assert!(!call.is_finished());
    first.release();
    assert_answer(&read(call).await, "e1");
    assert_eq!(second.log().calls, 0);
    assert!(first.log().cancelled.is_empty());
}

/// Guards against a second run of a call that is not repeatable (P4).
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_not_repeatable_stays() {
    assert_stays(stalled_script(), false, AnswerMode::Streamed).await;
}

/// Guards against a stream that is cut off or gets tokens of two generations (P1).
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_call_with_a_token_stays() {
    let mut script = stalled_script();
    script.tokens_before_release = 1;
    assert_stays(script, true, AnswerMode::Streamed).await;
}

/// Guards against a move that discards the work of an engine that has begun to answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_call_with_a_token_stays() {
    let mut script = stalled_script();
    script.tokens_before_release = 1;
    assert_stays(script, true, AnswerMode::Buffered).await;
}

/// Guards against a call that fails after the full head time-out although the engine runs it and
/// only the connection is silent. The call is not repeatable, so it must not run a second time
/// either.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_without_a_head_is_resumed() {
    let (fixture, first, second) = start_fixture(headless_script()).await;
    let call = fixture.start_call(false, AnswerMode::Streamed);
    assert_answer(&read(call).await, "e1");
    let log = first.log().clone();
    assert_eq!((log.calls, log.progress_queries, log.resumed), (1, 1, 1));
    assert_eq!(second.log().calls, 0);
}

/// Guards against a call that is abandoned because the engine does not know its request yet, while
/// the request is still on its way to the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_unknown_to_the_engine_waits() {
    let mut script = headless_script();
    script.knows_request = false;
    let (fixture, first, second) = start_fixture(script).await;
    let call = fixture.start_call(true, AnswerMode::Streamed);
    wait_for(|| first.log().progress_queries == 1).await;
    sleep(Duration::from_millis(200)).await;
    assert!(!call.is_finished());
    first.release();
    assert_answer(&read(call).await, "e1");
    assert_eq!((first.log().calls, second.log().calls), (1, 0));
}

/// Guards against waiting for the answer of an engine process that no longer exists: the request
/// was sent to an earlier incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_an_earlier_incarnation_is_run_elsewhere() {
    let mut script = headless_script();
    script.knows_request = false;
    script.incarnation = IncarnationNumber(2);
    let (fixture, first, second) = start_fixture(script).await;
    let call = fixture.start_call(true, AnswerMode::Streamed);
    assert_answer(&read(call).await, "e2");
    assert_eq!((first.log().calls, second.log().calls), (1, 1));
}

/// Guards against a stand-in engine that can't report the progress of a request, or that reports
/// the progress of another request for an unknown one.
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
    let connection = client.connect(address).await.expect("a connection");
    let stream = connection.start(call).await.expect("a stream");
    let ask = |request: &str| client.request_progress(address, request.parse().expect("a name"));
    let known = ask("r1").await.expect("an answer");
    assert_eq!(known.generation.as_ref(), stream.generation());
    assert!(known.generation.is_some());
    let unknown = ask("r2").await.expect("an answer");
    assert_eq!(unknown.generation, None);
    assert_eq!(unknown.incarnation, known.incarnation);
    server.kill();
    wait_for(|| server.is_stopped()).await;
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
