//! DRAIN: a stream is moved to a runner that reported `draining` over `drainMs` ago, and is lost
//! when that runner exits.

use std::sync::atomic::Ordering;

use super::{ENGINE_SERVICE, STREAM_ROUTE, config, start_stream, verdict};
use crate::engine::{Behaviour, EVENTS, Engine, events_in};
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::store::Store;

/// Prompt tokens of the request.
const PROMPT: u64 = 30_000;
/// Time of its copy by PROTOCOL.md: `kvBytes` (163,840) for each token over `linkMbps` (24,000), and
/// twice as long between zones.
const COPY_MS: u64 = PROMPT * 163_840 * 8 * 2 / 24_000_000;
/// `drainMs`.
const DRAIN_MS: u64 = 2_000;
/// Time from the report of `draining` to the exit: `drainMs` and a little longer.
const EXIT_MS: u64 = 3_000;
/// Other runners, each with one long run, which leaves no room for so large a request.
const OTHERS: u8 = 10;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let tenants = r#"{"name":"driver","apiKeys":["key-driver"]}"#;
    store.put(
        "op/config",
        &config(7, STREAM_ROUTE, ENGINE_SERVICE, tenants),
    );
    let engine = || {
        Engine::new(Behaviour {
            copy_ms: COPY_MS,
            ..Behaviour::default()
        })
    };
    let others: Vec<_> = (1..=OTHERS)
        .map(|number| engine().start(&format!("i-other-{number}"), "thapathali", 110 + number))
        .collect();
    others.iter().for_each(|runner| runner.register(&store));
    let machine = Machine::new("edge-thapathali-1", "thapathali", 1);
    let seeds = vec![machine.control.clone()];
    let gateway = Gateway::start(machine, &seeds, &store.address.to_string());
    gateway.wait_ready();
    record::sleep(500);
    let background: Vec<_> = (1..=OTHERS)
        .map(|number| {
            let stream = start_stream(
                &gateway,
                &format!("back-{number}"),
                "12000,1400",
                "5c1e07a2:800,91bd3f06:11200",
            );
            record::sleep(120);
            stream
        })
        .collect();
    assert!(
        others.iter().all(|runner| runner.run_count() == 1),
        "each of the others has a run"
    );

    let leaving_engine = engine();
    let first = engine().start("i-first", "thapathali", 101);
    let second = leaving_engine.start("i-second", "balaju", 102);
    let third = engine().start("i-third", "balaju", 103);
    first.register(&store);
    record::sleep(300);
    let counts = format!("{PROMPT},600");
    let requester = start_stream(&gateway, "stream-1", &counts, "5c1e07a2:800,91bd3f06:29200");
    record::sleep(300);
    assert!(
        first.has_run("stream-1"),
        "the only runner with room has the stream"
    );
    second.register(&store);
    record::sleep(300);
    // Two of 13 runners leave, the second one 1 s after the first; another one is added.
    first.drain(&store);
    record::sleep(500);
    third.register(&store);
    record::line("runner i-third: registers as ready");
    record::sleep(500);
    let mut acked = None;
    if trouble {
        second.drain(&store);
        acked = Some(record::now_ms());
        let store = store.clone();
        std::thread::spawn(move || {
            record::sleep(EXIT_MS);
            leaving_engine.is_gone.store(true, Ordering::Release);
            record::line("runner i-second: exits");
            store.delete("servers/i-second");
        });
    }
    let answer = requester.join().expect("the requester");
    record::sleep(300);
    gateway.record_log(&["\"stream-1\"", "gets no new work"]);
    let last = events_in(&answer.body).last().copied().unwrap_or(0);
    let sent_at = second.runs.lock().expect("runs").first().map(|(at, _)| *at);
    let delay = acked.and_then(|acked| sent_at.map(|at| at.saturating_sub(acked)));
    if !trouble {
        assert!(
            last == EVENTS && sent_at.is_some(),
            "without the second runner's leaving, the stream moves and is whole"
        );
    }
    drop(background);
    let is_late = delay.is_some_and(|delay| delay > DRAIN_MS);
    let seen = format!(
        "the stream reached i-second {} ms after the store had acknowledged that it drains; the requester got {last} of {EVENTS} events, {:?}",
        delay.map_or("-".to_owned(), |delay| delay.to_string()),
        answer.end
    );
    verdict("DRAIN", is_late, &seen)
}
