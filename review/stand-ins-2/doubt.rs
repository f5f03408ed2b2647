//! Case: one machine is cut off from the store for a while; after that all machines, which nothing has
//! disturbed, doubt that runners leave.
mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "rounds.example";
/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const RUNNERS: usize = 8;
/// Runners that the release replaces one after the other, so many after each cut.
const REPLACED: usize = 36;
/// Time between two of them.
const STEP: u64 = 40;
const REQUESTERS: usize = 20;
const CUTS: usize = 4;
/// Length of a cut; the site's largest is 5.5 s.
const CUT: Duration = Duration::from_millis(5_500);

/// When the store accepted that a runner is gone.
type Leaves = Arc<Mutex<BTreeMap<String, Instant>>>;

fn main() {
    let (_, scratch) = folders();
    let (store, _) = Store::start();
    let leaves = Leaves::default();
    let late = Arc::new(Mutex::new(Vec::<String>::new()));
    let start_runner = {
        let (store, leaves, late) = (store.clone(), leaves.clone(), late.clone());
        move |number: usize| start_runner(number, &store, &leaves, &late)
    };
    for number in 0..RUNNERS {
        start_runner(number);
    }
    store.put("op/config", &config());
    let machine = |name, ip, zone| Machine { name, ip, zone, memory_mb: 110, cpu_share: 0.25, store: store.open(name) };
    let gateways = make_machines(
        &scratch,
        &[
            machine("edge-thapathali-1", "127.0.0.1", "thapathali"),
            machine("edge-thapathali-2", "127.0.0.2", "thapathali"),
            machine("edge-balaju-1", "127.0.0.3", "balaju"),
            machine("edge-balaju-2", "127.0.0.4", "balaju"),
        ],
    );
    for one in &gateways {
        one.start();
    }
    await_ready(&gateways);

    thread::sleep(CONTACT);
    let readers = store.readers();
    note(format!("machines that read the runners: {readers:?}"));
    let Some(reader) = readers.first() else {
        cannot_run("no machine reads the runners");
    };
    // Requests go to the other machines only, which stay in touch all the while.
    let in_touch: Vec<_> = gateways.iter().filter(|one| one.name != **reader).cloned().collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let (in_touch, is_over) = (in_touch.clone(), is_over.clone());
            thread::spawn(move || send_requests(number, &in_touch, &is_over))
        })
        .collect();
    let mut oldest = 0;
    for _ in 0..CUTS {
        if !is_calm() {
            tell(format!("{reader} is cut off from the store"));
            store.cut(Some(reader));
        }
        thread::sleep(CUT);
        if !is_calm() {
            tell("the cut heals");
            store.cut(None);
        }
        // A release: the new runner starts first, the old one leaves. Some runners never report
        // `draining`; these are of that kind. They go on serving.
        for _ in 0..REPLACED {
            start_runner(oldest + RUNNERS);
            let name = name_of(oldest);
            lock(&leaves).insert(name.clone(), Instant::now());
            store.remove(&format!("servers/{name}"));
            note(format!("the store accepts that {name} is gone"));
            oldest += 1;
            pause(STEP);
        }
        thread::sleep(DRAIN + CONTACT);
    }
    is_over.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    let late = lock(&late);
    for line in late.iter() {
        tell(line);
    }
    finish(!late.is_empty(), &format!("{} requests reached a runner more than {} ms after it was gone", late.len(), DRAIN.as_millis()));
}

fn name_of(number: usize) -> String {
    format!("i-{number:02}c08d2b")
}

fn start_runner(number: usize, store: &Arc<Store>, leaves: &Leaves, late: &Arc<Mutex<Vec<String>>>) {
    let name = name_of(number);
    let (own, leaves, late) = (name.clone(), leaves.clone(), late.clone());
    let served = serve("127.0.0.1:0", move |head, _, out| {
        let id = head.get("request-attempt-id").unwrap_or("");
        let left = lock(&leaves).get(&own).map(Instant::elapsed);
        let age = left.map_or(String::new(), |age| format!(", gone for {} ms", age.as_millis()));
        note(format!("{id} reaches {own}{age}"));
        if left.is_some_and(|age| age > DRAIN) {
            lock(&late).push(format!("{id} reached {own}{age}"));
        }
        pause(20);
        respond(out, "200 OK", &[("Request-Attempt-Id", id), ("Response-Seal", "3e1b.07")], &[b'a'; 800])
    });
    let (address, _) = served.unwrap_or_else(|error| cannot_run(&error.to_string()));
    let zone = ["thapathali", "balaju"][number % 2];
    store.put(&format!("servers/{name}"), &entry("rounds-app", address, zone, 6, "ready", unix_millis()));
}

fn send_requests(number: usize, gateways: &[Arc<Gateway>], is_over: &AtomicBool) {
    let mut random = Random(0x1234_5678 + number as u64);
    while !is_over.load(Ordering::Relaxed) {
        let gateway = &gateways[random.next() as usize % gateways.len()];
        let id = new_id();
        let headers = [
            ("Host", HOST),
            ("Request-Attempt-Id", id.as_str()),
            ("Deadline-Remaining", "1000"),
            ("Api-Key", "xd9dnn2ctnfzs989anu6"),
        ];
        let sent_at: SocketAddr = gateway.front;
        note(format!("{id} sent to {}", gateway.name));
        let answer = ask(sent_at, &request("POST", "/pule252/2f", &headers, &[b'b'; 600]), Duration::from_secs(2));
        note(format!("{id} gets {} {}", answer.status, answer.reason));
        pause(40 + random.next() % 80);
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-8kq2m","host":"{HOST}","prefix":"/pule252/","routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"rounds-app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"rounds-app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#
    )
}
