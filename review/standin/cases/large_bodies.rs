//! LOST: bodies of the size that the operator allows fill the memory of a machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::{PLAIN_SERVICE, config, plain_route, verdict};
use crate::client::{Connection, End, record_answer};
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::runner::{Arrival, Runner, answer, own_headers};
use crate::store::Store;

/// `maxBodyBytes`.
const BODY: usize = 4_194_304;
/// Requesters that upload at the same time on a usual day.
const USUAL: usize = 20;
/// Percentage of them that come in a burst; the site file's `burst` has x = 1.7.
const BURST_PERCENT: usize = 170;
/// `memoryMb`, with the larger reading of MB.
const MEMORY: u64 = 110 << 20;
/// Pause between two uploads: 4 MiB each 80 ms are 420 Mbit/s of the 1,000 of the link.
const PACE_MS: u64 = 80;
/// Time that the runner takes for each.
const WORK_MS: u64 = 3_500;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let route = plain_route("non_idempotent", 10_000, 4_000);
    let tenants = r#"{"name":"dealer","apiKeys":["key-dealer"]}"#;
    store.put("op/config", &config(7, &route, PLAIN_SERVICE, tenants));
    let work = |runner: &Runner, arrival: &Arrival, writer: &mut std::net::TcpStream| {
        let is_small = arrival.body.len() < BODY;
        runner.begin(arrival, &format!(" with {} bytes", arrival.body.len()));
        record::sleep(if is_small { 10 } else { WORK_MS });
        answer(writer, "200 OK", &own_headers(arrival), b"graded")
    };
    let runners = [
        ("i-app-1", 101),
        ("i-app-2", 102),
        ("i-app-3", 103),
        ("i-app-4", 104),
    ];
    let runners: Vec<_> = runners
        .iter()
        .map(|(id, number)| {
            Runner::start(
                id,
                "rounds-app",
                "thapathali",
                16,
                &own_ip(*number),
                Arc::new(work),
            )
        })
        .collect();
    runners.iter().for_each(|runner| runner.register(&store));
    let machine = Machine::new("edge-thapathali-1", "thapathali", 1);
    let seeds = vec![machine.control.clone()];
    let gateway = Arc::new(Gateway::start(machine, &seeds, &store.address.to_string()));
    gateway.wait_ready();
    record::sleep(1_000);
    let headers = "Api-Key: key-dealer\r\nDeadline-Remaining: 10000\r\n";
    let count = if trouble {
        USUAL * BURST_PERCENT / 100
    } else {
        USUAL
    };
    let mut kept = Vec::new();
    for number in 0..count {
        let mut connection = Connection::open(&gateway.machine.front).expect("a connection");
        connection
            .send(
                "POST",
                "/pickup/1",
                &format!("small-{number}"),
                headers,
                "hello",
            )
            .expect("sent");
        assert_eq!(connection.read(|_| {}).head.status(), 200);
        kept.push(connection);
    }
    record::line(&format!(
        "{count} requesters keep a connection that they have used"
    ));

    // The platform ends a process that exceeds its memory.
    let is_over = Arc::new(AtomicBool::new(false));
    let (watched, over) = (gateway.clone(), is_over.clone());
    let platform = std::thread::spawn(move || {
        let mut peak = 0;
        while !over.load(Ordering::Relaxed) {
            let used = watched.resident_bytes();
            peak = peak.max(used);
            if used > MEMORY {
                record::line(&format!(
                    "platform: the process holds {} MiB of 110 and is killed",
                    used >> 20
                ));
                watched.kill();
                break;
            }
            record::sleep(2);
        }
        record::line(&format!(
            "platform: the process held {} MiB at most",
            peak >> 20
        ));
        peak > MEMORY
    });
    let body = Arc::new("x".repeat(BODY));
    let requesters: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut connection)| {
            let body = body.clone();
            let handle = std::thread::spawn(move || {
                let id = format!("photo-{number}");
                record::line(&format!(
                    "requester: sends POST /pickup/1 ({id}) on a kept connection"
                ));
                let _ = connection.send("POST", "/pickup/1", &id, headers, &body);
                let found = connection.read(|_| {});
                record_answer(&id, &found);
                (id, found)
            });
            record::sleep(PACE_MS);
            handle
        })
        .collect();
    let found: Vec<_> = requesters
        .into_iter()
        .map(|one| one.join().expect("a requester"))
        .collect();
    is_over.store(true, Ordering::Relaxed);
    let was_killed = platform.join().expect("the platform");
    let runs: Vec<_> = runners
        .iter()
        .flat_map(|runner| runner.runs.lock().expect("runs").clone())
        .collect();
    let lost = found
        .iter()
        .filter(|(id, answer)| answer.end != End::Complete && runs.iter().any(|(_, run)| run == id))
        .count();
    verdict(
        "LOST",
        lost > 3,
        &format!(
            "{lost} requests were passed on and their kept connections ended without an answer; killed for its memory: {was_killed}"
        ),
    )
}
