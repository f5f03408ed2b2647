//! CONFIG: the store loses some answers for 4.5 s; a key that was taken away in that time still
//! works long after.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::{PLAIN_SERVICE, config, plain_route, verdict};
use crate::client::request;
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::runner::{Runner, answer, own_headers};
use crate::store::Store;

/// Length of the impairment; the site file's `platform_lost` lasts 4.5 s.
const LOSS_MS: u64 = 4_500;
/// `contactMs`.
const CONTACT_MS: u64 = 3_000;
/// Requests with the revoked key through each machine.
const TRIES: usize = 8;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let route = plain_route("non_idempotent", 1_000, 150);
    let tenants = |keys: &str| {
        format!(
            r#"{{"name":"dealer","apiKeys":[{keys}]}},{{"name":"driver","apiKeys":["key-driver"]}}"#
        )
    };
    store.put(
        "op/config",
        &config(7, &route, PLAIN_SERVICE, &tenants(r#""key-dealer""#)),
    );
    let work = Arc::new(
        |runner: &Runner, arrival: &crate::runner::Arrival, writer: &mut std::net::TcpStream| {
            runner.begin(arrival, "");
            record::sleep(30);
            answer(writer, "200 OK", &own_headers(arrival), b"booked")
        },
    );
    let runners = [("i-app-1", "thapathali", 101), ("i-app-2", "balaju", 102)];
    let runners: Vec<_> = runners
        .iter()
        .map(|(id, zone, number)| {
            Runner::start(id, "rounds-app", zone, 6, &own_ip(*number), work.clone())
        })
        .collect();
    runners.iter().for_each(|runner| runner.register(&store));

    let machines = [
        Machine::new("edge-thapathali-1", "thapathali", 1),
        Machine::new("edge-balaju-1", "balaju", 2),
    ];
    let seeds: Vec<String> = machines
        .iter()
        .map(|machine| machine.control.clone())
        .collect();
    let gateways: Vec<_> = machines
        .into_iter()
        .map(|machine| Gateway::start(machine, &seeds, &store.address.to_string()))
        .collect();
    gateways.iter().for_each(Gateway::wait_ready);
    record::sleep(2_000);
    let send = |number: usize, gateway: &Gateway, key: &str| {
        let id = format!("{key}-{}-{number}", gateway.machine.zone);
        let headers = format!("Api-Key: {key}\r\nDeadline-Remaining: 1000\r\n");
        request(
            &gateway.machine.front,
            "POST",
            "/pickup/1",
            &id,
            &headers,
            "yard 12",
        )
        .head
        .status()
    };
    for gateway in &gateways {
        assert_eq!(
            send(0, gateway, "key-dealer"),
            200,
            "the key works before it is taken away"
        );
    }

    if trouble {
        // At most one answer in three, and of these only the two that carry the change.
        let lost = AtomicUsize::new(0);
        store.lose_answers(Box::new(move |path, events| {
            let carries_change = path.contains("prefix=op/") && events > 0;
            carries_change && lost.fetch_add(1, Ordering::Relaxed) < 2
        }));
        record::line("store: loses answers from now on");
    }
    let begin = record::now_ms();
    record::sleep(300);
    store.put("op/config", &config(9, &route, PLAIN_SERVICE, &tenants("")));
    let acked = record::now_ms();
    record::line("operator: version 9 is acknowledged; it takes away key-dealer");
    record::sleep_until(begin + LOSS_MS);
    if trouble {
        let (answers, lost) = store.end_loss();
        let share = lost as f64 / answers.max(1) as f64;
        record::line(&format!(
            "store: loses no more answers; {lost} of {answers} were lost ({share:.2})"
        ));
        assert!(share <= 0.35, "the share that the site file sets");
    }
    // The store is stable and the machines are in touch from `contactMs` after the impairment.
    record::sleep_until(begin + LOSS_MS + CONTACT_MS + 200);
    let mut served = 0;
    for number in 1..=TRIES {
        for gateway in &gateways {
            let age = record::now_ms() - acked;
            let status = send(number, gateway, "key-dealer");
            served += usize::from(status == 200);
            record::line(&format!("  sent {age} ms after the ack, answered {status}"));
        }
        record::sleep(500);
    }
    for gateway in &gateways {
        assert_eq!(send(99, gateway, "key-driver"), 200, "the machines serve");
        gateway.record_log(&["configuration in force"]);
    }
    let all = TRIES * gateways.len();
    verdict(
        "CONFIG",
        served > 0,
        &format!("{served} of {all} requests with the key that was taken away were run"),
    )
}
