//! Measures the cost of the decisions of the call queue with 1,000 waiting calls of 100 workspaces.
//!
//! Run with `cargo run --release -p entry --example queue_cost`.

use std::hint::black_box;
use std::time::Instant;

use base::{ClockTime, ServiceName, TimeSpan};
use entry::{CallQueue, QueuedCall};

/// Number of waiting calls.
const WAITING: u64 = 1_000;
const WORKSPACES: u64 = 100;
/// Number of measured decisions of each kind.
const ROUNDS: u64 = 5_000;

fn main() {
    let service: ServiceName = "pool".parse().expect("a name");
    let call = |number: u64, arrived: ClockTime| QueuedCall {
        service: service.clone(),
        priority: (number % 3) as u8,
        arrived,
        start_by: arrived + TimeSpan::new(number % 7 * 500),
        is_quick: number.is_multiple_of(2),
        is_move: false,
        workspace: format!("workspace-{}", number % WORKSPACES).parse().ok(),
        work: 2_000 + number % 1_000,
    };
    let mut queue = CallQueue::default();
    for number in 0..WAITING {
        let now = ClockTime::new(number * 2);
        queue.push_at(now, call(number, now));
    }
    for number in 0..200 {
        let now = ClockTime::new(2_000 + number * 10);
        queue.record_arrival(now, &service);
        let ticket = queue.push_at(now, call(number, now));
        queue.place(now, ticket);
    }
    let now = ClockTime::new(4_000);
    let late = QueuedCall {
        start_by: ClockTime::new(3_000),
        ..call(1, ClockTime::new(2_900))
    };
    measure("next call", || {
        black_box(queue.peek(now, &service));
    });
    measure("refusal of a new call", || {
        black_box(queue.refuse_early(now, &late, TimeSpan::ZERO));
    });
    measure("request made anew: enter and leave", || {
        let ticket = queue.push_at(now, late.clone());
        queue.abandon(now, ticket);
    });
    measure("next call, placement and a new call", || {
        if let Some(ticket) = queue.peek(now, &service) {
            queue.place(now, ticket);
            queue.push_at(now, late.clone());
        }
    });
}

fn measure(name: &str, mut decision: impl FnMut()) {
    let start = Instant::now();
    (0..ROUNDS).for_each(|_| decision());
    let micros = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    println!("{name}: {micros:.2} us");
}
