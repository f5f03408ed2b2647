//! Answers without end, in small chunks, against the memory of a gateway process.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::body_flood::{MEMORY_BYTES, call, peak_memory};
use super::raw_http::read_request;
use super::soak_fleet::{SoakPlan, SoakProfile, start_fleet};

/// Answers at once.
const ANSWERS: usize = 12;
/// Time for which answers arrive.
const FLOOD_TIME: Duration = Duration::from_secs(6);

/// Answers each call with status 500 and a body in chunks of a few bytes that does not end.
async fn answer_without_end(mut stream: TcpStream) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let id = request.header("request-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 500 Trouble\r\nrequest-attempt-id: {id}\r\nresponse-seal: 3e1b.07\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunks = "4\r\naaaa\r\n".repeat(1_000);
    let mut sent = stream.write_all(head.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(chunks.as_bytes()).await;
    }
}

async fn start_runner() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_without_end(stream));
        }
    });
    address
}

// Guards against a process that is killed for its memory, with all streams that it relays, as buffered answers
// count by the bytes of their bodies only, each for itself.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_keep_the_memory() {
    let plan = SoakPlan {
        seed: 601,
        gateways: 1,
        callers: 0,
        fault_duration: Duration::ZERO,
        processor_percent: None,
        profile: SoakProfile::Faults,
    };
    let fleet = start_fleet(&plan).await;
    for runner in fleet.runners().iter().filter(|one| one.service == "pool") {
        fleet.platform().remove(&runner.key());
    }
    for number in 0..4 {
        let entry = json!({
            "service": "pool", "address": start_runner().await.to_string(), "zone": "patan",
            "version": "v1", "slots": 24, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 7,
        });
        fleet
            .platform()
            .put(&format!("servers/endless-{number}"), &entry);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let address = fleet.caller_address(0);
    let mut calls = JoinSet::new();
    for number in 0..ANSWERS {
        calls.spawn(timeout(
            FLOOD_TIME,
            call(address, format!("flood-{number}"), "/plan/1", 10),
        ));
    }
    let statuses: Vec<_> = calls.join_all().await.into_iter().flatten().collect();
    let sound = call(address, "sound-1".to_owned(), "/read/1", 10).await;
    let peak = peak_memory(fleet.process(0));
    println!("statuses {statuses:?}, peak {} MiB", peak >> 20);
    assert_eq!(sound, 200);
    assert!(peak < MEMORY_BYTES, "{} MiB", peak >> 20);
    assert!(!statuses.contains(&500), "{statuses:?}");
}
