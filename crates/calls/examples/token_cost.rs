//! Prints the time that the call machine adds to each token, as a ratio to the stream tracker.
//!
//! Run with `cargo run --release -p calls --example token_cost`.

use std::hint::black_box;
use std::time::Instant;

use base::ClockTime;
use calls::{CallAction, CallEvent, CallMachine, CallPlan, StreamTracker};

const TOKENS: u64 = 2_000_000;
const ROUNDS: usize = 5;
const GENERATION: &str = "e17-4f0c93ab52";

fn streaming_machine(out: &mut Vec<CallAction>) -> CallMachine {
    let now = ClockTime::ZERO;
    let mut machine = CallMachine::new(CallPlan::new("r1".parse().unwrap()));
    machine.start(now, out);
    let target = "e17".parse().unwrap();
    machine.on_event(now, CallEvent::TargetChosen { target }, out);
    let connection = machine.current_connection().unwrap();
    machine.on_event(now, CallEvent::Connected { connection }, out);
    machine.on_event(now, CallEvent::FirstByteSent { connection }, out);
    machine
}

fn machine_nanos() -> f64 {
    let mut out = Vec::new();
    let mut machine = streaming_machine(&mut out);
    let connection = machine.current_connection().unwrap();
    let start = Instant::now();
    for offset in 0..TOKENS {
        out.clear();
        let event = CallEvent::Token {
            connection,
            generation: black_box(GENERATION),
            offset,
            len: 1,
        };
        machine.on_event(ClockTime::new(offset), event, &mut out);
        assert!(matches!(out[..], [CallAction::Deliver { .. }]));
    }
    start.elapsed().as_nanos() as f64 / TOKENS as f64
}

fn tracker_nanos() -> f64 {
    let mut tracker = StreamTracker::new(GENERATION.parse().unwrap(), 0);
    let start = Instant::now();
    for offset in 0..TOKENS {
        black_box(tracker.accept(black_box(GENERATION), offset, 1));
    }
    start.elapsed().as_nanos() as f64 / TOKENS as f64
}

fn main() {
    println!("CallMachine: {} bytes", size_of::<CallMachine>());
    println!("CallAction: {} bytes", size_of::<CallAction>());
    for _ in 0..ROUNDS {
        let (machine, tracker) = (machine_nanos(), tracker_nanos());
        println!(
            "machine {machine:.1} ns, tracker {tracker:.1} ns, ratio {:.2}",
            machine / tracker
        );
    }
}
