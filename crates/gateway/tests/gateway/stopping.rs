//! The graceful shutdown of a gateway while callers use kept connections.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{
    FakeStore, FakeTarget, GatewayProcess, KeptConnection, TargetMode, call, open_stream, until,
};

/// Time that the users' platform allows for a planned stop.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time for which the connection of a call that was read may stay open without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Pause between two calls during a stop.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A call that was made during the stop.
struct StopCall {
    id: String,
    /// When it was sent, after the stop signal.
    sent_at: Duration,
    /// Status of the whole response; `None` if the connection ended without one.
    status: Option<u16>,
}

/// A stop, and the calls that were made on kept connections at each [`CALL_INTERVAL`] of it.
struct StopRun {
    targets: Vec<FakeTarget>,
    /// How the targets handle the calls.
    mode: TargetMode,
    calls: Vec<StopCall>,
    /// When the process ended, after the stop signal.
    ended_at: Duration,
}

impl StopRun {
    /// Stops a gateway with targets in this mode, while `path` is called.
    async fn new(service: &'static str, path: &'static str, mode: TargetMode) -> Self {
        let store = FakeStore::new();
        store.put_config(1);
        let mut targets = Vec::new();
        let early_mode = match service {
            "pool" => TargetMode::Stream(1),
            _ => TargetMode::Answer,
        };
        for _ in 0..4 {
            let target = FakeTarget::start(service, early_mode).await;
            store.put_target(&target, "ready");
            targets.push(target);
        }
        let gateway = GatewayProcess::start_ready(&store).await;
        let mut kept = Vec::new();
        let count = GRACE_PERIOD.as_millis() / CALL_INTERVAL.as_millis();
        for number in 0..count {
            let mut connection = KeptConnection::open(gateway.callers).await;
            let headers = format!("x-id: early-{number}\r\nx-size: 9\r\n");
            connection.call(path, &headers).await.unwrap();
            kept.push(connection);
        }
        for target in &targets {
            target.set_mode(mode);
        }
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (mut connection, number) in kept.into_iter().zip(1..) {
            calls.spawn(async move {
                let sent_at = CALL_INTERVAL * number;
                sleep_until(start + sent_at).await;
                let id = format!("late-{number}");
                let headers = format!("x-id: {id}\r\nx-size: 9\r\n");
                let response = connection.call(path, &headers).await;
                let status = response.map(|response| response.status);
                StopCall {
                    id,
                    sent_at,
                    status,
                }
            });
        }
        let ended_at = gateway.stop().await - start;
        Self {
            targets,
            mode,
            calls: calls.join_all().await,
            ended_at,
        }
    }

    /// Whether a target got the call and did not refuse it.
    fn may_have_run(&self, call: &StopCall) -> bool {
        self.mode != TargetMode::Refuse && self.is_passed_on(call)
    }

    fn is_passed_on(&self, call: &StopCall) -> bool {
        let line = format!("x-id: {}\r\n", call.id);
        let mut arrived = self.targets.iter().flat_map(FakeTarget::calls);
        arrived.any(|text| text.contains(&line))
    }

    /// Checks that each call which was read got a whole response, and that a refusal is true.
    fn check(&self) {
        assert!(self.ended_at < GRACE_PERIOD, "{:?}", self.ended_at);
        for call in &self.calls {
            let is_passed_on = self.is_passed_on(call);
            let state = format!("{} at {:?}: {:?}", call.id, call.sent_at, call.status);
            match call.status {
                Some(503) => assert!(!self.may_have_run(call), "{state}, but it may have run"),
                Some(_) => {}
                None => {
                    let is_late = call.sent_at + LOSS_SLACK > self.ended_at;
                    assert!(
                        !is_passed_on && is_late,
                        "{state}, passed on: {is_passed_on}"
                    );
                }
            }
        }
    }

    /// Statuses of the calls sent before `end`, in order of time.
    fn statuses_before(&self, end: Duration) -> Vec<Option<u16>> {
        let mut calls: Vec<_> = self.calls.iter().collect();
        calls.sort_by_key(|call| call.sent_at);
        let calls = calls.into_iter().take_while(|call| call.sent_at < end);
        calls.map(|call| call.status).collect()
    }
}

// Guards against a call that must not run twice and is cut off by a planned stop after it was passed
// on: its caller can't know whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_may_outlast_the_stop_are_refused() {
    let run = StopRun::new("app", "/once/1", TargetMode::AnswerAfter(1_300)).await;
    run.check();
    // The route's timeout is 5 s, the grace period 8 s.
    let early = run.statuses_before(Duration::from_secs(2));
    assert!(early.iter().all(|status| *status == Some(200)), "{early:?}");
}

// Guards against a stream that is cut off by a planned stop which admitted it by the time that a fast
// engine takes: its caller can't repeat it.
#[yare::parameterized(
    on_time = { 160 },
    late = { 500 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn streams_that_may_outlast_the_stop_are_refused(event_pause_ms: u64) {
    let mode = TargetMode::SlowStream(9, event_pause_ms);
    let run = StopRun::new("pool", "/paced/1", mode).await;
    run.check();
    // The route's timeout is 5 s, the grace period 8 s.
    let early = run.statuses_before(Duration::from_secs(2));
    assert!(early.iter().all(|status| *status == Some(200)), "{early:?}");
}

// Guards against a call that waits for capacity although it can no longer end before the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_stream_is_refused_when_the_stop_begins() {
    /// Slots of the engine.
    const SLOTS: usize = 8;
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start("pool", TargetMode::SlowStream(99, 200)).await;
    store.put_target(&target, "ready");
    let gateway = GatewayProcess::start_ready(&store).await;
    let mut running = Vec::new();
    for number in 0..SLOTS {
        let headers = format!("x-id: running-{number}\r\nx-size: 99\r\n");
        running.push(open_stream(gateway.callers, "/patient/1", &headers, "").await);
    }
    until("the slots are taken", || target.open_calls() == SLOTS).await;
    let headers = "x-id: waiting\r\nx-size: 99\r\n";
    let waiting = tokio::spawn(call(gateway.callers, "/patient/1", headers, ""));
    sleep(Duration::from_millis(300)).await;
    assert!(!waiting.is_finished());
    let start = Instant::now();
    let stopping = tokio::spawn(gateway.stop());
    let response = waiting.await.unwrap();
    // Without a slot, it would wait for three times the latency target of 4 s.
    assert!(start.elapsed() < GRACE_PERIOD / 2, "{:?}", start.elapsed());
    assert_eq!(response.status, 503);
    assert_eq!(target.calls().len(), SLOTS);
    drop(running);
    stopping.await.unwrap();
}

// Guards against calls that end without an answer because their targets take longer than the stop.
#[yare::parameterized(
    idempotent = { "app", "/read/1", TargetMode::AnswerAfter(3_000) },
    silent = { "app", "/read/1", TargetMode::Hang },
    quick = { "app", "/once/1", TargetMode::AnswerAfter(30) },
    short = { "app", "/short/1", TargetMode::AnswerAfter(140) },
    silent_stream = { "pool", "/stream/1", TargetMode::Hang },
    refused = { "app", "/once/1", TargetMode::Refuse },
    broken = { "app", "/read/1", TargetMode::Break },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn every_call_that_was_read_is_answered(
    service: &'static str,
    path: &'static str,
    mode: TargetMode,
) {
    StopRun::new(service, path, mode).await.check();
}

// Guards against a response that is cut off because its caller reads slowly: the process may end
// only when its last byte was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gets_its_whole_response() {
    const RESPONSE_BYTES: usize = 7 << 20;
    const PART_BYTES: usize = 64 << 10;
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start("app", TargetMode::LargeAnswer(RESPONSE_BYTES)).await;
    store.put_target(&target, "ready");
    let gateway = GatewayProcess::start_ready(&store).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(PART_BYTES as u32).unwrap();
    let mut stream = socket.connect(gateway.callers).await.unwrap();
    let request =
        b"POST /once/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: a1\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.unwrap();
    until("the call was passed on", || target.calls().len() == 1).await;
    let stopping = tokio::spawn(gateway.stop());
    // Takes about 5.5 s, less than the grace period.
    let mut received = 0;
    let mut part = vec![0; PART_BYTES];
    loop {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        if received >= RESPONSE_BYTES {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(received >= RESPONSE_BYTES, "{received} bytes");
    stopping.await.unwrap();
}
