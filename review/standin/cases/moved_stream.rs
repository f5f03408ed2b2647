//! ORDER: a stream that the gateway itself ordered to stop looks complete to its requester.

use std::sync::atomic::Ordering;

use super::{ENGINE_SERVICE, STREAM_ROUTE, config, start_stream, verdict};
use crate::client::End;
use crate::engine::{Behaviour, EVENTS, Engine, events_in};
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::store::Store;

/// Runners; one of them leaves, which is less than the share of 0.15 that `scale_in` has.
const RUNNERS: u8 = 8;
/// Short requests before, so that one lost answer is less than the share of 0.05 that `answer_lost`
/// has on this site, and one answer without a length that of 0.05 that `garble` has.
const SHORTS: usize = 320;
/// `for_s` of `answer_lost` on this site, with `how = "reset"`.
const LOSS_MS: u64 = 4_000;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let tenants = r#"{"name":"driver","apiKeys":["key-driver"]}"#;
    store.put(
        "op/config",
        &config(7, STREAM_ROUTE, ENGINE_SERVICE, tenants),
    );
    let behaviour = Behaviour {
        is_unframed: true,
        loses_answer: trouble,
        ..Behaviour::default()
    };
    let engines: Vec<_> = (0..RUNNERS).map(|_| Engine::new(behaviour)).collect();
    let runners: Vec<_> = engines
        .iter()
        .zip(1..)
        .map(|(engine, number)| {
            engine.start(&format!("i-pool-{number}"), "thapathali", 100 + number)
        })
        .collect();
    runners.iter().for_each(|runner| runner.register(&store));
    let machine = Machine::new("edge-thapathali-1", "thapathali", 1);
    let seeds = vec![machine.control.clone()];
    let gateway = Gateway::start(machine, &seeds, &store.address.to_string());
    gateway.wait_ready();
    record::sleep(1_000);

    let begin = record::now_ms();
    let mut shorts = Vec::new();
    for number in 0..SHORTS {
        shorts.push(start_stream(
            &gateway,
            &format!("short-{number}"),
            "146,12",
            "5c1e07a2:80,91bd3f06:66",
        ));
        record::sleep(7);
    }
    for short in shorts {
        assert_eq!(short.join().expect("a requester").end, End::Complete);
    }
    let requester = start_stream(
        &gateway,
        "stream-1",
        "1460,600",
        "5c1e07a2:800,91bd3f06:660",
    );
    record::sleep(400);
    let found = runners.iter().position(|runner| runner.has_run("stream-1"));
    let source = found.expect("a runner has the stream");
    let before = engines[source].answers.load(Ordering::Acquire);
    runners[source].drain(&store);
    let answer = requester.join().expect("the requester");
    let ended = record::now_ms();
    let lost = engines[source].lost.load(Ordering::Acquire);
    let unframed = engines[source].unframed.load(Ordering::Acquire);
    record::line(&format!(
        "runner {}: of {before} answers before it left, {lost} was lost and {unframed} had neither a length nor chunks",
        runners[source].id
    ));
    record::sleep(300);
    gateway.record_log(&["stream-1"]);
    let events = events_in(&answer.body);
    let last = events.last().copied().unwrap_or(0);
    let is_in_order = events
        .iter()
        .zip(1..)
        .all(|(found, expected)| *found == expected);
    let looks_complete = answer.end == End::Complete;
    if trouble {
        assert!(
            lost * 20 <= before && unframed * 20 <= before,
            "the shares that the site file sets"
        );
        assert!(
            ended < begin + LOSS_MS,
            "the length that the site file sets"
        );
    } else {
        assert!(
            last == EVENTS && looks_complete,
            "without the disruption, the stream moves and is whole"
        );
    }
    let broken = !is_in_order || (looks_complete && last < EVENTS);
    verdict(
        "ORDER",
        broken,
        &format!(
            "the requester got {last} of {EVENTS} events, and the end of the stream was: {:?}",
            answer.end
        ),
    )
}
