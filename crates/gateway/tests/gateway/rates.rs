//! Targets that name the rate of calls that they accept from all gateways together.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CallRate, IncarnationNumber};
use gateway::RateNotice;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, call, open_stream, until};

/// Time after a target first named a rate from which on it has to be kept.
const AGREE_WAIT: Duration = Duration::from_secs(3);
/// Span over which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the calls in a window may exceed what the rate allows, and calls beyond that.
const TOLERANCE: (f64, usize) = (1.5, 5);
/// Pause between two calls of one gateway.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of calls that arrived within any window from `start` on.
fn busiest_window(target: &FakeTarget, start: Instant) -> usize {
    let mut arrivals = target.arrivals();
    arrivals.retain(|at| *at >= start);
    let counts = arrivals.iter().enumerate().map(|(index, first)| {
        let rest = arrivals[index..].iter();
        rest.take_while(|at| **at < *first + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Largest number of calls in a window that `rate`, in calls a second, allows.
fn allowed(rate: f64) -> usize {
    (TOLERANCE.0 * rate * WINDOW.as_secs_f64()) as usize + TOLERANCE.1
}

/// Starts gateways in these failure domains, all with the first as seed.
pub(crate) async fn start_gateways(store: &Arc<FakeStore>, domains: &[&str]) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = Vec::new();
    for domain in domains {
        let seeds = gateways.first().map(|first| first.peers);
        gateways.push(Gateway::start(store, domain, seeds.into_iter().collect()).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    gateways
}

/// Makes calls through each of the gateways for `span`; returns how many of them got each status.
pub(crate) async fn press(
    gateways: &[Gateway],
    path: &'static str,
    span: Duration,
) -> Vec<(u16, usize)> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + span;
    let mut number = 0;
    while Instant::now() < end {
        for gateway in gateways {
            number += 1;
            let callers = gateway.callers;
            let headers = format!("x-id: a{number}\r\nx-size: 3\r\n");
            calls.spawn(async move { call(callers, path, &headers, "").await.status });
        }
        sleep(CALL_INTERVAL).await;
    }
    let mut counts: Vec<(u16, usize)> = Vec::new();
    for status in calls.join_all().await {
        match counts.binary_search_by_key(&status, |(known, _)| *known) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (status, 1)),
        }
    }
    counts
}

// Guards against gateways that together send a target more calls than the rate that it names.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_together_keep_the_rate_that_a_target_names() {
    let store = FakeStore::new();
    store.put_config(1);
    let limited = FakeTarget::start("app", TargetMode::Answer).await;
    let free = FakeTarget::start("app", TargetMode::Answer).await;
    store.put_target(&limited, "ready");
    store.put_target(&free, "ready");
    let gateways = start_gateways(&store, &DOMAINS).await;
    limited.name_rate(Some("2000"));
    let start = Instant::now();
    let counts = press(&gateways, "/once/1", Duration::from_secs(12)).await;
    let busiest = busiest_window(&limited, start + AGREE_WAIT);
    assert!(busiest <= allowed(2.0), "{busiest} calls in {WINDOW:?}");
    assert_eq!(counts.len(), 1, "calls go to the other target: {counts:?}");
    assert_eq!(counts[0].0, 200);
}

/// Starts a store, a target of `service` that names `rate`, and gateways in these failure domains,
/// which have been told the rate.
async fn start_limited(
    service: &'static str,
    mode: TargetMode,
    rate: &'static str,
    domains: &[&str],
) -> (Arc<FakeStore>, FakeTarget, Vec<Gateway>) {
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start(service, mode).await;
    store.put_target(&target, "ready");
    let gateways = start_gateways(&store, domains).await;
    target.name_rate(Some(rate));
    let path = match service {
        "app" => "/once/1",
        _ => "/stream/1",
    };
    press(&gateways[..1], path, CALL_INTERVAL).await;
    sleep(AGREE_WAIT).await;
    (store, target, gateways)
}

/// Number of calls that arrived at a target from `start` on.
pub(crate) fn arrived_since(target: &FakeTarget, start: Instant) -> usize {
    let arrivals = target.arrivals();
    arrivals.iter().filter(|at| **at >= start).count()
}

/// The failure domains of six gateways.
pub(crate) const DOMAINS: [&str; 6] = [
    "patan",
    "patan",
    "balaju",
    "balaju",
    "thapathali",
    "thapathali",
];

// Guards against gateways that round a rate below one call a second up, each for itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_below_one_call_a_second_is_kept() {
    for (rate, calls_a_second) in [("400", 0.4), ("0", 0.0)] {
        let (_store, target, gateways) =
            start_limited("app", TargetMode::Answer, rate, &DOMAINS).await;
        let start = Instant::now();
        press(&gateways, "/once/1", Duration::from_secs(9)).await;
        let busiest = busiest_window(&target, start);
        assert!(busiest <= allowed(calls_a_second), "{rate}: {busiest}");
    }
}

// Guards against a design that keeps a rate by serving little, or by giving each gateway a fixed
// part that one with all the demand can't exceed.
#[tokio::test(flavor = "multi_thread")]
async fn one_gateway_may_use_the_whole_rate_and_another_after_it() {
    const RATE: f64 = 5.0;
    let span = Duration::from_secs(8);
    let (_store, target, gateways) =
        start_limited("app", TargetMode::Answer, "5000", &DOMAINS).await;
    let start = Instant::now();
    for gateway in [&gateways[0..1], &gateways[5..6]] {
        // The first span includes the warm-up of the bucket.
        press(gateway, "/once/1", span).await;
        let from = Instant::now();
        press(gateway, "/once/1", span).await;
        let served = arrived_since(&target, from) as f64 / (RATE * span.as_secs_f64());
        println!("served share of the rate: {served:.2}");
        assert!(served >= 0.8, "{served:.2} of the rate used");
    }
    let busiest = busiest_window(&target, start);
    assert!(busiest <= allowed(RATE), "{busiest} calls");
}

// Guards against gateways that go on by an older rate after it fell, rose or ended.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_follow_a_rate_that_changes() {
    let (_store, target, gateways) =
        start_limited("app", TargetMode::Answer, "8000", &DOMAINS).await;
    press(&gateways, "/once/1", Duration::from_secs(5)).await;
    target.name_rate(Some("1000"));
    press(&gateways, "/once/1", AGREE_WAIT).await;
    let fallen = Instant::now();
    press(&gateways, "/once/1", Duration::from_secs(7)).await;
    let busiest = busiest_window(&target, fallen);
    assert!(
        busiest <= allowed(1.0),
        "{busiest} calls after the rate fell"
    );
    target.name_rate(Some("6000"));
    press(&gateways, "/once/1", AGREE_WAIT).await;
    let risen = Instant::now();
    press(&gateways, "/once/1", Duration::from_secs(6)).await;
    let busiest = busiest_window(&target, risen);
    assert!(
        busiest <= allowed(6.0),
        "{busiest} calls after the rate rose"
    );
    let served = arrived_since(&target, risen);
    assert!(served >= 18, "{served} calls in 6 s at 6 a second");
    target.name_rate(None);
    press(&gateways, "/once/1", AGREE_WAIT).await;
    let counts = press(&gateways, "/once/1", Duration::from_secs(2)).await;
    assert_eq!(counts.len(), 1, "all calls are served again: {counts:?}");
}

// Guards against a gateway that does not know the rate because it joined or was told last.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_join_keep_the_rate() {
    let (store, target, mut gateways) =
        start_limited("app", TargetMode::Answer, "2000", &DOMAINS[..3]).await;
    let start = Instant::now();
    for domain in ["balaju", "patan", "thapathali"] {
        let joined = Gateway::start(&store, domain, vec![gateways[0].peers]).await;
        joined.wait_ready().await;
        gateways.push(joined);
        press(&gateways, "/once/1", Duration::from_secs(3)).await;
    }
    let busiest = busiest_window(&target, start);
    assert!(busiest <= allowed(2.0), "{busiest} calls");
}

// Guards against a rate that can't be read and stops the process, lifts the limit or is taken for
// no calls at all.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_rate_keeps_the_last_one() {
    let (_store, target, gateways) =
        start_limited("app", TargetMode::Answer, "2000", &DOMAINS[..3]).await;
    target.name_rate(Some("few"));
    let start = Instant::now();
    press(&gateways, "/once/1", Duration::from_secs(9)).await;
    let busiest = busiest_window(&target, start);
    assert!(busiest <= allowed(2.0), "{busiest} calls");
    assert!(arrived_since(&target, start) >= 5);
}

// Guards against callers that wait at a service whose targets are all at their rates, and against
// retry advice that lets them all return at once.
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_the_rate_are_refused_at_once_and_return_one_by_one() {
    for (service, path) in [
        ("app", "/once/1"),
        ("app", "/read/1"),
        ("pool", "/stream/1"),
    ] {
        let mode = match service {
            "app" => TargetMode::Answer,
            _ => TargetMode::Stream(3),
        };
        let (_store, _target, gateways) = start_limited(service, mode, "1000", &DOMAINS[..1]).await;
        let mut advised = Vec::new();
        for id in 0..12 {
            let headers = format!("x-id: b{id}\r\nx-size: 3\r\n");
            let start = Instant::now();
            let answer = call(gateways[0].callers, path, &headers, "").await;
            if answer.status != 200 {
                assert!(matches!(answer.status, 429 | 503), "{path}");
                assert!(start.elapsed() < Duration::from_millis(350), "{path}");
                let line = answer
                    .text
                    .lines()
                    .find_map(|line| line.strip_prefix("retry-after: "));
                advised.push(line.unwrap().trim().parse::<u64>().unwrap());
            }
        }
        assert!(advised.len() >= 8, "{path}: {advised:?}");
        // The n-th refused caller finds the n-th place, at one a second.
        for (number, seconds) in advised.iter().enumerate() {
            let expected = number as u64 + 1;
            assert!(seconds.abs_diff(expected) <= 3, "{path}: {advised:?}");
        }
    }
}

// Guards against a move that sends an engine more requests than the rate that it names: copies,
// the resumed call at its destination and status reports count like calls of callers.
#[tokio::test(flavor = "multi_thread")]
async fn moves_keep_the_rates_of_both_engines() {
    const EVENTS: u64 = 600;
    let store = FakeStore::new();
    store.put_config(1);
    let source = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    store.put_target(&source, "ready");
    let gateway = Gateway::start_ready(&store).await;
    let mut streams = Vec::new();
    for id in 0..8 {
        let headers = format!("x-id: m{id}\r\nx-size: 600\r\n");
        streams.push(open_stream(gateway.callers, "/stream/1", &headers, "").await);
    }
    until("the streams run", || source.open_calls() == 8).await;
    let other = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let start = Instant::now();
    for target in [&source, &other] {
        let name = target.name.parse().unwrap();
        let notice = RateNotice::Limited(CallRate(500));
        let core = gateway.server.core();
        store.put_target(
            target,
            if target.address == source.address {
                "leaving"
            } else {
                "ready"
            },
        );
        until("the target is known", || {
            core.with_state(|state, _| state.balancer.target(&name).is_some())
        })
        .await;
        core.record_target_rate(&name, IncarnationNumber(1), &notice, core.now());
    }
    other.name_rate(Some("500"));
    sleep(Duration::from_secs(6)).await;
    for target in [&source, &other] {
        let busiest = busiest_window(target, start);
        assert!(busiest <= allowed(0.5), "{} of {}", busiest, target.name);
    }
    drop(streams);
}
