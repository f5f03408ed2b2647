//! LOST: a machine that was asked to stop ends before a requester on a slow link has its answer.

use std::sync::Arc;
use std::time::Duration;

use super::{PLAIN_SERVICE, config, plain_route, verdict};
use crate::client::{Connection, End, record_answer};
use crate::gateway::{Gateway, Machine, own_ip};
use crate::record;
use crate::runner::{Runner, answer, own_headers};
use crate::store::Store;

/// Size of the answer.
const SIZE: usize = 6_000_000;
/// Bytes a second that the requester reads: the whole answer takes about 6 s.
const PACE: u64 = 800_000;
/// `graceS`.
const GRACE_MS: u64 = 8_000;

pub fn run(trouble: bool) -> i32 {
    let store = Store::start(&own_ip(100));
    let route = plain_route("non_idempotent", 30_000, 1_500);
    let tenants = r#"{"name":"driver","apiKeys":["key-driver"]}"#;
    store.put("op/config", &config(7, &route, PLAIN_SERVICE, tenants));
    let work = Arc::new(
        |runner: &Runner, arrival: &crate::runner::Arrival, writer: &mut std::net::TcpStream| {
            runner.begin(arrival, "");
            record::sleep(30);
            let body = vec![b'x'; SIZE];
            let is_sent = answer(writer, "200 OK", &own_headers(arrival), &body);
            record::line(&format!(
                "runner {}: {} ended with 200, answer sent whole: {is_sent}",
                runner.id,
                arrival.id()
            ));
            is_sent
        },
    );
    let runner = Runner::start("i-app-1", "rounds-app", "thapathali", 6, &own_ip(101), work);
    runner.register(&store);
    let machine = Machine::new("edge-thapathali-1", "thapathali", 1);
    let seeds = vec![machine.control.clone()];
    let mut gateway = Gateway::start(machine, &seeds, &store.address.to_string());
    gateway.wait_ready();
    record::sleep(1_000);

    let mut connection = Connection::open_narrow(&gateway.machine.front).expect("a connection");
    let headers = "Api-Key: key-driver\r\nDeadline-Remaining: 30000\r\n";
    let begin = record::now_ms();
    record::line("requester: sends POST /pickup/1 (large-1)");
    connection
        .send("POST", "/pickup/1", "large-1", headers, "all yards")
        .expect("sent");
    let requester = std::thread::spawn(move || {
        let answer = connection.read(|bytes| {
            let due = begin + bytes as u64 * 1_000 / PACE;
            let left = due.saturating_sub(record::now_ms());
            std::thread::sleep(Duration::from_millis(left));
        });
        record_answer("large-1", &answer);
        answer
    });
    record::sleep(500);
    let stop_at = record::now_ms();
    if trouble {
        gateway.terminate();
        gateway.wait_end(GRACE_MS + 1_000);
        record::line(&format!(
            "the process ended {} ms after the SIGTERM; graceS is 8",
            record::now_ms() - stop_at
        ));
    }
    let answer = requester.join().expect("the requester");
    record::line(&format!(
        "the requester read for {} ms",
        record::now_ms() - begin
    ));
    let is_lost = answer.end != End::Complete;
    verdict(
        "LOST",
        is_lost,
        &format!(
            "the requester got {} of {SIZE} bytes, {:?}",
            answer.body.len(),
            answer.end
        ),
    )
}
