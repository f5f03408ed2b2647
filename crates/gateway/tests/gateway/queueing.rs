//! The queue of a placement coordinator: messages of the last build, refusals of calls that would
//! wait for too long, and a change of the coordinator.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, NodeName, ServiceName, TargetName, TimeSpan, TokenCount, TokenRate};
use entry::{
    EngineSpec, MoveSource, PlacementRequest, PlacementScope, QueuedCall, TargetLoad, WaitEstimate,
};
use gateway::{CoordinatorReply, CoordinatorRequest, GatewayCore, StopPlan, encode_extended};
use serde::{Deserialize, Serialize};

use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, post, until,
};

const PLACEMENT_PATH: &str = "/peer/room";
const ENGINE: EngineSpec = EngineSpec {
    slots: 8,
    memory: TokenCount(50_000),
    can_move: true,
    event_tokens: 1,
    copy_rate: TokenRate(100_000),
};
/// Load that fills an engine.
const FULL: TargetLoad = TargetLoad {
    calls: 8,
    tokens: 40_000,
    prefill: 0,
    incoming: 0,
};

/// Placement request as nodes of the last build send and read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LastPlacement {
    service: ServiceName,
    engine: Option<EngineSpec>,
    load: TargetLoad,
    is_quick: bool,
    excluded: Vec<TargetName>,
    move_source: Option<MoveSource>,
    scope: PlacementScope,
    failure_delays: Vec<(TargetName, TimeSpan)>,
}

/// Request to a coordinator as nodes of the last build send and read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LastRequest {
    node: NodeName,
    need: LastPlacement,
    priority: u8,
    waited: TimeSpan,
    start_within: TimeSpan,
    patience: TimeSpan,
}

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

fn load() -> TargetLoad {
    TargetLoad {
        calls: 1,
        tokens: 100,
        prefill: 80,
        incoming: 0,
    }
}

/// Request of a node of the last build for a call that is late already.
fn last_request() -> LastRequest {
    LastRequest {
        node: "old".parse().unwrap(),
        need: LastPlacement {
            service: service(),
            engine: Some(ENGINE),
            load: load(),
            is_quick: false,
            excluded: Vec::new(),
            move_source: None,
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
        },
        priority: 0,
        waited: TimeSpan::new(900),
        start_within: TimeSpan::new(10),
        patience: TimeSpan::new(400),
    }
}

/// The same request of a node of this build.
fn request() -> CoordinatorRequest {
    let last = last_request();
    CoordinatorRequest {
        node: "new".parse().unwrap(),
        placement: PlacementRequest {
            service: last.need.service,
            engine: last.need.engine,
            load: last.need.load,
            is_quick: last.need.is_quick,
            excluded: last.need.excluded,
            move_source: last.need.move_source,
            scope: last.need.scope,
            failure_delays: last.need.failure_delays,
            pace: None,
            workspace: Some("depot".parse().unwrap()),
        },
        priority: last.priority,
        waited: last.waited,
        start_within: last.start_within,
        max_wait: last.patience,
        accepts_refusal: true,
    }
}

async fn ask(gateway: &Gateway, body: &[u8]) -> CallerResponse {
    post(gateway.peers, PLACEMENT_PATH, body).await
}

/// Starts a gateway with one engine.
async fn start_one(mode: TargetMode) -> (FakeTarget, Gateway) {
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start("pool", mode).await;
    store.put_target(&target, "ready");
    (target, Gateway::start_ready(&store).await)
}

/// Counts load on the only engine that is not there.
fn fill_engine(core: &GatewayCore) -> TargetName {
    core.with_state(|state, _| {
        let name = state.balancer.targets()[0].record.name.clone();
        state.balancer.add_load(&name, FULL);
        name
    })
}

fn empty_engine(core: &GatewayCore, name: &TargetName) {
    core.with_state(|state, now| {
        state.balancer.remove_load(name, FULL);
        state.serve_queue(now);
    });
}

/// Records placements and many more arrivals during the last 1.5 s, so that a late call is
/// expected to wait for longer than it can.
fn record_overload(core: &GatewayCore) {
    core.with_state(|state, now| {
        for ago in (0..=30).rev().map(|step| step * 50) {
            let at = ClockTime::new(now.as_millis().saturating_sub(ago));
            let ticket = state.queue.push_at(
                at,
                QueuedCall {
                    service: service(),
                    priority: 0,
                    arrived: at,
                    start_by: at + TimeSpan::from_secs(1),
                    is_quick: false,
                    is_move: false,
                    workspace: None,
                    work: 100,
                },
            );
            state.queue.place(at, ticket);
            (0..4).for_each(|_| state.queue.record_arrival(at, &service()));
        }
    });
}

fn early_refusals(core: &GatewayCore) -> u64 {
    core.with_state(|state, _| state.early_refusals)
}

// Guards against requests of this build that nodes of the last build can't read, and the reverse:
// a domain would have no coordinator while its nodes are replaced.
#[test]
fn requests_can_be_read_by_the_last_build_and_the_reverse() {
    let sent = encode_extended(request()).unwrap();
    let last = rmp_serde::to_vec(&last_request()).unwrap();
    println!("{} bytes, {} in the last build", sent.len(), last.len());
    let read: LastRequest = rmp_serde::from_slice(&sent).unwrap();
    assert_eq!(read.need.load, load());
    assert_eq!(read.patience, request().max_wait);
    let read: CoordinatorRequest = rmp_serde::from_slice(&last).unwrap();
    assert!(!read.accepts_refusal);
    assert_eq!(read.placement.workspace, None);
    assert_eq!(read.max_wait, last_request().patience);
}

// Guards against a refusal that loses its reason on the way to the node of the caller.
#[test]
fn a_refusal_keeps_its_estimate() {
    let reply = CoordinatorReply::Refused {
        retry_after: TimeSpan::new(1_250),
        estimate: WaitEstimate {
            ahead: 12,
            rate: entry::PlacementRate(3_500),
            wait: TimeSpan::new(3_428),
        },
    };
    let sent = rmp_serde::to_vec(&reply).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<CoordinatorReply>(&sent).unwrap(),
        reply
    );
}

// Guards against a reply that nodes of the last build can't read, and against calls of this build
// that wait although they can't be served.
#[tokio::test]
async fn only_requests_that_accept_it_are_refused_early() {
    let (_target, gateway) = start_one(TargetMode::Stream(3)).await;
    let core = gateway.server.core().clone();
    until("the clock has run for 2 s", || {
        core.now() > ClockTime::new(2_000)
    })
    .await;
    fill_engine(&core);
    let last = rmp_serde::to_vec(&last_request()).unwrap();
    let new = encode_extended(request()).unwrap();
    // The estimate is of the moment; on a slow machine it may be outdated when the requests arrive.
    for _ in 0..100 {
        record_overload(&core);
        let (first, second, third) =
            tokio::join!(ask(&gateway, &last), ask(&gateway, &last), async {
                until("the others wait", || {
                    core.with_state(|state, _| state.waiters.len() == 2)
                })
                .await;
                ask(&gateway, &new).await
            });
        for reply in [first, second] {
            assert!(reply.text.contains("Waiting"), "{}", reply.text);
        }
        if third.text.contains("Refused") {
            break;
        }
        assert!(third.text.contains("Waiting"), "{}", third.text);
    }
    assert_eq!(early_refusals(&core), 1);
    let is_empty = || core.with_state(|state, _| state.waiters.is_empty());
    until("no call waits", is_empty).await;
}

// Guards against a call that is refused although an engine has room, since a call ahead of it can't
// use that engine.
#[tokio::test]
async fn a_call_is_not_refused_while_an_engine_has_room() {
    let (_target, gateway) = start_one(TargetMode::Stream(3)).await;
    let core = gateway.server.core().clone();
    until("the clock has run for 2 s", || {
        core.now() > ClockTime::new(2_000)
    })
    .await;
    let name = core.with_state(|state, _| state.balancer.targets()[0].record.name.clone());
    let mut other = last_request();
    other.need.excluded = vec![name];
    let other = rmp_serde::to_vec(&other).unwrap();
    let new = encode_extended(request()).unwrap();
    // Some requests come at moments without an estimate; those wait or are placed as well.
    for _ in 0..5 {
        record_overload(&core);
        let (other, new) = tokio::join!(ask(&gateway, &other), async {
            until("the other waits", || {
                core.with_state(|state, _| state.waiters.len() == 1)
            })
            .await;
            ask(&gateway, &new).await
        });
        assert!(other.text.contains("Waiting"), "{}", other.text);
        assert!(!new.text.contains("Refused"), "{}", new.text);
    }
    assert_eq!(early_refusals(&core), 0);
}

// Guards against a call that is refused and still reaches an engine.
#[tokio::test]
async fn a_refused_call_reaches_no_engine() {
    let (target, gateway) = start_one(TargetMode::Stream(3)).await;
    let core = gateway.server.core().clone();
    let name = fill_engine(&core);
    let calls = (0..12).map(|at| {
        let headers = format!("x-id: g{at}\r\nx-size: 1000\r\n");
        let callers = gateway.callers;
        tokio::spawn(async move { call(callers, "/stream/1", &headers, "").await })
    });
    let calls: Vec<_> = calls.collect();
    until("calls wait", || {
        core.with_state(|state, _| state.waiters.len() > 4)
    })
    .await;
    record_overload(&core);
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!(answer.status, 429, "{}", answer.text);
        assert!(answer.text.contains("retry-after"));
    }
    empty_engine(&core, &name);
    until("no call waits", || {
        core.with_state(|state, _| state.waiters.is_empty())
    })
    .await;
    let answer = call(
        gateway.callers,
        "/stream/1",
        "x-id: last\r\nx-size: 9\r\n",
        "",
    )
    .await;
    assert_eq!(answer.status, 200);
    assert_eq!(target.calls().len(), 1);
}

fn is_coordinator(gateway: &Gateway) -> bool {
    let core = gateway.server.core();
    core.with_state(|state, now| state.is_coordinator(now))
}

async fn start_two(target: &FakeTarget) -> (Arc<FakeStore>, Gateway, Gateway) {
    let store = FakeStore::new();
    store.put_config(1);
    store.put_target(target, "ready");
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    (store, first, second)
}

async fn generate(address: SocketAddr) -> CallerResponse {
    call(address, "/stream/1", "x-id: g1\r\nx-size: 10\r\n", "").await
}

// Guards against a new coordinator that refuses calls before it knows how fast calls are placed,
// and against a call that waits at the old one and is lost or runs twice.
#[tokio::test]
async fn a_new_coordinator_refuses_nothing_at_first() {
    let target = FakeTarget::start("pool", TargetMode::Stream(3)).await;
    let (_store, first, second) = start_two(&target).await;
    until("one node has another one as its coordinator", || {
        is_coordinator(&first) != is_coordinator(&second)
    })
    .await;
    let (coordinator, follower) = match is_coordinator(&first) {
        true => (&first, &second),
        false => (&second, &first),
    };
    let cores = [coordinator, follower].map(|gateway| gateway.server.core().clone());
    let names = cores.each_ref().map(|core| fill_engine(core));
    let callers = follower.callers;
    let pending = tokio::spawn(async move { generate(callers).await });
    until("the call waits at the coordinator", || {
        cores[0].with_state(|state, _| !state.waiters.is_empty())
    })
    .await;
    cores[0].begin_stop(StopPlan::new(cores[0].now(), TimeSpan::from_secs(8)));
    until("the other node is the coordinator", || {
        is_coordinator(follower)
    })
    .await;
    cores
        .iter()
        .zip(&names)
        .for_each(|(core, name)| empty_engine(core, name));
    let answer = pending.await.unwrap();
    // On a slow machine the call may have waited for three times its latency target by now.
    let calls = target.calls().len();
    match answer.status {
        200 => assert_eq!(calls, 1),
        status => assert_eq!((status, calls), (429, 0), "{}", answer.text),
    }
    assert_eq!(early_refusals(&cores[1]), 0);
}
