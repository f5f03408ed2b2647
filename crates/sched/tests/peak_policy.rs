//! Tests of the behaviour of `PeakPolicy` as a whole.

mod support;

use base::{ErrorKind, TimeSpan, TokenCount};
use sched::{DispatchOutcome, PolicySettings, RequestPriority, RoutePolicy, SchedAction};
use support::*;

fn settings() -> PolicySettings {
    PolicySettings::default()
}

/// Guards against dispatching to a full engine instead of letting requests wait at the node.
#[test]
fn requests_wait_at_the_node_when_memory_is_full() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    for number in 0..200 {
        policy.submit(at(10), item(at(10), number, &names));
    }
    let sent = dispatched(&actions(&mut policy)).len();
    assert!(sent > 20 && sent < 150, "{sent}");
    assert_eq!(policy.waiting_count(), 200 - sent);
    policy.on_finished(at(20), &request(0), DispatchOutcome::Cancelled);
    assert_eq!(dispatched(&actions(&mut policy)).len(), 1);
}

/// Guards against a workspace that exceeds its limit of requests in flight.
#[test]
fn stream_limit_holds() {
    let mut policy = policy(settings(), 2);
    let names = candidates(2);
    for number in 0..10 {
        let mut item = item(at(10), number, &names);
        item.stream_limit = 3;
        policy.submit(at(10), item);
    }
    let sent = dispatched(&actions(&mut policy));
    assert_eq!(sent.len(), 3);
    policy.on_finished(at(20), &sent[0].0, DispatchOutcome::Complete);
    assert_eq!(dispatched(&actions(&mut policy)).len(), 1);
}

/// Guards against unbounded growth of the queue of one workspace.
#[test]
fn queue_limit_refuses_at_once() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    for number in 0..4 {
        let mut item = item(at(10), number, &names);
        (item.stream_limit, item.queue_limit) = (1, 2);
        policy.submit(at(10), item);
    }
    let refusals = refused(&actions(&mut policy));
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].0, request(3));
    assert_eq!(refusals[0].1, ErrorKind::WorkspaceLimit);
}

/// Guards against a request that waits past its deadline or is refused only much later.
#[test]
fn deadline_ends_the_wait() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    let mut first = item(at(10), 0, &names);
    first.stream_limit = 1;
    policy.submit(at(10), first);
    let mut second = item(at(10), 1, &names);
    second.stream_limit = 1;
    second.deadline = Some(at(10_000));
    policy.submit(at(10), second);
    assert!(refused(&actions(&mut policy)).is_empty());
    policy.on_tick(at(9_990));
    assert!(refused(&actions(&mut policy)).is_empty());
    policy.on_tick(at(10_000));
    let refusals = refused(&actions(&mut policy));
    assert_eq!(refusals[0].1, ErrorKind::DeadlineExceeded);
}

/// Guards against a withdrawn request that is dispatched later.
#[test]
fn withdrawn_request_is_not_dispatched() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    for number in 0..2 {
        let mut item = item(at(10), number, &names);
        item.stream_limit = 1;
        policy.submit(at(10), item);
    }
    policy.withdraw(at(20), &request(1));
    policy.on_finished(at(30), &request(0), DispatchOutcome::Complete);
    assert_eq!(dispatched(&actions(&mut policy)).len(), 1);
    assert_eq!(policy.waiting_count(), 0);
}

/// Guards against dispatching a request to a target that it excludes, and against endless waiting
/// when no other target is left.
#[test]
fn excluded_targets_get_no_request() {
    let mut policy = policy(settings(), 2);
    let names = candidates(2);
    for number in 0..20 {
        let mut item = item(at(10), number, &names);
        item.excluded = vec![target(0)];
        policy.submit(at(10), item);
    }
    let sent = dispatched(&actions(&mut policy));
    assert_eq!(sent.len(), 20);
    assert!(sent.iter().all(|(_, name)| *name == target(1)));
    let mut last = item(at(10), 99, &names);
    last.excluded = vec![target(0), target(1)];
    policy.submit(at(10), last);
    assert_eq!(refused(&actions(&mut policy))[0].1, ErrorKind::NoTarget);
}

/// Guards against priorities that change with every token.
#[test]
fn priority_falls_with_attained_service() {
    let mut policy = policy(settings(), 1);
    let mut only = item(at(10), 0, &candidates(1));
    only.max_tokens = Some(TokenCount(1_000));
    policy.submit(at(10), only);
    actions(&mut policy);
    for produced in 1..=600 {
        let now = at(10 + u64::from(produced));
        policy.on_progress(now, &request(0), TokenCount(produced));
    }
    let level = |action: SchedAction| match action {
        SchedAction::SetPriority { priority, .. } => priority,
        other => panic!("{other:?}"),
    };
    let levels: Vec<_> = actions(&mut policy).into_iter().map(level).collect();
    assert_eq!(levels, [RequestPriority(1), RequestPriority(2)]);
}

/// Guards against a failing target that keeps getting requests.
#[test]
fn failing_target_is_ejected_and_returns_slowly() {
    let mut policy = policy(settings(), 2);
    let names = candidates(2);
    let mut number = 0;
    let mut failures = 0;
    while failures < 3 {
        assert!(number < 100, "one target gets everything");
        policy.submit(at(10), item(at(10), number, &names));
        let (request, name) = dispatched(&actions(&mut policy)).remove(0);
        let outcome = if name == target(0) {
            DispatchOutcome::Failed
        } else {
            DispatchOutcome::Cancelled
        };
        failures += u32::from(name == target(0));
        policy.on_finished(at(10), &request, outcome);
        number += 1;
    }
    for _ in 0..20 {
        policy.submit(at(20), item(at(20), number, &names));
        number += 1;
    }
    let sent = dispatched(&actions(&mut policy));
    assert!(sent.iter().all(|(_, name)| *name == target(1)));
    policy.submit(at(6_000), item(at(6_000), number, &names));
    assert_eq!(dispatched(&actions(&mut policy))[0].1, target(0));
}

/// Guards against dispatching to another failure domain while the own one has usable targets, and
/// against flooding the other domain when the own one is lost.
#[test]
fn other_domain_gets_a_bounded_share() {
    let mut policy = policy(settings(), 2);
    let mut list = targets(2);
    list[1].domain = "balaju".parse().unwrap();
    policy.on_targets(at(5), &list);
    let names = candidates(2);
    policy.submit(at(10), item(at(10), 0, &names));
    assert_eq!(dispatched(&actions(&mut policy))[0].1, target(0));
    list[0].usable = false;
    policy.on_targets(at(20), &list);
    for number in 1..100 {
        policy.submit(at(30), item(at(30), number, &names));
    }
    let sent = dispatched(&actions(&mut policy));
    assert!(sent.iter().all(|(_, name)| *name == target(1)));
    assert!(!sent.is_empty() && sent.len() <= 16, "{}", sent.len());
}

/// Guards against filling an engine before its memory size is known.
#[test]
fn engine_without_report_gets_few_streams() {
    let mut policy = policy(settings(), 0);
    policy.on_targets(at(5), &targets(1));
    for number in 0..50 {
        policy.submit(at(10), item(at(10), number, &candidates(1)));
    }
    let limit = settings().unreported_stream_limit as usize;
    assert_eq!(dispatched(&actions(&mut policy)).len(), limit);
}

/// Guards against many requests of one workspace that delay the requests of another.
#[test]
fn flood_of_one_workspace_delays_no_other() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    for number in 0..300 {
        policy.submit(at(10), item(at(10), number, &names));
    }
    let mut running = dispatched(&actions(&mut policy));
    let mut other = item(at(20), 900, &names);
    other.workspace = "w1".parse().unwrap();
    policy.submit(at(20), other);
    let mut ends = 0;
    while !running.iter().any(|(name, _)| *name == request(900)) {
        let (first, _) = running.remove(0);
        policy.on_finished(at(30), &first, DispatchOutcome::Cancelled);
        running.extend(dispatched(&actions(&mut policy)));
        ends += 1;
        assert!(ends <= 2, "waited for more than two ends");
    }
}

/// Guards against late refusals and against retry times that do not grow with the load.
#[test]
fn overload_is_refused_early_with_retry_time() {
    let mut policy = policy(settings(), 1);
    let names = candidates(1);
    for number in 0..3_000 {
        let mut item = item(at(10), number, &names);
        item.queue_limit = 10_000;
        item.workspace = format!("w{}", number % 7).parse().unwrap();
        policy.submit(at(10), item);
    }
    let refusals = refused(&actions(&mut policy));
    assert!(!refusals.is_empty());
    assert!(
        refusals
            .iter()
            .all(|refusal| refusal.1 == ErrorKind::Overloaded)
    );
    let long = settings().long_max_wait.as_millis();
    assert!(refusals.iter().all(|refusal| refusal.2 >= long / 5));
    policy.on_tick(at(10) + TimeSpan::from_secs(100));
    assert_eq!(policy.waiting_count(), 0);
}
