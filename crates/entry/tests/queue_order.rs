//! Order of the queue among workspaces, ranks and sizes, and the estimates of waits.

use base::{ClockTime, ServiceName, TimeSpan};
use entry::{CallQueue, QueueLane, QueueTicket, QueuedCall, WorkspaceShares};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Work of a long call and of a quick one, in tokens.
const LONG_WORK: u64 = 3_750;
const QUICK_WORK: u64 = 2_210;
/// Longest wait of the calls of the tests.
const PATIENCE: TimeSpan = TimeSpan::from_secs(6);

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

fn at(ms: u64) -> ClockTime {
    ClockTime::new(ms)
}

/// Long call of rank 0 that can be on time for 2 s.
fn call(arrived: u64, workspace: &str) -> QueuedCall {
    QueuedCall {
        service: service(),
        priority: 0,
        arrived: at(arrived),
        start_by: at(arrived + 2_000),
        is_quick: false,
        is_move: false,
        workspace: Some(workspace.parse().unwrap()),
        work: LONG_WORK,
    }
}

fn quick(arrived: u64, priority: u8) -> QueuedCall {
    QueuedCall {
        priority,
        is_quick: true,
        work: QUICK_WORK,
        ..call(arrived, "a")
    }
}

/// Call that is late when it arrives.
fn late(arrived: u64) -> QueuedCall {
    QueuedCall {
        start_by: at(arrived.saturating_sub(1)),
        ..call(arrived, "a")
    }
}

/// Queue in which one call is placed every 100 ms while `waiting` others wait from the start.
fn busy_queue(until: u64, waiting: usize) -> CallQueue {
    let mut queue = CallQueue::default();
    (0..waiting).for_each(|_| {
        queue.push(QueuedCall {
            start_by: at(60_000),
            ..call(0, "a")
        });
    });
    for ms in (0..=until).step_by(100) {
        queue.record_arrival(at(ms), &service());
        queue.record_arrival(at(ms), &service());
        let ticket = queue.push(call(ms, "a"));
        queue.place(at(ms), ticket);
    }
    queue
}

// Guards against a workspace that takes the room of the others by sending more calls.
#[test]
fn a_workspace_with_a_surplus_goes_behind_the_others() {
    let mut queue = CallQueue::default();
    let waiting = queue.push(call(0, "light"));
    for ms in 0..8 {
        let ticket = queue.push(call(ms, "heavy"));
        queue.place(at(ms), ticket);
    }
    queue.remove(waiting);
    let heavy = queue.push_at(at(100), call(100, "heavy"));
    let light = queue.push_at(at(700), call(700, "light"));
    assert_eq!(queue.peek(at(800), &service()), Some(light));
    queue.remove(light);
    assert_eq!(queue.peek(at(800), &service()), Some(heavy));
}

// Guards against unbounded records of workspaces, and against a fault when there are more than are
// kept.
#[test]
fn more_workspaces_than_are_kept_share_one_record() {
    let mut shares = WorkspaceShares::default();
    for number in 0..2_000_u64 {
        let name = format!("w{number}").parse().unwrap();
        let slot = shares.enter(at(number), Some(&name));
        shares.charge(at(number), slot, LONG_WORK);
        assert!(shares.lag(slot) <= TimeSpan::from_secs(4));
    }
    assert_eq!(shares.largest(at(2_000), 10).len(), 10);
    assert!(shares.largest(at(2_000), usize::MAX).len() <= 512);
}

// Guards against a workspace that pays for what it used while there was room for all.
#[test]
fn use_while_nothing_waits_costs_nothing() {
    let mut queue = CallQueue::default();
    (0..50).for_each(|ms| queue.place_direct(at(ms * 20), &call(ms * 20, "heavy")));
    let heavy = queue.push_at(at(1_100), call(1_100, "heavy"));
    queue.push_at(at(1_150), call(1_150, "light"));
    assert_eq!(queue.peek(at(1_200), &service()), Some(heavy));
}

/// Serves one call every `interval` ms for 60 s from a queue that `arrivals` fills, and returns the
/// calls in the order in which they were served.
fn serve(
    interval: u64,
    mut arrivals: impl FnMut(u64, &mut Vec<QueuedCall>),
) -> Vec<(u64, QueuedCall)> {
    let mut queue = CallQueue::default();
    let mut waiting: Vec<(QueueTicket, QueuedCall)> = Vec::new();
    let mut served = Vec::new();
    for ms in 0..60_000 {
        let mut new = Vec::new();
        arrivals(ms, &mut new);
        for call in new {
            waiting.push((queue.push_at(at(ms), call.clone()), call));
        }
        if ms % interval == 0
            && let Some(ticket) = queue.peek(at(ms), &service())
        {
            queue.place(at(ms), ticket);
            let known = waiting.iter().position(|(known, _)| *known == ticket);
            served.push((ms, waiting.swap_remove(known.unwrap()).1));
        }
    }
    served
}

// Guards against small calls that overtake large ones for ever since they need less work: half of
// the calls are eight times as large, from other workspaces, at 1.3 times the capacity.
#[test]
fn large_calls_do_not_starve() {
    for seed in [1, 2, 3] {
        let mut random = Pcg64::seed_from_u64(seed);
        let served = serve(130, |ms, new| {
            if ms % 100 == 0 {
                let is_large = random.random::<bool>();
                new.push(QueuedCall {
                    work: if is_large { 8_000 } else { 1_000 },
                    ..call(ms, if is_large { "large" } else { "small" })
                });
            }
        });
        let large: Vec<_> = served
            .iter()
            .filter(|(_, call)| call.work > 1_000)
            .collect();
        // Equal shares of the work would be an eighth of the calls.
        assert!(
            large.len() * 8 >= served.len(),
            "{} of {}",
            large.len(),
            served.len()
        );
        let gaps = large.windows(2).map(|pair| pair[1].0 - pair[0].0);
        assert!(gaps.max().unwrap() < 6_000);
    }
}

// Guards against a less urgent quick flow that takes all room while more urgent long calls wait on
// time.
#[test]
fn a_less_urgent_quick_flow_takes_at_most_as_much_as_long_calls() {
    let served = serve(100, |ms, new| {
        if ms % 80 == 0 {
            new.push(quick(ms, 1));
            new.push(call(ms, "b"));
        }
    });
    let work = |is_quick: bool| -> u64 {
        let of_kind = served.iter().filter(|(_, call)| call.is_quick == is_quick);
        of_kind.map(|(_, call)| call.work).sum()
    };
    assert!(work(true) <= work(false) + LONG_WORK);
    // They still go first where both can be served, as they occupy room only briefly.
    assert!(served.iter().filter(|(_, call)| call.is_quick).count() * 3 > served.len());
}

// Guards against quick calls of the most urgent rank that wait behind long ones, and against long
// calls that starve beside more quick calls than there is room for.
#[test]
fn an_urgent_quick_flow_goes_first_and_leaves_a_part() {
    let served = serve(100, |ms, new| {
        if ms % 80 == 0 {
            new.push(quick(ms, 0));
            new.push(QueuedCall {
                priority: 2,
                ..call(ms, "b")
            });
        }
    });
    let long: Vec<_> = served.iter().filter(|(_, call)| !call.is_quick).collect();
    assert!(long.len() * 10 < served.len(), "{} long calls", long.len());
    let gaps = long.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.max().unwrap() < 3_000);
}

// Guards against a less urgent kind with a short latency target that goes before a more urgent one.
#[test]
fn a_short_latency_target_does_not_outweigh_a_rank() {
    let mut queue = CallQueue::default();
    let urgent = queue.push(QueuedCall {
        start_by: at(20_000),
        ..call(0, "a")
    });
    queue.push(QueuedCall {
        priority: 1,
        start_by: at(100),
        ..call(0, "b")
    });
    assert_eq!(queue.peek(at(50), &service()), Some(urgent));
}

// Guards against lanes that block each other: a call that finds no room on one engine says nothing
// of the calls of other lanes.
#[test]
fn a_lane_without_room_does_not_block_the_others() {
    let mut queue = CallQueue::default();
    let long = queue.push(call(0, "a"));
    let old = queue.push(late(0));
    let next = |blocked: &[QueueLane]| queue.peek_beside(at(10), &service(), blocked);
    assert_eq!(next(&[]), Some((long, QueueLane::Long)));
    assert_eq!(next(&[QueueLane::Long]), Some((old, QueueLane::Late)));
    assert_eq!(next(&[QueueLane::Long, QueueLane::Late]), None);
}

proptest! {
    // Guards against an order in which a call that waits longer than the others of its rank, lane
    // and workspace gains nothing.
    #[test]
    fn calls_alike_are_served_by_arrival(arrivals in prop::collection::vec(0_u64..1_500, 1..40)) {
        let mut queue = CallQueue::default();
        let mut tickets: Vec<_> = arrivals
            .iter()
            .map(|ms| (*ms, queue.push(call(*ms, "a"))))
            .collect();
        tickets.sort();
        for (_, expected) in tickets {
            prop_assert_eq!(queue.peek(at(1_500), &service()), Some(expected));
            queue.place(at(1_500), expected);
        }
    }

    // Guards against a refusal before placements were seen for a second, or while nothing waits.
    #[test]
    fn nothing_is_refused_without_an_estimate(
        steps in prop::collection::vec((0_u64..60, 0_u8..4), 1..60),
    ) {
        let mut queue = CallQueue::default();
        let mut waiting = Vec::new();
        let mut now = 0;
        let mut first_placed = None;
        for (pause, step) in steps {
            now += pause;
            match step {
                0 => waiting.push(queue.push_at(at(now), late(now))),
                1 if !waiting.is_empty() => {
                    queue.place(at(now), waiting.remove(0));
                    first_placed.get_or_insert(now);
                }
                2 => queue.record_arrival(at(now), &service()),
                _ => {}
            }
            let is_known = first_placed.is_some_and(|first| now - first >= 1_000);
            if waiting.is_empty() || !is_known {
                let refusal = queue.refuse_early(at(now), &late(now), TimeSpan::ZERO);
                prop_assert_eq!(refusal, None);
            }
        }
    }
}

// Guards against calls that wait until their callers give up, although it is known that they will
// not be placed.
#[test]
fn a_late_call_that_will_not_be_placed_is_refused() {
    let queue = busy_queue(2_000, 20);
    let refusal = queue.refuse_early(at(2_000), &late(2_000), PATIENCE);
    let refusal = refusal.expect("twice as many calls arrive as are placed");
    assert_eq!(refusal.estimate.ahead, 20);
    // The 20 calls ahead take 2 s.
    assert!((1_500..2_500).contains(&refusal.first_return.as_millis()));
    assert!(refusal.return_interval >= TimeSpan::new(100));
}

// Guards against the refusal of calls that would have been served.
#[test]
fn a_call_that_can_be_served_waits() {
    let queue = busy_queue(2_000, 20);
    let refuse = |call: &QueuedCall| queue.refuse_early(at(2_000), call, PATIENCE);
    // On time after 20 calls, at ten a second.
    assert_eq!(
        refuse(&QueuedCall {
            start_by: at(5_000),
            ..call(2_000, "a")
        }),
        None
    );
    // The first quick call, when only long ones were placed so far.
    assert_eq!(refuse(&quick(2_000, 0)), None);
}

// Guards against a long call that is refused since only quick ones were placed lately.
#[test]
fn a_kind_that_was_not_placed_yet_has_no_estimate() {
    let mut queue = CallQueue::default();
    queue.push(QueuedCall {
        start_by: at(60_000),
        ..call(0, "a")
    });
    for ms in (0..=2_000).step_by(50) {
        (0..3).for_each(|_| queue.record_arrival(at(ms), &service()));
        let ticket = queue.push(quick(ms, 0));
        queue.place(at(ms), ticket);
    }
    let new = QueuedCall {
        start_by: at(2_010),
        ..call(2_000, "b")
    };
    assert_eq!(queue.refuse_early(at(2_000), &new, TimeSpan::new(10)), None);
}

// Guards against refusals by the rate of a while ago.
#[test]
fn an_estimate_without_placements_for_two_seconds_refuses_nothing() {
    let queue = busy_queue(2_000, 20);
    let refuse = |ms| queue.refuse_early(at(ms), &late(ms), PATIENCE);
    assert!(refuse(3_900).is_some());
    assert_eq!(refuse(4_001), None);
}

// Guards against a rate of the last overload that refuses calls of the next one.
#[test]
fn rates_are_learnt_anew_after_a_time_without_waiting_calls() {
    let mut queue = busy_queue(2_000, 0);
    queue.push_at(at(2_400), late(2_400));
    assert_eq!(queue.estimate(at(2_400), &late(2_400)), None);
}

// Guards against a wait that looks shorter since waiting calls repeat their requests.
#[test]
fn calls_between_two_requests_count_as_waiting() {
    let mut queue = busy_queue(1_900, 4);
    let tickets: Vec<_> = (0..10)
        .map(|_| queue.push_at(at(1_900), late(1_500)))
        .collect();
    let ahead = |queue: &CallQueue, now| queue.estimate(at(now), &late(now)).unwrap().ahead;
    assert_eq!(ahead(&queue, 1_950), 14);
    tickets
        .iter()
        .for_each(|ticket| queue.leave(at(1_950), *ticket));
    assert_eq!(ahead(&queue, 1_960), 14);
    // A call that is back counts once, also if its arrival is known less exactly.
    let back = QueuedCall {
        arrived: at(1_510),
        ..late(1_500)
    };
    queue.push_at(at(1_970), back);
    assert_eq!(ahead(&queue, 1_980), 14);
    // Those that don't come back are forgotten.
    assert_eq!(ahead(&queue, 2_051), 5);
}

// Guards against long calls that all go first once they find room again, because quick calls were
// placed while there was none for them.
#[test]
fn quick_calls_placed_while_long_ones_find_no_room_owe_little() {
    let mut queue = CallQueue::default();
    let on_time = |call: QueuedCall| QueuedCall {
        start_by: at(60_000),
        ..call
    };
    for arrived in 0..400 {
        queue.push(on_time(call(arrived, "a")));
    }
    for number in 0..130 {
        let now = 1_000 + number * 38;
        let ticket = queue.push_at(at(now), on_time(quick(now, 1)));
        queue.place(at(now), ticket);
    }
    let now = at(7_000);
    let last = queue.push_at(now, on_time(quick(7_000, 1)));
    let mut long_calls = 0;
    while let Some(ticket) = queue.peek(now, &service()).filter(|one| *one != last) {
        queue.place(now, ticket);
        long_calls += 1;
    }
    assert!((1..=2).contains(&long_calls), "{long_calls} long calls");
}
