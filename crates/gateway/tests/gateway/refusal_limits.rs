//! Targets that fail if they refuse too many calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::RefusalLimit;
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, call, start_setup, until};

/// Calls that a target runs at the same time.
const SLOTS: usize = 4;
/// Time that a call takes.
const WORK_MS: u64 = 40;
/// Time from the first answers until the limit is known everywhere.
const LEARN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(4);

fn limit(gateway: &Gateway) -> Option<RefusalLimit> {
    let core = gateway.server.core();
    let service = "app".parse().unwrap();
    core.with_state(|state, now| state.balancer.refusal_limit(now, &service))
}

// Guards against a limit that only the node knows which got the answer, and one that stays when answers no longer
// state it.
#[tokio::test]
async fn peers_learn_refusal_limits_and_their_end() {
    let (store, targets, first) = start_setup("app", &[TargetMode::Limited(SLOTS, 1, 3)]).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    call(first.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert_eq!(limit(&first), Some(RefusalLimit(3)));
    until("the peer knows the limit", || limit(&second).is_some()).await;
    targets[0].set_mode(TargetMode::Answer);
    call(second.callers, "/once/1", "x-id: a2\r\n", "").await;
    assert_eq!(limit(&second), None);
    until("the peer knows its end", || limit(&first).is_none()).await;
}

/// Sends calls at a rate to all gateways in turn; returns the number of those that were served.
async fn send_load(gateways: &[Gateway], per_second: u64) -> usize {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for sent in 0.. {
        let due = start + Duration::from_micros(1_000_000 * sent / per_second);
        if due > start + LOAD_TIME {
            break;
        }
        sleep(due.saturating_duration_since(Instant::now())).await;
        let address = gateways[sent as usize % gateways.len()].callers;
        let headers = format!("x-id: load-{sent}\r\n");
        calls.spawn(async move { call(address, "/once/1", &headers, "").await.status });
    }
    let statuses = calls.join_all().await;
    statuses.iter().filter(|status| **status == 200).count()
}

/// Sends calls at a rate through four gateways to two targets in each of two failure domains, which state a
/// refusal limit; returns the calls that were served, and the targets.
async fn serve_load(limit: u32, per_second: u64) -> (usize, Vec<FakeTarget>) {
    let store = FakeStore::new();
    store.put_config(1);
    let mut targets = Vec::new();
    for domain in ["patan", "patan", "balaju", "balaju"] {
        let target = FakeTarget::start("app", TargetMode::Limited(SLOTS, WORK_MS, limit)).await;
        store.put_in(&target, domain, 0);
        targets.push(target);
    }
    let gateways = start_gateways(&store).await;
    for (at, gateway) in gateways.iter().enumerate() {
        call(
            gateway.callers,
            "/once/1",
            &format!("x-id: first-{at}\r\n"),
            "",
        )
        .await;
    }
    sleep(LEARN_TIME).await;
    (send_load(&gateways, per_second).await, targets)
}

// Guards against targets that fall over as several nodes send calls on the hope of room. The slots could serve
// 400 calls a second.
#[parameterized(
    calm = { 1, 320 },
    strict_double = { 1, 800 },
    loose_double = { 20, 800 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn targets_with_a_refusal_limit_do_not_fall_over_under_load(limit: u32, per_second: u64) {
    let (served, targets) = serve_load(limit, per_second).await;
    let refusals: Vec<_> = targets.iter().map(FakeTarget::refusals).collect();
    let falls: usize = targets.iter().map(FakeTarget::crashes).sum();
    assert_eq!(falls, 0, "{refusals:?}, {served} served");
}

// Guards against limits that are kept by sending too little.
#[parameterized(calm = { 320 }, double = { 800 })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn targets_with_a_refusal_limit_serve_nearly_as_much_as_others(per_second: u64) {
    let (unlimited, _) = serve_load(u32::MAX, per_second).await;
    let (served, _) = serve_load(1, per_second).await;
    assert!(
        served * 20 >= unlimited * 19,
        "{served} served, {unlimited} without a limit"
    );
}

/// Starts two gateways in each of two failure domains, and waits until they know each other.
async fn start_gateways(store: &Arc<FakeStore>) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = Vec::new();
    for domain in ["patan", "balaju", "patan", "balaju"] {
        let seeds = gateways.first().map(|one| one.peers);
        let gateway = Gateway::start(store, domain, seeds.into_iter().collect()).await;
        gateway.wait_ready().await;
        gateways.push(gateway);
    }
    until("the gateways know each other", || {
        gateways.iter().all(|gateway| {
            let core = gateway.server.core();
            core.with_state(|state, now| state.peers.alive(now).len() == 3)
        })
    })
    .await;
    gateways
}
