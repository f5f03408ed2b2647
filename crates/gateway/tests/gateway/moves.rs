//! Moves of generations off engines that leave at short notice.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{TargetName, TimeSpan};
use entry::{MoveSource, PlacementRequest, PlacementScope, TargetLoad};
use gateway::{CopyOutcome, QueueRequest};
use tokio::task::JoinHandle;

use crate::coordinators::{add_silent_coordinator, has_other_coordinator};
use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, start_setup, until,
};

/// Number of events of a stream, 10 ms apart.
const EVENTS: u64 = 250;

/// An engine with one running stream, another engine, and the gateway that relays the stream.
struct MoveSetup {
    store: Arc<FakeStore>,
    source: FakeTarget,
    other: FakeTarget,
    gateway: Gateway,
    pending: JoinHandle<CallerResponse>,
}

impl MoveSetup {
    async fn start() -> Self {
        Self::start_sized("x-id: g1\r\nx-size: 1000\r\n").await
    }

    /// Like `start`, with these headers of the call.
    async fn start_sized(headers: &'static str) -> Self {
        let (store, mut targets, gateway) =
            start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
        let source = targets.remove(0);
        let callers = gateway.callers;
        let pending = tokio::spawn(async move { call(callers, "/stream/1", headers, "").await });
        until("the stream runs", || source.open_calls() == 1).await;
        let other = Self::add_engine(&store, &gateway).await;
        Self {
            store,
            source,
            other,
            gateway,
            pending,
        }
    }

    /// Adds an engine that the gateway knows from then on.
    async fn add_engine(store: &FakeStore, gateway: &Gateway) -> FakeTarget {
        let engine = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
        store.put_target(&engine, "ready");
        let core = gateway.server.core();
        let name = engine.name.parse().unwrap();
        until("the engine is known", || {
            core.with_state(|state, _| state.balancer.target(&name).is_some())
        })
        .await;
        engine
    }

    fn leave(&self) {
        self.store.put_target(&self.source, "leaving");
    }
}

/// Identifiers of the events that a caller got.
fn event_ids(response: &CallerResponse) -> Vec<u64> {
    let lines = response.text.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Whether a caller got each event once and in order, from the first to the last.
fn is_whole(response: &CallerResponse) -> bool {
    event_ids(response) == (1..=EVENTS).collect::<Vec<_>>() && response.text.ends_with("0\r\n\r\n")
}

// Guards against giving up a generation that its engine does not know yet, since it began or
// resumed there just now: three attempts were used up within a millisecond.
#[tokio::test]
async fn a_run_that_the_engine_does_not_know_yet_is_moved_later() {
    let setup = MoveSetup::start().await;
    let unknown = [
        CopyOutcome::Unknown,
        CopyOutcome::Busy,
        CopyOutcome::Unknown,
    ];
    setup.source.script_copies(unknown);
    setup
        .source
        .script_copies([CopyOutcome::Unknown, CopyOutcome::Unknown]);
    setup.leave();
    assert!(is_whole(&setup.pending.await.unwrap()));
    assert_eq!(setup.source.copies(), 6);
    // The requests after the call: the report, five copies with pauses after them, and the move.
    let arrivals = setup.source.arrivals();
    let span = *arrivals.last().unwrap() - arrivals[1];
    assert!(span >= Duration::from_millis(250), "{span:?}");
    assert_eq!(setup.other.calls().len(), 1);
}

// Guards against copies that are requested again and again to an engine without room, and against
// giving up the generation after that.
#[tokio::test]
async fn engines_without_room_are_asked_once_in_a_while() {
    let setup = MoveSetup::start().await;
    let third = MoveSetup::add_engine(&setup.store, &setup.gateway).await;
    let full = || CopyOutcome::NoRoom { handle: None };
    setup.source.script_copies([full(), full(), full(), full()]);
    setup.leave();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(setup.source.copies(), 2, "each engine is asked once");
    assert!(is_whole(&setup.pending.await.unwrap()));
    assert_eq!(setup.other.calls().len() + third.calls().len(), 1);
}

// Guards against a generation that is given up because the answer to the copy was lost, and against
// two engines that run it.
#[tokio::test]
async fn a_lost_answer_to_the_copy_leads_to_another_copy() {
    let setup = MoveSetup::start().await;
    let third = MoveSetup::add_engine(&setup.store, &setup.gateway).await;
    let reason = "response lost".to_owned();
    setup.source.script_copies([CopyOutcome::Lost { reason }]);
    setup.leave();
    assert!(is_whole(&setup.pending.await.unwrap()));
    assert_eq!(setup.source.copies(), 2);
    assert_eq!(setup.other.calls().len() + third.calls().len(), 1);
}

// Guards against a generation that looks complete, or runs twice, when its engine ends before the
// notice that it gave.
#[tokio::test]
async fn an_engine_that_ends_early_loses_its_generation_once() {
    let setup = MoveSetup::start().await;
    setup.source.set_copy_time(Duration::from_millis(400));
    setup.source.leave_in(TimeSpan::from_secs(2));
    setup.leave();
    let name = setup.other.name.parse().unwrap();
    let core = setup.gateway.server.core().clone();
    until("the copy runs", || {
        core.with_state(|state, _| {
            let target = state.balancer.target(&name);
            target.is_some_and(|one| one.total().incoming > 0)
        })
    })
    .await;
    setup.source.crash();
    let response = setup.pending.await.unwrap();
    assert!(!response.text.ends_with("0\r\n\r\n"));
    let ids = response
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().unwrap()).collect();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert!(setup.other.calls().is_empty());
    until("the load is removed", || {
        core.with_state(|state, _| {
            let target = state.balancer.target(&name);
            target.is_some_and(|one| one.total().is_empty())
        })
    })
    .await;
}

// Guards against a generation that goes on with a response that is none from its new engine.
#[yare::parameterized(
    beyond = { "600 Beyond" },
    zero = { "000 Nothing" },
    switching = { "101 Switching" },
    empty = { "204 Empty with a body" },
)]
#[test_macro(tokio::test)]
async fn a_generation_breaks_off_if_its_new_engine_sends_no_response(status: &'static str) {
    let setup = MoveSetup::start().await;
    setup.other.set_mode(TargetMode::Status(status));
    setup.leave();
    let response = setup.pending.await.unwrap();
    // The new engine may have run it, so that it can't go on elsewhere.
    assert!(!response.text.contains("hello"), "{}", response.text);
    assert!(!response.text.ends_with("0\r\n\r\n"), "{}", response.text);
    let ids = event_ids(&response);
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert_eq!(setup.other.calls().len(), 1);
}

// Guards against a resume that goes on, or begins at another engine, after the caller has left.
#[tokio::test]
async fn a_generation_whose_caller_leaves_while_it_resumes_ends_everywhere() {
    let setup = MoveSetup::start().await;
    setup.other.set_mode(TargetMode::Hang);
    setup.leave();
    until("it resumes", || setup.other.open_calls() == 1).await;
    setup.pending.abort();
    let start = Instant::now();
    until("it ends", || setup.other.open_calls() == 0).await;
    // Otherwise it ends at the route's timeout of 20 s.
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
    let core = setup.gateway.server.core();
    until("the stream has ended", || {
        core.with_state(|state, _| state.active_streams) == 0
    })
    .await;
    assert_eq!(setup.source.open_calls(), 0);
    assert_eq!(
        (setup.source.calls().len(), setup.other.calls().len()),
        (1, 1)
    );
}

// Guards against asking a leaving engine more than once when it ends, and against giving up the
// generations of an engine that runs on after the time that it reported.
#[tokio::test]
async fn a_leaving_engine_is_asked_once_when_it_ends() {
    let setup = MoveSetup::start().await;
    setup.source.script_copies(vec![CopyOutcome::Unknown; 10]);
    setup.source.leave_in(TimeSpan::new(100));
    setup.leave();
    assert!(is_whole(&setup.pending.await.unwrap()));
    assert_eq!(setup.source.reports(), 1);
    assert_eq!(setup.other.calls().len(), 1);
}

// Guards against a copy that can't end before the engine does: it would delay others on the link.
#[tokio::test]
async fn a_copy_that_would_end_too_late_gets_no_destination() {
    let setup = MoveSetup::start().await;
    setup.source.script_copies(vec![CopyOutcome::Unknown; 100]);
    setup.leave();
    until("the engine leaves", || setup.source.copies() > 0).await;
    let core = setup.gateway.server.core();
    let source: TargetName = setup.source.name.parse().unwrap();
    // At 100,000 tokens a second, the copy takes 1,000 s.
    let move_of = |incoming| QueueRequest {
        placement: PlacementRequest {
            service: "pool".parse().unwrap(),
            engine: core
                .config()
                .unwrap()
                .service(&"pool".parse().unwrap())
                .unwrap()
                .engine,
            load: TargetLoad {
                calls: 1,
                tokens: 500,
                prefill: 0,
                incoming,
            },
            is_quick: false,
            excluded: vec![source.clone()],
            move_source: Some(MoveSource {
                target: source.clone(),
                domain: "patan".parse().unwrap(),
                produced: 100,
                full: Vec::new(),
            }),
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
            pace: None,
            workspace: None,
        },
        priority: 0,
        waited: TimeSpan::ZERO,
        start_within: TimeSpan::ZERO,
        max_wait: TimeSpan::new(200),
        patience: TimeSpan::new(200),
        accepts_refusal: false,
        requester: None,
    };
    for (left, is_granted) in [(500, false), (2_000, true)] {
        core.with_state(|state, now| {
            state.record_engine_end(&source, now + TimeSpan::from_secs(left));
        });
        let placed = core.place(move_of(100_000_000)).await;
        assert_eq!(placed.is_ok(), is_granted, "{left} s left");
    }
}

// Guards against generations that stay on a leaving engine while the coordinator of its failure
// domain accepts connections but does not respond.
#[tokio::test]
async fn generations_move_although_the_coordinator_is_silent() {
    let setup = MoveSetup::start().await;
    add_silent_coordinator(&setup.gateway).await;
    setup.leave();
    assert!(is_whole(&setup.pending.await.unwrap()));
    assert_eq!(setup.other.calls().len(), 1);
}

// Guards against turns that are not passed on within a node or between nodes, so that generations
// stay on a leaving engine, and against two copies off one engine at the same time.
#[tokio::test]
async fn all_generations_of_two_nodes_move_in_turns() {
    let (store, mut targets, first) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let source = targets.remove(0);
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let mut pending = Vec::new();
    for number in 0..6 {
        let callers = [&first, &second][number % 2].callers;
        pending.push(tokio::spawn(async move {
            let headers = format!("x-id: g{number}\r\nx-size: 1000\r\n");
            call(callers, "/stream/1", &headers, "").await
        }));
    }
    until("the streams run", || source.open_calls() == 6).await;
    let other = MoveSetup::add_engine(&store, &first).await;
    // Two generations at a time would take half as long.
    let copy_time = Duration::from_millis(50);
    source.set_copy_time(copy_time);
    store.put_target(&source, "leaving");
    for response in pending {
        assert!(is_whole(&response.await.unwrap()));
    }
    assert_eq!(other.calls().len(), 6);
    let arrivals = source.arrivals();
    // After the six calls and the report: copy, stop, copy, stop, and so on.
    let orders = &arrivals[arrivals.len() - 12..];
    for pair in orders.windows(2) {
        assert!(pair[1] - pair[0] >= copy_time);
    }
}

// Guards against each node that asks an engine without room anew, since its coordinator does not
// know that the engine refused a copy of another node.
#[tokio::test]
async fn a_coordinator_learns_which_engines_are_full() {
    let (store, mut targets, first) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let source = targets.remove(0);
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    until("one node has another one as its coordinator", || {
        has_other_coordinator(&first) != has_other_coordinator(&second)
    })
    .await;
    let (coordinator, follower) = match has_other_coordinator(&first) {
        true => (&second, &first),
        false => (&first, &second),
    };
    let callers = follower.callers;
    let pending = tokio::spawn(async move {
        call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
    });
    until("the stream runs", || source.open_calls() == 1).await;
    let other = MoveSetup::add_engine(&store, follower).await;
    source.script_copies([CopyOutcome::NoRoom { handle: None }]);
    store.put_target(&source, "leaving");
    let full = other.name.parse().unwrap();
    until("the coordinator knows the full engine", || {
        let core = coordinator.server.core();
        core.with_state(|state, now| state.full_targets.names(now).contains(&full))
    })
    .await;
    assert!(is_whole(&pending.await.unwrap()));
    assert_eq!(other.calls().len(), 1);
}
