//! Paces of engines, from the streams of one node to the choices of another.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan, TokenCount, TokenRate};
use entry::{
    EngineSpec, PaceNeed, PaceReport, PaceSample, PlacementRequest, PlacementScope, TargetLoad,
};
use gateway::{CoordinatorRequest, encode_extended};

use tokio::time::sleep;

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, call, post, until};

const EVENTS: u64 = 40;

fn is_coordinator(gateway: &Gateway) -> bool {
    let core = gateway.server.core();
    core.with_state(|state, now| state.is_coordinator(now))
}

/// Gaps of an engine that a node knows of.
fn known_gaps(gateway: &Gateway, engine: &TargetName) -> f64 {
    let core = gateway.server.core();
    core.with_state(|state, now| {
        let pace = state.balancer.engine_pace(engine);
        pace.map_or(0.0, |pace| pace.weight(now))
    })
}

async fn stream(address: SocketAddr, path: &str) -> u16 {
    let headers = "x-id: g1\r\nx-size: 100\r\n";
    call(address, path, headers, "").await.status
}

// Guards against gaps that are measured, collected or sent to no effect: the coordinator has to learn
// of those of a stream that another node relays, and of none without a pause limit.
#[tokio::test]
async fn the_coordinator_learns_the_gaps_of_other_nodes() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let store = FakeStore::new();
    store.put_config(1);
    store.put_target(&target, "ready");
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    until("one node is the coordinator of both", || {
        is_coordinator(&first) != is_coordinator(&second)
    })
    .await;
    let (coordinator, follower) = match is_coordinator(&first) {
        true => (&first, &second),
        false => (&second, &first),
    };
    let engine: TargetName = target.name.parse().unwrap();
    assert_eq!(stream(follower.callers, "/stream/1").await, 200);
    assert_eq!(known_gaps(follower, &engine), 0.0);
    assert_eq!(stream(follower.callers, "/paced/1").await, 200);
    until("the coordinator knows the gaps", || {
        known_gaps(coordinator, &engine) > 1.0
    })
    .await;
}

// Guards against a slow engine that the coordinators of other failure domains do not learn of.
#[tokio::test]
async fn other_domains_learn_of_a_slow_engine() {
    let store = FakeStore::new();
    store.put_config(1);
    let mut engines: Vec<TargetName> = Vec::new();
    let mut targets = Vec::new();
    for _ in 0..3 {
        let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
        store.put_target(&target, "ready");
        engines.push(target.name.parse().unwrap());
        targets.push(target);
    }
    let local = Gateway::start_ready(&store).await;
    let remote = Gateway::start(&store, "thimi", vec![local.peers]).await;
    remote.wait_ready().await;
    let node: NodeName = "n7".parse().unwrap();
    let add = |now: ClockTime| {
        local.server.core().with_state(|state, _| {
            for (at, engine) in engines.iter().enumerate() {
                let report = PaceReport {
                    target: engine.clone(),
                    incarnation: run_of(state.balancer.target(engine)),
                    sample: PaceSample {
                        gaps: 60,
                        late_gaps: u32::from(at == 0),
                        typical_gap: TimeSpan::new(if at == 0 { 60 } else { 30 }),
                    },
                };
                state.balancer.add_paces(now, &node, &[report]);
            }
        });
    };
    until("the other domain knows the slow engine", || {
        add(local.server.core().now());
        let core = remote.server.core();
        core.with_state(|state, _| {
            let found = state.balancer.target(&engines[0]);
            found.is_some_and(|one| one.pace.is_known && one.pace.ratio > 1.5)
        })
    })
    .await;
}

fn run_of(state: Option<&entry::TargetState>) -> IncarnationNumber {
    state.map_or(IncarnationNumber(0), |state| state.record.incarnation)
}

/// Request of another node for room for a long call that is on time if it is placed within this time
/// of its arrival 100 ms ago.
fn room_request(start_within_ms: u64) -> Vec<u8> {
    encode_extended(CoordinatorRequest {
        node: "n9".parse().unwrap(),
        placement: PlacementRequest {
            service: "pool".parse().unwrap(),
            engine: Some(EngineSpec {
                slots: 8,
                memory: TokenCount(50_000),
                can_move: true,
                event_tokens: 1,
                copy_rate: TokenRate(100_000),
            }),
            load: TargetLoad {
                calls: 1,
                tokens: 4_000,
                prefill: 0,
                incoming: 0,
            },
            is_quick: false,
            excluded: Vec::new(),
            move_source: None,
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
            workspace: None,
            pace: Some(PaceNeed {
                pause_limit: TimeSpan::new(180),
                latency_target: TimeSpan::new(1_800),
                events_left: 187,
                start_by: ClockTime::default(),
            }),
        },
        priority: 0,
        waited: TimeSpan::new(100),
        start_within: TimeSpan::new(start_within_ms),
        max_wait: TimeSpan::new(5_000),
        accepts_refusal: true,
    })
    .unwrap()
}

// Guards against a call that waits for a fast engine and blocks those behind it, which could run on
// a slow one; and against a call that takes the slow engine although it can be on time elsewhere.
#[tokio::test]
async fn a_call_that_waits_for_a_fast_engine_blocks_no_late_one() {
    let store = FakeStore::new();
    store.put_config(1);
    let mut engines: Vec<TargetName> = Vec::new();
    let mut targets = Vec::new();
    for _ in 0..2 {
        let target = FakeTarget::start("pool", TargetMode::Hang).await;
        store.put_target(&target, "ready");
        engines.push(target.name.parse().unwrap());
        targets.push(target);
    }
    let gateway = Gateway::start_ready(&store).await;
    let node: NodeName = "n7".parse().unwrap();
    let core = gateway.server.core();
    let add = |late_gaps: u32| {
        core.with_state(|state, now| {
            for (at, engine) in engines.iter().enumerate() {
                let report = PaceReport {
                    target: engine.clone(),
                    incarnation: run_of(state.balancer.target(engine)),
                    sample: PaceSample {
                        gaps: 60,
                        late_gaps: if at == 0 { late_gaps } else { 0 },
                        typical_gap: TimeSpan::new(if at == 0 { 60 } else { 30 }),
                    },
                };
                state.balancer.add_paces(now, &node, &[report]);
            }
        });
    };
    add(0);
    until("the slow engine is known", || {
        core.with_state(|state, _| state.balancer.target(&engines[0]).unwrap().pace.is_uneven)
    })
    .await;
    add(3);
    core.with_state(|state, _| {
        let full = TargetLoad {
            calls: 8,
            tokens: 40_000,
            prefill: 0,
            incoming: 0,
        };
        state.balancer.add_load(&engines[1], full);
    });
    until("long calls avoid the slow engine", || {
        core.with_state(|state, _| state.balancer.target(&engines[0]).unwrap().pace.is_avoided)
    })
    .await;
    let (on_time, late) = (room_request(900), room_request(0));
    // A coordinator holds a request for 150 ms, so that one of these waits as long as the late one.
    let waiting = |delay_ms: u64| {
        let on_time = &on_time;
        let peers = gateway.peers;
        async move {
            sleep(Duration::from_millis(delay_ms)).await;
            post(peers, "/peer/room", on_time).await
        }
    };
    let late_one = async {
        sleep(Duration::from_millis(40)).await;
        post(gateway.peers, "/peer/room", &late).await
    };
    let (first, next, second) = tokio::join!(waiting(0), waiting(100), late_one);
    assert!(first.text.contains("Waiting"), "{}", first.text);
    assert!(next.text.contains("Waiting"), "{}", next.text);
    assert!(second.text.contains("Granted"), "{}", second.text);
    assert!(second.text.contains(engines[0].as_str()));
}
