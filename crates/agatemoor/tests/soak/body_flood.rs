//! Many of the largest bodies at once, against the memory of a gateway process.

use std::fs;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::soak_fleet::{SoakPlan, SoakProfile, start_fleet};

/// Largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;
/// Bodies at once.
const LARGE_BODIES: usize = 40;
/// Memory that the gateway may use, as its settings say.
pub const MEMORY_BYTES: u64 = 110 << 20;
/// Interval of the small calls beside them.
const SMALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which calls are made.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Smallest part of the small calls that have to be served.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Makes a call with a body of this size; returns the status, 0 without a whole head.
pub async fn call(address: std::net::SocketAddr, id: String, path: &str, bytes: usize) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return 0;
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: depot.example\r\nrequest-attempt-id: {id}\r\n\
         api-key: depot-key\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    // No two bodies are alike, as calls with the same content share their verdict after a failure.
    let mut body = id.into_bytes();
    body.resize(bytes, b'a');
    // A refusal may arrive before the whole body is sent.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.unwrap_or(0)
}

/// Largest memory that a process has used so far, in bytes.
pub fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line.unwrap().split_whitespace().nth(1).unwrap();
    kib.parse::<u64>().unwrap() << 10
}

// Guards against a process that is killed for its memory, with all its calls, because many large
// bodies arrive at once, and against small calls that are refused beside them.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_fit_the_memory() {
    let plan = SoakPlan {
        processor_percent: None,
        seed: 4_000,
        profile: SoakProfile::Faults,
        gateways: 1,
        callers: 0,
        fault_duration: Duration::ZERO,
    };
    let fleet = start_fleet(&plan).await;
    let address = fleet.caller_address(0);
    let mut floods = JoinSet::new();
    let end = Instant::now() + FLOOD_TIME;
    for number in 0..LARGE_BODIES {
        floods.spawn(async move {
            let mut statuses = Vec::new();
            for round in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let id = format!("f{number:x}e{round:x}");
                statuses.push(call(address, id, "/read/1", BODY_BYTES).await);
            }
            statuses
        });
    }
    let mut small = JoinSet::new();
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        small.spawn(call(address, format!("5{count:x}"), "/order/1", 100));
        sleep(SMALL_INTERVAL).await;
    }
    let small = small.join_all().await;
    let large: Vec<u16> = floods.join_all().await.into_iter().flatten().collect();
    let peak = peak_memory(fleet.process(0));
    let of =
        |statuses: &[u16], wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    println!(
        "peak {} MiB; large: {} of {} served, {} refused; small: {} of {count} served, {} refused",
        peak >> 20,
        of(&large, 200),
        large.len(),
        of(&large, 503),
        of(&small, 200),
        of(&small, 503),
    );
    assert!(peak < MEMORY_BYTES, "{} MiB", peak >> 20);
    assert!(of(&large, 200) > 0);
    // Fakes break some calls off and answer some late, which the gateway answers with 502 and 504.
    let refused = small.len() - of(&small, 200) - of(&small, 502) - of(&small, 504);
    assert!(
        (refused as f64) < small.len() as f64 * (1.0 - MIN_SERVED_SHARE),
        "{refused}"
    );
}
