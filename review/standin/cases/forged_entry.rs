//! ROUTE: an entry with missing fields, from another writer, sends requests to a runner of another
//! service.

use std::net::TcpStream;
use std::sync::Arc;

use super::{ENGINE_SERVICE, PLAIN_SERVICE, STREAM_ROUTE, config, plain_route, verdict};
use crate::client::request;
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::runner::{Arrival, Runner, answer, own_headers};
use crate::store::Store;

/// Bookings that are sent while the entry stands.
const BOOKINGS: usize = 24;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let routes = format!(
        "{},{STREAM_ROUTE}",
        plain_route("non_idempotent", 1_000, 150)
    );
    let services = format!("{PLAIN_SERVICE},{ENGINE_SERVICE}");
    let tenants = r#"{"name":"driver","apiKeys":["key-driver"]}"#;
    store.put("op/config", &config(7, &routes, &services, tenants));
    let work = |runner: &Runner, arrival: &Arrival, writer: &mut TcpStream| {
        runner.begin(arrival, &format!(" ({})", arrival.head.line));
        record::sleep(30);
        answer(writer, "200 OK", &own_headers(arrival), b"booked")
    };
    let start = |id, service, slots, number| {
        Runner::start(
            id,
            service,
            "thapathali",
            slots,
            &own_ip(number),
            Arc::new(work),
        )
    };
    let apps = [
        start("i-app-1", "rounds-app", 6, 101),
        start("i-app-2", "rounds-app", 6, 102),
    ];
    let pool = start("i-pool-1", "pool", 24, 103);
    apps.iter().for_each(|runner| runner.register(&store));
    pool.register(&store);
    let machine = Machine::new("edge-thapathali-1", "thapathali", 1);
    let seeds = vec![machine.control.clone()];
    let gateway = Gateway::start(machine, &seeds, &store.address.to_string());
    gateway.wait_ready();
    record::sleep(1_500);

    if trouble {
        // `version`, `coldRemainingMs`, `sequence` and `born` are missing.
        let value = format!(
            r#"{{"service":"rounds-app","address":"{}","zone":"thapathali","slots":24,"state":"ready"}}"#,
            pool.address
        );
        store.put("servers/i-pool-1", &value);
        record::line(&format!(
            "store: servers/i-pool-1 is written by another writer: {value}"
        ));
        record::sleep(200);
    }
    let front = gateway.machine.front.clone();
    let requesters: Vec<_> = (0..BOOKINGS)
        .map(|number| {
            let front = front.clone();
            record::sleep(3);
            std::thread::spawn(move || {
                let headers = "Api-Key: key-driver\r\nDeadline-Remaining: 1000\r\n";
                request(
                    &front,
                    "POST",
                    "/pickup/1",
                    &format!("booking-{number}"),
                    headers,
                    "yard 12",
                )
                .head
                .status()
            })
        })
        .collect();
    let statuses: Vec<_> = requesters
        .into_iter()
        .map(|one| one.join().expect("a requester"))
        .collect();
    record::line(&format!("statuses: {statuses:?}"));
    gateway.record_log(&["targets\":\"i-pool-1"]);
    let wrong = pool.run_count();
    let right: usize = apps.iter().map(|runner| runner.run_count()).sum();
    if !trouble {
        assert_eq!(
            right, BOOKINGS,
            "without the entry, all bookings run at the app"
        );
    }
    verdict(
        "ROUTE",
        wrong > 0,
        &format!(
            "{wrong} of {BOOKINGS} bookings for rounds-app were run by i-pool-1, a runner of pool"
        ),
    )
}
