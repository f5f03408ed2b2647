//! Event streams: moves to another engine, lost streams and the shutdown of the gateway.

use base::TimeSpan;
use gateway::StopPlan;

use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, start_setup, until,
};

/// Number of events of a stream.
const EVENTS: u64 = 150;

/// Numbers of the events that a caller got, and whether the stream ended as complete.
fn events(answer: &CallerResponse) -> (Vec<u64>, bool) {
    let lines = answer.text.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    let ids = ids.map(|id| id.parse().unwrap()).collect();
    (ids, answer.text.ends_with("0\r\n\r\n"))
}

/// Makes a stream call and reads it to its end.
async fn stream(address: std::net::SocketAddr) -> CallerResponse {
    call(address, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
}

// Guards against lost, repeated or reordered events, and against two engines that generate at once,
// when the engine of a stream leaves.
#[tokio::test]
async fn a_stream_moves_off_a_leaving_engine() {
    let (store, mut targets, gateway) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let pending = tokio::spawn(stream(gateway.callers));
    until("the stream runs", || targets[0].open_calls() == 1).await;
    let second = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    store.put_target(&second, "ready");
    targets.push(second);
    let core = gateway.server.core();
    until("the second engine is known", || {
        core.with_state(|state, _| state.balancer.targets().len() == 2)
    })
    .await;
    store.put_target(&targets[0], "leaving");
    let answer = pending.await.unwrap();
    let expected: Vec<u64> = (1..=EVENTS).collect();
    assert_eq!(events(&answer), (expected, true));
    assert_eq!(targets[1].calls().len(), 1);
    assert_eq!(targets[0].open_calls(), 0);
}

// Guards against a gateway that can't reach the store and learns that an engine is leaving only when
// its streams break: it has to ask its engines for their state.
#[tokio::test]
async fn a_gateway_without_store_asks_its_engines() {
    let (store, targets, gateway) =
        start_setup("pool", &[TargetMode::Stream(320), TargetMode::Stream(320)]).await;
    let pending = tokio::spawn(stream(gateway.callers));
    let running = |target: &&FakeTarget| target.open_calls() == 1;
    until("the stream runs", || {
        targets.iter().any(|one| running(&one))
    })
    .await;
    store
        .is_down
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let source = targets.iter().find(running).unwrap();
    source.set_leaving();
    let answer = pending.await.unwrap();
    assert_eq!(events(&answer), ((1..=320).collect(), true));
    assert!(targets.iter().all(|target| target.calls().len() == 1));
}

// Guards against a stream that breaks off and looks complete to its caller.
#[tokio::test]
async fn a_lost_stream_does_not_look_complete() {
    let (_store, targets, gateway) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let pending = tokio::spawn(stream(gateway.callers));
    until("the stream runs", || targets[0].open_calls() == 1).await;
    // The engine stops the generation although the gateway did not ask for it.
    let _ = gateway::GatewayPorts::clone(&gateway.server.core().ports)
        .engines
        .copy_kv_cache(
            targets[0].address,
            &"g1".parse().unwrap(),
            targets[0].address,
            true,
        )
        .await;
    let answer = pending.await.unwrap();
    let (ids, is_complete) = events(&answer);
    assert!(!is_complete);
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
}

// Guards against accepting streams during shutdown that can't end in time, and against refusing those
// that can.
#[tokio::test]
async fn a_stopping_gateway_finishes_streams_and_refuses_long_ones() {
    let (_store, targets, gateway) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let pending = tokio::spawn(stream(gateway.callers));
    until("the stream runs", || targets[0].open_calls() == 1).await;
    let (callers, ready) = (gateway.callers, gateway.ready);
    let core = gateway.server.core().clone();
    let stopping = tokio::spawn(gateway.server.stop());
    until("the gateway is stopping", || core.is_stopping()).await;
    assert_eq!(call(ready, "/", "", "").await.status, 503);
    let long_with_short_hint = "x-id: g2\r\nx-size: 1000\r\nx-hint: 9\r\n";
    let refused = call(callers, "/stream/1", long_with_short_hint, "").await;
    assert_eq!(refused.status, 503);
    targets[0].set_mode(TargetMode::Stream(3));
    let short = call(callers, "/stream/1", "x-id: g3\r\nx-size: 9\r\n", "").await;
    assert_eq!(events(&short), (vec![1, 2, 3], true));
    let answer = pending.await.unwrap();
    assert_eq!(events(&answer), ((1..=EVENTS).collect(), true));
    stopping.await.unwrap();
    assert_eq!(targets[0].calls().len(), 2);
}

// Guards against a call that is sent to a target just before the process ends, which would break it.
#[tokio::test]
async fn a_closing_gateway_refuses_new_calls() {
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    store.put_target(&target, "ready");
    let gateway = Gateway::start_ready(&store).await;
    let core = gateway.server.core();
    core.begin_stop(StopPlan::new(core.now(), TimeSpan::from_secs(8)));
    core.close();
    let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 503);
    assert!(answer.text.contains("retry-after"));
    assert!(target.calls().is_empty());
}
