//! The queue of waiting calls and the retry budget.

use base::{ClockTime, ServiceName, TimeSpan};
use entry::{CallQueue, QueueTicket, QueuedCall, RetryShare};
use proptest::prelude::*;

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

const START_WITHIN: TimeSpan = TimeSpan::from_secs(1);

fn push(queue: &mut CallQueue, arrived: u64, service: &ServiceName, priority: u8) -> QueueTicket {
    let arrived = ClockTime::new(arrived);
    queue.push(QueuedCall {
        service: service.clone(),
        priority,
        arrived,
        start_by: arrived + START_WITHIN,
        is_quick: false,
        is_move: false,
        workspace: None,
        work: 1,
    })
}

// Guards against calls of low priority that starve behind an endless stream of more urgent ones.
#[test]
fn a_call_that_waited_goes_before_more_urgent_ones() {
    let mut queue = CallQueue::default();
    let low = push(&mut queue, 0, &service(), 2);
    let early = push(&mut queue, 700, &service(), 0);
    push(&mut queue, 900, &service(), 0);
    let now = ClockTime::new(950);
    assert_eq!(queue.peek(now, &service()), Some(early));
    queue.remove(early);
    assert_eq!(queue.peek(now, &service()), Some(low));
    assert_eq!(queue.count_ahead(now, &service(), false), 2);
}

// Guards against calls of one service that wait for room and block those of another.
#[test]
fn services_wait_apart() {
    let other: ServiceName = "app".parse().unwrap();
    let mut queue = CallQueue::default();
    push(&mut queue, 0, &service(), 0);
    let quick = push(&mut queue, 5, &other, 0);
    assert_eq!(queue.peek(ClockTime::new(6), &other), Some(quick));
    assert_eq!(queue.services().len(), 2);
}

// Guards against a queue in which every call is served late, since those that are late already go
// first. Load: 1.5 times as many calls as there is room for, for 30 s.
#[test]
fn calls_that_can_be_on_time_go_before_late_ones() {
    let mut queue = CallQueue::default();
    let mut waiting = Vec::new();
    let (mut on_time, mut late) = (0, 0);
    for ms in 0..30_000 {
        if ms % 20 == 0 {
            waiting.push((push(&mut queue, ms, &service(), 0), ms));
        }
        if ms % 30 == 0
            && let Some(ticket) = queue.peek(ClockTime::new(ms), &service())
        {
            queue.remove(ticket);
            let at = waiting
                .iter()
                .position(|(known, _)| *known == ticket)
                .unwrap();
            let (_, arrived) = waiting.remove(at);
            match ms - arrived <= START_WITHIN.as_millis() {
                true => on_time += 1,
                false => late += 1,
            }
        }
    }
    assert!(late * 50 < on_time, "{on_time} on time, {late} late");
}

// Guards against quick calls that wait behind long ones.
#[test]
fn quick_calls_go_before_long_ones() {
    let mut queue = CallQueue::default();
    let long = push(&mut queue, 0, &service(), 0);
    let quick = queue.push(QueuedCall {
        service: service(),
        priority: 0,
        arrived: ClockTime::new(400),
        start_by: ClockTime::new(900),
        is_quick: true,
        is_move: false,
        workspace: None,
        work: 1,
    });
    assert_eq!(queue.peek(ClockTime::new(500), &service()), Some(quick));
    assert_eq!(queue.count_ahead(ClockTime::new(500), &service(), true), 1);
    // A quick call that is late anyway does not delay one that is not.
    assert_eq!(queue.peek(ClockTime::new(950), &service()), Some(long));
}

proptest! {
    // Guards against retry storms: all nodes together must stay in the budget in every time window.
    #[test]
    fn nodes_together_stay_in_the_budget(
        events in prop::collection::vec((0_u64..300, 0_usize..4, any::<bool>()), 1..400),
    ) {
        const RATIO: f64 = 0.2;
        const EXTRA: f64 = 12.0;
        let window = TimeSpan::from_secs(10);
        let mut shares = vec![RetryShare::new(RATIO, EXTRA, window); 4];
        let mut now = ClockTime::new(60_000);
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        for (pause, node, is_retry) in events {
            now += TimeSpan::new(pause);
            if !is_retry {
                shares[node].record_call(now, &service());
                calls.push(now);
            } else if shares[node].try_take(now, &service(), 4) {
                retries.push(now);
            }
        }
        for end in &retries {
            let inside = |at: &&ClockTime| **at <= *end && end.since(**at) < window;
            let used = retries.iter().filter(inside).count() as f64;
            // Calls count in the same window or the one before it.
            let recent = |at: &&ClockTime| **at <= *end && end.since(**at) < window * 2;
            let offered = calls.iter().filter(recent).count() as f64;
            prop_assert!(used <= RATIO * offered + EXTRA);
        }
    }
}

// Guards against a node that uses up the whole fixed budget, since it does not share it with its
// peers.
#[test]
fn the_fixed_budget_is_shared_by_nodes() {
    let now = ClockTime::new(60_000);
    let mut share = RetryShare::new(0.2, 50.0, TimeSpan::from_secs(10));
    let taken = (0..100)
        .filter(|_| share.try_take(now, &service(), 10))
        .count();
    assert_eq!(taken, 4);
    let later = now + TimeSpan::from_secs(11);
    assert!(share.try_take(later, &service(), 10));
}

// Guards against calls behind one that waits that are tried in another order than they are served.
#[test]
fn the_order_is_that_in_which_calls_are_served() {
    let mut queue = CallQueue::default();
    for (arrived, priority) in [(0, 2), (700, 0), (300, 1), (900, 0), (100, 0)] {
        push(&mut queue, arrived, &service(), priority);
    }
    let now = ClockTime::new(1_250);
    let ordered = queue.ordered(now, &service());
    let mut served = Vec::new();
    while let Some(ticket) = queue.peek(now, &service()) {
        served.push(ticket);
        queue.remove(ticket);
    }
    assert_eq!(ordered, served);
    assert_eq!(served.len(), 5);
}
