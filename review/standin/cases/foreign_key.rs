//! RECOVER: an entry of another writer keeps all machines that start from ever serving again.

use std::net::TcpStream;
use std::sync::Arc;

use super::{PLAIN_SERVICE, config, plain_route, verdict};
use crate::client::{get_status, request};
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::runner::{Arrival, Runner, answer, own_headers};
use crate::store::Store;

/// Key of the entry; the page sets only its length (200 bytes at most).
const KEY: &str = "servers/backup of i-app-1";
/// Bytes of its value: `valueBytes`.
const VALUE: usize = 1_048_576;
/// `down_s` of the final fault.
const DOWN_MS: u64 = 1_500;
/// `recoveryS`.
const RECOVERY_MS: u64 = 12_000;
/// Requests before and after the final fault.
const REQUESTS: usize = 20;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let route = plain_route("non_idempotent", 1_000, 150);
    let tenants = r#"{"name":"driver","apiKeys":["key-driver"]}"#;
    store.put("op/config", &config(7, &route, PLAIN_SERVICE, tenants));
    let work = |runner: &Runner, arrival: &Arrival, writer: &mut TcpStream| {
        runner.begin(arrival, "");
        record::sleep(30);
        answer(writer, "200 OK", &own_headers(arrival), b"booked")
    };
    let start = |id, zone, number| {
        Runner::start(id, "rounds-app", zone, 6, &own_ip(number), Arc::new(work))
    };
    let runners = [
        start("i-app-1", "thapathali", 101),
        start("i-app-2", "balaju", 102),
    ];
    runners.iter().for_each(|runner| runner.register(&store));
    let machines = || {
        [
            Machine::new("edge-thapathali-1", "thapathali", 1),
            Machine::new("edge-balaju-1", "balaju", 2),
        ]
    };
    let begin = || {
        let machines = machines();
        let seeds: Vec<String> = machines
            .iter()
            .map(|machine| machine.control.clone())
            .collect();
        machines.map(|machine| Gateway::start(machine, &seeds, &store.address.to_string()))
    };
    let gateways = begin();
    gateways.iter().for_each(Gateway::wait_ready);
    record::sleep(2_000);
    if trouble {
        // No JSON: bytes that can't be read.
        store.put(KEY, &"\u{7f}".repeat(VALUE));
        record::line(&format!(
            "store: another writer writes {KEY:?}, {VALUE} bytes that can't be read"
        ));
        record::sleep(1_000);
    }
    let served = |gateways: &[Gateway], name: &str| {
        let statuses: Vec<u16> = (0..REQUESTS)
            .map(|number| {
                record::sleep(100);
                let front = &gateways[number % gateways.len()].machine.front;
                let headers = "Api-Key: key-driver\r\nDeadline-Remaining: 1000\r\n";
                request(
                    front,
                    "POST",
                    "/pickup/1",
                    &format!("{name}-{number}"),
                    headers,
                    "yard 12",
                )
                .head
                .status()
            })
            .collect();
        statuses.iter().filter(|status| **status == 200).count()
    };
    let before = served(&gateways, "before");
    store.put("op/config", &config(9, &route, PLAIN_SERVICE, tenants));
    record::line("operator: version 9 is acknowledged; all processes are killed at once");
    drop(gateways);
    record::sleep(DOWN_MS);
    let gateways = begin();
    let back = record::now_ms();
    record::line("platform: all processes have been started again");
    while record::now_ms() < back + RECOVERY_MS {
        record::sleep(2_000);
        for gateway in &gateways {
            let ready = get_status(&gateway.machine.ready, "/readiness");
            record::line(&format!("{}: readiness {ready}", gateway.machine.name));
        }
    }
    let after = served(&gateways, "after");
    gateways
        .iter()
        .for_each(|gateway| gateway.record_log(&["WARN"]));
    let is_broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
    verdict(
        "RECOVER",
        is_broken,
        &format!(
            "{before} of {REQUESTS} requests were served before the processes were killed, {after} of {REQUESTS} later than recoveryS after they were back"
        ),
    )
}
