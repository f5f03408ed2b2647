//! Tests of the scheduling actor with a fake policy and a fake engine.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{ByteCount, ClockTime, ErrorKind, IncarnationNumber, TargetName, TimeSpan, TokenCount};
use calls::RequestFingerprint;
use node::{CallPlacement, EventJournal, SchedActor, SchedHandle, SchedOutput, SystemClock};
use sched::{CallKind, DispatchOutcome, LoadReport, RequestPriority, TargetInfo, WorkItem};
use support::{FakeEngine, FakePolicy, PolicyLog};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Longest wait for a message to be handled, after which a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

struct ActorFixture {
    sched: SchedHandle,
    policy: FakePolicy,
    engine: FakeEngine,
    outputs: mpsc::Receiver<SchedOutput>,
}

fn start_actor() -> ActorFixture {
    let clock = SystemClock::new();
    let (node, domain) = (name("patan-1"), name("patan"));
    let journal = EventJournal::new(clock, node, domain, 64);
    let (policy, engine) = (FakePolicy::default(), FakeEngine::default());
    let (output, outputs) = mpsc::channel(64);
    let client = Arc::new(engine.clone());
    let actor = SchedActor::new(clock, journal, client, Box::new(policy.clone()), output);
    let address = xtra::spawn_tokio(actor, xtra::Mailbox::unbounded());
    ActorFixture {
        sched: SchedHandle::new(address),
        policy,
        engine,
        outputs,
    }
}

fn name<T: std::str::FromStr<Err = base::ParseError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn item(request: &str, candidates: &[&str]) -> WorkItem {
    let candidates: Vec<TargetName> = candidates.iter().map(|text| name(text)).collect();
    WorkItem {
        request: name(request),
        workspace: name("tarn"),
        weight: 1,
        queue_limit: 8,
        stream_limit: 8,
        model: Some(name("quill")),
        kind: CallKind::Completion,
        prompt_tokens: TokenCount(4),
        max_tokens: None,
        prefix: 0,
        candidates: candidates.into(),
        excluded: Vec::new(),
        arrival: ClockTime::ZERO,
        deadline: None,
    }
}

fn info(target: &str, usable: bool) -> TargetInfo {
    TargetInfo {
        target: name(target),
        domain: name("patan"),
        usable,
        weight_bytes: ByteCount(0),
    }
}

fn report() -> LoadReport {
    LoadReport {
        target: name("e1"),
        measured_at: ClockTime::ZERO,
        running: 0,
        waiting: 0,
        used_pages: 0,
        cached_pages: 0,
        total_pages: 1,
        page_tokens: 16,
        preemptions: 0,
    }
}

async fn wait_for(policy: &FakePolicy, holds: impl Fn(&PolicyLog) -> bool) {
    let start = Instant::now();
    while !holds(&policy.log()) {
        assert!(start.elapsed() < WAIT_LIMIT, "{:?}", policy.log());
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against messages that are lost or reordered between handle and actor. The fleet actor
/// sends the targets only when they change, so after a lost message the policy would never learn
/// that a target may get work.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_message_arrives_in_order() {
    let fixture = start_actor();
    let mut tasks = Vec::new();
    for _ in 0..8 {
        let sched = fixture.sched.clone();
        tasks.push(tokio::spawn(async move {
            for _ in 0..500 {
                sched.report_load(report());
                tokio::task::yield_now().await;
            }
        }));
    }
    for round in 0..2_000 {
        let mut target = info("e1", true);
        target.weight_bytes = ByteCount(round);
        fixture.sched.set_targets(vec![target]);
        if round % 7 == 0 {
            tokio::task::yield_now().await;
        }
    }
    for task in tasks {
        task.await.expect("no panic");
    }
    // This message is queued after all others.
    fixture.sched.report_load(report());
    wait_for(&fixture.policy, |log| log.reports == 4_001).await;
    sleep(Duration::from_millis(100)).await;
    let seen = fixture.policy.log().weights.clone();
    let expected: Vec<u64> = (0..2_000).collect();
    let swapped = seen.windows(2).find(|pair| pair[0] + 1 != pair[1]);
    assert!(seen == expected, "{} messages, {swapped:?}", seen.len());
}

/// Guards against an idle actor that handles two consecutive messages in the wrong order, so that
/// the policy keeps the older state of the targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_messages_to_an_idle_actor_stay_in_order() {
    let fixture = start_actor();
    for round in 1..=2_000 {
        let sched = fixture.sched.clone();
        let post = tokio::spawn(async move {
            sched.set_targets(vec![info("e1", false)]);
            sched.set_targets(vec![info("e1", true)]);
            sched.report_load(report());
        });
        post.await.expect("no panic");
        wait_for(&fixture.policy, |log| log.reports == round).await;
        // Lets a message that is still queued arrive before the next round.
        tokio::task::yield_now().await;
        assert_eq!(fixture.policy.log().targets, [info("e1", true)], "{round}");
    }
}

/// Guards against messages that are dropped when a task sends many without awaiting and so uses up
/// its cooperative budget of the runtime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_one_task_arrives_whole() {
    let fixture = start_actor();
    let sched = fixture.sched.clone();
    let burst = tokio::spawn(async move { (0..1_000).for_each(|_| sched.report_load(report())) });
    burst.await.expect("no panic");
    wait_for(&fixture.policy, |log| log.reports == 1_000).await;
}

/// Guards against a placement of the policy that does not reach the waiting call.
#[tokio::test]
async fn a_call_gets_its_placement() {
    let fixture = start_actor();
    let fingerprint = RequestFingerprint::new("quill", b"a");
    let placed = fixture
        .sched
        .submit(item("r1", &["e1", "e2"]), fingerprint, false);
    let expected = CallPlacement::Dispatch {
        target: name("e1"),
        priority: RequestPriority(3),
    };
    assert_eq!(placed.await, expected);
    let refused = fixture
        .sched
        .submit(item("r2", &[]), fingerprint, false)
        .await;
    let expected = CallPlacement::Refuse {
        kind: ErrorKind::NoTarget,
        retry_after: Some(TimeSpan::from_secs(7)),
    };
    assert_eq!(refused, expected);
}

/// Guards against a changed priority that is not sent to the engine, or is sent before the engine
/// has admitted the request.
#[tokio::test]
async fn a_priority_goes_to_the_running_generation() {
    let fixture = start_actor();
    let fingerprint = RequestFingerprint::new("quill", b"a");
    let placed = fixture
        .sched
        .submit(item("r1", &["e1"]), fingerprint, false);
    assert!(matches!(placed.await, CallPlacement::Dispatch { .. }));
    let address = "127.0.0.1:9".parse().expect("an address");
    fixture.sched.mark_admitted(name("r1"), address, name("g1"));
    let start = Instant::now();
    while fixture.engine.priorities().is_empty() {
        assert!(start.elapsed() < WAIT_LIMIT);
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        fixture.engine.priorities(),
        [(name("g1"), RequestPriority(9))]
    );
}

/// Guards against a cancelled call that stays counted, whether it was waiting or running.
#[tokio::test]
async fn a_cancelled_call_is_no_longer_counted() {
    let fixture = start_actor();
    let fingerprint = RequestFingerprint::new("quill", b"a");
    let (sched, policy) = (fixture.sched.clone(), fixture.policy.clone());
    let waiting = tokio::spawn(async move {
        let waiting_item = item("wait-1", &["e1"]);
        sched.submit(waiting_item, fingerprint, false).await
    });
    wait_for(&policy, |log| log.submitted.len() == 1).await;
    fixture.sched.cancel(name("wait-1"));
    wait_for(&policy, |log| log.withdrawn.len() == 1).await;
    let placement = waiting.await.expect("no panic");
    assert!(matches!(placement, CallPlacement::Refuse { .. }));

    let placed = fixture
        .sched
        .submit(item("r1", &["e1"]), fingerprint, false);
    assert!(matches!(placed.await, CallPlacement::Dispatch { .. }));
    fixture.sched.cancel(name("r1"));
    wait_for(&policy, |log| log.finished.len() == 1).await;
    let expected = (name("r1"), DispatchOutcome::Cancelled);
    assert_eq!(policy.log().finished[0], expected);
    // A second end of the same call has no effect.
    fixture.sched.finish(name("r1"), DispatchOutcome::Failed);
    fixture.sched.report_load(report());
    wait_for(&policy, |log| log.reports == 1).await;
    assert_eq!(policy.log().finished.len(), 1);
}

/// Guards against blaming a call for the crash of a target to which it was dispatched but never
/// sent.
#[tokio::test]
async fn an_unsent_call_is_not_marked() {
    let fixture = start_actor();
    let fingerprint = RequestFingerprint::new("quill", b"unsent");
    for (request, target) in [("r1", "e1"), ("r2", "e2")] {
        let placed = fixture
            .sched
            .submit(item(request, &[target]), fingerprint, false);
        assert!(matches!(placed.await, CallPlacement::Dispatch { .. }));
        let died = Some(IncarnationNumber(1));
        fixture.sched.report_failure(name(target), died);
        fixture.sched.finish(name(request), DispatchOutcome::Failed);
    }
    let third = fixture
        .sched
        .submit(item("r3", &["e3"]), fingerprint, false)
        .await;
    assert!(matches!(third, CallPlacement::Dispatch { .. }));
}

/// Guards against sending a request to a third target after it crashed two, and against not telling
/// the peers about it.
#[tokio::test]
async fn a_request_that_crashed_two_targets_is_refused() {
    let mut fixture = start_actor();
    let fingerprint = RequestFingerprint::new("quill", b"crash");
    for (request, target) in [("r1", "e1"), ("r2", "e2")] {
        let placed = fixture
            .sched
            .submit(item(request, &[target]), fingerprint, false);
        assert!(matches!(placed.await, CallPlacement::Dispatch { .. }));
        fixture.sched.mark_sent(name(request));
        let died = Some(IncarnationNumber(1));
        fixture.sched.report_failure(name(target), died);
        fixture.sched.finish(name(request), DispatchOutcome::Failed);
    }
    let third = fixture
        .sched
        .submit(item("r3", &["e3"]), fingerprint, false)
        .await;
    let kind = match third {
        CallPlacement::Refuse { kind, .. } => Some(kind),
        _ => None,
    };
    assert_eq!(kind, Some(ErrorKind::CrashSuspect));
    let other = RequestFingerprint::new("quill", b"innocent");
    let innocent = fixture
        .sched
        .submit(item("r4", &["e3"]), other, false)
        .await;
    assert!(matches!(innocent, CallPlacement::Dispatch { .. }));
    let mut sent = 0;
    while let Ok(output) = fixture.outputs.try_recv() {
        sent += usize::from(matches!(output, SchedOutput::Crash(_)));
    }
    assert!(sent >= 2, "{sent}");
}

/// Guards against retries beyond the retry budget of a workspace.
#[tokio::test]
async fn retries_end_with_the_budget() {
    let fixture = start_actor();
    let mut refused = 0;
    for number in 0..20 {
        let fingerprint = RequestFingerprint::new("quill", format!("{number}").as_bytes());
        let retry = item(&format!("r{number}"), &["e1"]);
        let placed = fixture.sched.submit(retry, fingerprint, true).await;
        refused += usize::from(placed == CallPlacement::RetryRefused);
    }
    assert!(refused >= 17, "{refused} of 20 retries were refused");
}
