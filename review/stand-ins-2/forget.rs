//! Case: a part of prompts crashes runners, and all gateways are killed at the same time, twice; they
//! forget what they knew of the part, and each time it crashes runners anew.
mod common;

use common::*;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "rounds.example";
/// The part of a prompt that crashes each runner that begins to write an answer on it.
const DEADLY: &str = "0badc0de";
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time between two requests with the part.
const DEADLY_EVERY: Duration = Duration::from_millis(3_500);
/// Seconds at which all gateways are killed.
const KILLS: [u64; 2] = [16, 36];
const LENGTH: u64 = 56;
/// Crashes from the last of which on the rule counts, and requests that it allows after that.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;

struct Runner {
    name: String,
    zone: &'static str,
    store: Arc<Store>,
    open: Mutex<Vec<TcpStream>>,
    has_crashed: AtomicBool,
}

#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<Instant>>,
    /// Requests with the part that reached a runner, with the time and whether the machine that sent
    /// them was in touch.
    arrivals: Mutex<Vec<(Instant, bool, String)>>,
    sound_lost: AtomicU32,
    /// When each machine's process last started.
    started: Mutex<Vec<Instant>>,
    /// Machine that each request was sent to.
    sent_to: Mutex<Vec<(String, usize)>>,
}

impl Runner {
    fn run(self: Arc<Self>, seen: Arc<Seen>) {
        let mut address = "127.0.0.1:0".to_owned();
        loop {
            let listener = TcpListener::bind(&address);
            let listener = listener.unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
            let local = listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
            address = local.to_string();
            let _ = listener.set_nonblocking(true);
            let entry = entry("agatemoor-pool", local, self.zone, 24, "ready", unix_millis());
            self.store.put(&format!("servers/{}", self.name), &entry);
            while !self.has_crashed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    pause(2);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    lock(&self.open).push(copy);
                }
                let (own, seen) = (self.clone(), seen.clone());
                thread::spawn(move || own.serve(stream, &seen));
            }
            drop(listener);
            for stream in lock(&self.open).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // "The runner is back after some seconds."
            pause(2_000);
            self.has_crashed.store(false, Ordering::Relaxed);
        }
    }

    fn serve(&self, mut out: TcpStream, seen: &Seen) -> io::Result<()> {
        let mut reader = BufReader::new(out.try_clone()?);
        let Some(head) = read_head(&mut reader)? else { return Ok(()) };
        read_body(&mut reader, &head, false)?;
        let id = head.get("request-attempt-id").unwrap_or("");
        if head.target().1 == "/report" {
            respond(&mut out, "200 OK", &[], b"{\"busy\":false}")?;
            return Ok(());
        }
        let is_deadly = head.get("prompt-prefix").is_some_and(|parts| parts.contains(DEADLY));
        note(format!("{id} reaches {}{}", self.name, if is_deadly { ", deadly" } else { "" }));
        if is_deadly {
            let sent_to = lock(&seen.sent_to);
            let machine = sent_to.iter().find(|(known, _)| known == id).map(|(_, machine)| *machine);
            drop(sent_to);
            let up = machine.map(|machine| lock(&seen.started)[machine].elapsed());
            let is_in_touch = up.is_some_and(|up| up > CONTACT);
            lock(&seen.arrivals).push((Instant::now(), is_in_touch, id.to_owned()));
        }
        pause(150);
        out.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nResponse-Seal: 3e1b.07\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        if is_deadly {
            note(format!("{} crashes on {id}", self.name));
            lock(&seen.crashes).push(Instant::now());
            self.has_crashed.store(true, Ordering::Relaxed);
            return Ok(());
        }
        for number in 1..=60 {
            pause(40);
            let event = format!("id: {number}\ndata: four more tokens here\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

fn main() {
    let (_, scratch) = folders();
    let (store, store_address) = Store::start();
    let seen = Arc::new(Seen::default());
    let zones = ["thapathali", "balaju", "patan"];
    for number in 0..9 {
        let runner = Arc::new(Runner {
            name: format!("i-{number}e70b15"),
            zone: zones[number % 3],
            store: store.clone(),
            open: Mutex::default(),
            has_crashed: AtomicBool::new(false),
        });
        let seen = seen.clone();
        thread::spawn(move || runner.run(seen));
    }
    store.put("op/config", &config());
    let machine = |name, ip, zone| Machine { name, ip, zone, memory_mb: 110, cpu_share: 0.25, store: store_address };
    let gateways = make_machines(
        &scratch,
        &[
            machine("edge-thapathali-1", "127.0.0.1", "thapathali"),
            machine("edge-balaju-1", "127.0.0.2", "balaju"),
            machine("edge-patan-1", "127.0.0.3", "patan"),
        ],
    );
    for one in &gateways {
        one.start();
        lock(&seen.started).push(Instant::now());
    }
    await_ready(&gateways);
    thread::sleep(CONTACT);

    let start = Instant::now();
    let mut kills = KILLS.iter().filter(|_| !is_calm()).peekable();
    let (mut next_deadly, mut next_sound) = (start + Duration::from_secs(1), start);
    let mut count = 0;
    while start.elapsed() < Duration::from_secs(LENGTH) {
        if kills.next_if(|at| start.elapsed() >= Duration::from_secs(**at)).is_some() {
            tell("all gateways are killed");
            for (number, one) in gateways.iter().enumerate() {
                one.kill();
                one.start();
                lock(&seen.started)[number] = Instant::now();
            }
            // Nothing is sent while no machine is ready and in touch.
            await_ready(&gateways);
            thread::sleep(CONTACT + Duration::from_millis(500));
            next_deadly = Instant::now();
        }
        if Instant::now() >= next_deadly {
            next_deadly += DEADLY_EVERY;
            send(count, &gateways, &seen, true);
            count += 1;
        }
        if Instant::now() >= next_sound {
            next_sound = Instant::now() + Duration::from_millis(250);
            send(count, &gateways, &seen, false);
            count += 1;
        }
        pause(10);
    }
    let crashes = lock(&seen.crashes).clone();
    let arrivals = lock(&seen.arrivals);
    let late = arrivals.iter().filter(|(at, is_in_touch, _)| {
        *is_in_touch && crashes.get(CRASHES - 1).is_some_and(|fifth| *at > *fifth + CONTACT)
    });
    let late = late.count();
    tell(format!(
        "{} requests with the part reached runners and crashed {}; {} sound streams were broken off",
        arrivals.len(),
        crashes.len(),
        seen.sound_lost.load(Ordering::Relaxed)
    ));
    finish(late > ALLOWED, &format!("{late} of them later than {} ms after the fifth crash, sent by machines in touch (allowed: {ALLOWED})", CONTACT.as_millis()));
}

/// Sends a request for a stream to one of the machines in turn; no two are alike.
fn send(count: usize, gateways: &[Arc<Gateway>], seen: &Arc<Seen>, is_deadly: bool) {
    let number = count % gateways.len();
    let (gateway, seen) = (gateways[number].clone(), seen.clone());
    thread::spawn(move || {
        let id = new_id();
        lock(&seen.sent_to).push((id.clone(), number));
        let part = if is_deadly { DEADLY } else { "91bd3f06" };
        let parts = format!("5c1e07a2:79,{part}:200,{}:1200", &id[..8]);
        let headers = [
            ("Host", HOST),
            ("Request-Attempt-Id", id.as_str()),
            ("Model", "m"),
            ("Token-Counts", "1479,240"),
            ("Prompt-Prefix", parts.as_str()),
            ("Deadline-Remaining", "6000"),
            ("Api-Key", "xd9dnn2ctnfzs989anu6"),
        ];
        note(format!("{id} sent to {}{}", gateway.name, if is_deadly { ", deadly" } else { "" }));
        let body = id.repeat(100);
        let answer = ask(gateway.front, &request("POST", "/lohu930/2f", &headers, body.as_bytes()), Duration::from_secs(7));
        if !is_deadly && answer.status == 200 && !answer.is_whole {
            seen.sound_lost.fetch_add(1, Ordering::Relaxed);
        }
        note(format!("{id} gets {} whole: {} {}", answer.status, answer.is_whole, answer.reason));
    });
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-5pa2yhv","host":"{HOST}","prefix":"/lohu930/","routeType":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":1,"service":"agatemoor-pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":180}}],"services":[{{"name":"agatemoor-pool","healthPath":"/health","maxConnections":252,"protocol":"h1","tls":false,"engine":{{"slots":24,"kvCapacity":34288,"kvBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#
    )
}
