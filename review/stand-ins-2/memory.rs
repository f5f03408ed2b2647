//! Case: four of twelve model runners are in trouble and answer with a body without end, in pieces of
//! four bytes; the memory of a gateway that reads such answers grows until the platform ends the
//! process.
mod common;

use common::*;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "rounds.example";
/// Memory and share of a core of a machine of Fjordlys, and its objective for `scene-narration`.
const MEMORY_MB: u32 = 88;
const CPU_SHARE: f64 = 0.12;
const OBJECTIVE_MS: u64 = 4_000;
/// Streams that requesters ask for in a second, at all machines together.
const PER_SECOND: u64 = 4;
const LENGTH: Duration = Duration::from_secs(90);
/// A requester gives up a stream that has no first event after four times its objective.
const PATIENCE: Duration = Duration::from_millis(4 * OBJECTIVE_MS);
/// Processes that end by themselves on one machine that make it a faulty one.
const ENDS: u32 = 3;

fn answer_head(status: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Attempt-Id: {id}\r\nResponse-Seal: 3e1b.07\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// A sound answer: 150 events in four and a half seconds.
fn stream(id: &str, out: &mut TcpStream) -> io::Result<bool> {
    out.write_all(answer_head("200 OK", id).as_bytes())?;
    for number in 1..=150 {
        pause(30);
        let event = format!("id: {number}\ndata: four more tokens here\n\n");
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    out.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Bytes that are no answer, without end, until the caller closes.
fn babble(id: &str, out: &mut TcpStream, sent: &AtomicU64) -> io::Result<bool> {
    out.write_all(answer_head("500 Internal Server Error", id).as_bytes())?;
    // 1.4 million bytes a second without the framing.
    let pieces = b"4\r\nxxx\n\r\n".repeat(3_500);
    loop {
        out.write_all(&pieces)?;
        sent.fetch_add(pieces.len() as u64, Ordering::Relaxed);
        pause(10);
    }
}

fn main() {
    let (_, scratch) = folders();
    let (store, store_address) = Store::start();
    let sent = Arc::new(AtomicU64::new(0));
    let zones = ["thapathali", "balaju", "patan", "bhaktapur"];
    for number in 0..12 {
        let zone = zones[number % 4];
        let name = format!("i-{number}a3f91c2");
        let (own, sent) = (name.clone(), sent.clone());
        // Two of the three in thapathali and two of the three in balaju.
        let in_trouble = [0, 1, 4, 5].contains(&number) && !is_calm();
        let served = serve("127.0.0.1:0", move |head, _, out| {
            let id = head.get("request-attempt-id").unwrap_or("").to_owned();
            if head.target().1 == "/report" {
                return respond(out, "200 OK", &[], b"{\"busy\":false}");
            }
            note(format!("{own} gets {id}{}", if in_trouble { ", answers without end" } else { "" }));
            match in_trouble {
                true => babble(&id, out, &sent),
                false => stream(&id, out),
            }
        });
        let (address, _) = served.unwrap_or_else(|error| cannot_run(&error.to_string()));
        store.put(
            &format!("servers/{name}"),
            &entry("agatemoor-pool", address, zone, 24, "ready", unix_millis()),
        );
    }
    store.put("op/config", &config());
    let machine = |name, ip, zone| Machine {
        name,
        ip,
        zone,
        memory_mb: MEMORY_MB,
        cpu_share: CPU_SHARE,
        store: store_address,
    };
    let gateways = make_machines(
        &scratch,
        &[
            machine("edge-thapathali-1", "127.0.0.1", "thapathali"),
            machine("edge-balaju-1", "127.0.0.2", "balaju"),
            machine("edge-patan-1", "127.0.0.3", "patan"),
            machine("edge-bhaktapur-1", "127.0.0.4", "bhaktapur"),
        ],
    );
    for one in &gateways {
        one.start();
    }
    await_ready(&gateways);

    let end = Instant::now() + LENGTH;
    let is_over = Arc::new(AtomicBool::new(false));
    for one in &gateways {
        let (one, is_over) = (one.clone(), is_over.clone());
        thread::spawn(move || one.hold_to_share(CPU_SHARE, &is_over));
    }
    let watchers: Vec<_> = gateways
        .iter()
        .map(|one| {
            let (one, is_over) = (one.clone(), is_over.clone());
            thread::spawn(move || watch(&one, &is_over))
        })
        .collect();
    let cut = Arc::new(AtomicU32::new(0));
    let whole = Arc::new(AtomicU32::new(0));
    let mut count = 0;
    while Instant::now() < end {
        let gateway = gateways[count % gateways.len()].clone();
        count += 1;
        let (cut, whole) = (cut.clone(), whole.clone());
        thread::spawn(move || {
            let id = new_id();
            let last = format!("5c1e07a2:79,{}:3000", &id[..8]);
            let headers = [
                ("Host", HOST),
                ("Request-Attempt-Id", id.as_str()),
                ("Model", "m"),
                ("Token-Counts", "3079,600"),
                ("Prompt-Prefix", last.as_str()),
                ("Deadline-Remaining", "39000"),
                ("Api-Key", "xd9dnn2ctnfzs989anu6"),
            ];
            note(format!("{id} sent to {}", gateway.name));
            let answer = ask(gateway.front, &request("POST", "/lohu930/2f", &headers, &[b'b'; 3_000]), PATIENCE);
            match (answer.status, answer.is_whole) {
                (200, true) => whole.fetch_add(1, Ordering::Relaxed),
                (200, false) => cut.fetch_add(1, Ordering::Relaxed),
                _ => 0,
            };
            note(format!("{id} gets {} whole: {} {}", answer.status, answer.is_whole, answer.reason));
        });
        pause(1_000 / PER_SECOND);
    }
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<u32> = watchers.into_iter().map(|one| one.join().unwrap_or(0)).collect();
    for (one, ends) in gateways.iter().zip(&ends) {
        tell(format!("{}: {ends} processes ended for memory over {MEMORY_MB} MB", one.name));
    }
    tell(format!(
        "{count} requests; {} streams whole, {} broken off; {} bytes without end sent",
        whole.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed),
        sent.load(Ordering::Relaxed)
    ));
    let faulty = ends.iter().filter(|ends| **ends >= ENDS).count();
    let least = (gateways.len() / 10).max(2);
    finish(faulty >= least, &format!("processes ended by themselves {ENDS} times or more on {faulty} machines (Fault from {least} on)"));
}

/// The platform's part: ends a process whose memory is over the limit and starts it again; returns
/// how often.
fn watch(gateway: &Arc<Gateway>, is_over: &AtomicBool) -> u32 {
    let (mut ends, mut peak) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let memory = gateway.memory().unwrap_or(0);
        peak = peak.max(memory);
        if memory > u64::from(MEMORY_MB) << 20 {
            ends += 1;
            gateway.kill();
            note(format!("{}: {} MB in use, ended by the platform", gateway.name, memory >> 20));
            pause(500);
            gateway.start();
        } else if let Some(status) = gateway.ended() {
            cannot_run(&format!("{} ended: {status}", gateway.name));
        }
        pause(4);
    }
    note(format!("{}: at most {} MB in use", gateway.name, peak >> 20));
    ends
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-5pa2yhv","host":"{HOST}","prefix":"/lohu930/","routeType":"streaming","timeoutMs":39000,"targetLatencyMs":{OBJECTIVE_MS},"priority":1,"service":"agatemoor-pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":180}}],"services":[{{"name":"agatemoor-pool","healthPath":"/health","maxConnections":252,"protocol":"h1","tls":false,"engine":{{"slots":24,"kvCapacity":34288,"kvBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#
    )
}
