//! A model runner, as PROTOCOL.md has it: streams of events, reports, copies of running requests and resumes.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::{Conn, Lab, Request, Store, serve, sleep_ms};

/// What a runner does with requests that go on from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumes {
    /// It serves them.
    Served,
    /// It takes them, gives no answer to nine of twenty, and breaks those off after so many
    /// milliseconds; it serves the others.
    Hang(u64),
}

/// Time until a runner has turned a request away.
const REJECT_MS: u64 = 20;

/// How a runner works.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time until the first event.
    pub first_ms: u64,
    /// Time between two events of four tokens.
    pub event_ms: u64,
    /// Time to copy the memory of a request.
    pub copy_ms: u64,
    /// Time to answer a plain request; 0 at runners that answer with streams.
    pub plain_ms: u64,
}

/// Outcome of a run at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    /// The gateway closed the connection while the runner was at work.
    Closed,
    /// Stopped by an order of the gateway.
    Stopped,
    /// The runner broke it off.
    BrokenOff,
}

/// One arrival of a request at a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub runner: String,
    pub request: String,
    pub at: u64,
    /// When its run or its wait ended.
    pub ended_at: Option<u64>,
    pub end: Option<RunEnd>,
    pub is_resume: bool,
    /// The header `Tenant`.
    pub tenant: String,
}

struct Running {
    stop: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    events: Arc<AtomicU64>,
}

struct Copy {
    request: String,
    is_used: bool,
}

/// What all runners know of one another, and what arrived at them.
#[derive(Clone, Default)]
pub struct Fleet {
    copies: Arc<Mutex<HashMap<String, Copy>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    pace: Pace,
    resumes: Resumes,
    /// Requests that came to go on from a copy.
    resume_count: Arc<AtomicU64>,
    is_draining: Arc<AtomicBool>,
    /// Whether its port is closed, after a crash.
    is_down: Arc<AtomicBool>,
    /// Whether its connections are closed, after a crash.
    is_cut: Arc<AtomicBool>,
    /// Until when it turns requests away, in milliseconds since the start of the case.
    quiet_until: Arc<AtomicU64>,
    running: Arc<Mutex<HashMap<String, Running>>>,
    sequence: Arc<AtomicU64>,
    born: u64,
    fleet: Fleet,
    lab: Lab,
}

/// Settings of a runner.
pub struct EngineSetup<'a> {
    pub id: &'a str,
    pub ip: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub pace: Pace,
    pub resumes: Resumes,
}

impl Engine {
    /// Time for which a request that goes on from a copy hangs, for nine of twenty at a runner that hangs.
    fn hang_ms(&self) -> Option<u64> {
        let Resumes::Hang(ms) = self.resumes else {
            return None;
        };
        let number = self.resume_count.fetch_add(1, Ordering::Relaxed);
        // The numbers 1, 3, 5 and so on of each twenty but the last, so that no more than .45 hang.
        (number % 20 % 2 == 1 && number % 20 < 19).then_some(ms)
    }

    pub fn start(lab: &Lab, fleet: &Fleet, setup: EngineSetup<'_>) -> io::Result<Self> {
        let listener = TcpListener::bind((setup.ip, 0))?;
        let since = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let engine = Self {
            id: setup.id.to_owned(),
            address: listener.local_addr()?,
            service: setup.service.to_owned(),
            zone: setup.zone.to_owned(),
            pace: setup.pace,
            resumes: setup.resumes,
            resume_count: Arc::default(),
            is_draining: Arc::default(),
            is_down: Arc::default(),
            is_cut: Arc::default(),
            quiet_until: Arc::default(),
            running: Arc::default(),
            sequence: Arc::default(),
            born: since.as_millis() as u64,
            fleet: fleet.clone(),
            lab: lab.clone(),
        };
        engine.listen(listener);
        Ok(engine)
    }

    /// Serves connections until the process is down.
    fn listen(&self, listener: TcpListener) {
        let shared = self.clone();
        serve(listener, self.is_down.clone(), move |mut conn| {
            while let Ok(Some(request)) = conn.read_request() {
                if !matches!(shared.answer(&mut conn, &request), Ok(true)) {
                    return;
                }
            }
        });
    }

    /// The processes of some runners crash: their ports and then their connections are closed.
    pub fn crash(runners: &[Self]) {
        for runner in runners {
            runner.is_down.store(true, Ordering::Relaxed);
        }
        // The listeners notice within 2 ms.
        sleep_ms(10);
        for runner in runners {
            runner.is_cut.store(true, Ordering::Relaxed);
            runner
                .lab
                .record
                .add(format!("runner {} crashes", runner.id));
        }
    }

    /// The process starts again under its id, as another boot.
    pub fn start_again(&mut self, store: &Store) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let since = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        self.born = since.as_millis() as u64;
        self.is_down = Arc::default();
        self.is_cut = Arc::default();
        self.sequence = Arc::default();
        self.listen(listener);
        self.register(store);
        self.lab
            .record
            .add(format!("runner {} is back and registered", self.id));
        Ok(())
    }

    /// Answers a plain request; false if the connection is over.
    fn answer_plain(
        &self,
        conn: &mut Conn,
        request: &Request,
        mut headers: Vec<(&'static str, String)>,
    ) -> io::Result<bool> {
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            conn.respond("421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        let id = request.header("request-attempt-id").unwrap_or("");
        let record = |text: &str| {
            self.lab
                .record
                .add(format!("runner {} {text} {id}", self.id))
        };
        let left = self
            .quiet_until
            .load(Ordering::Relaxed)
            .saturating_sub(self.lab.record.now());
        if left > 0 {
            self.arrive(id, false, "", "");
            sleep_ms(REJECT_MS);
            headers.push(("Not-Executed", "1".to_owned()));
            headers.push(("Retry-After", format!("{:.3}", left as f64 / 1_000.0)));
            record("answers 503 with Retry-After to");
            conn.respond("503 Service Unavailable", &headers, b"")?;
            return Ok(true);
        }
        record("runs");
        let end = Instant::now() + Duration::from_millis(self.pace.plain_ms);
        while Instant::now() < end {
            if is_closed(conn) {
                record("sees the gateway close the connection while it runs");
                return Ok(false);
            }
            if self.is_cut.load(Ordering::Relaxed) {
                record("crashes while it runs");
                let _ = conn.stream.shutdown(std::net::Shutdown::Both);
                return Ok(false);
            }
            sleep_ms(1);
        }
        headers.push(("Response-Seal", "seal-1".to_owned()));
        conn.respond("200 OK", &headers, b"fine")?;
        Ok(true)
    }

    /// Wants nothing for so long: answers 503 with `Retry-After` for the rest of that time.
    pub fn be_quiet(&self, ms: u64) {
        let until = self.lab.record.now() + ms;
        self.quiet_until.store(until, Ordering::Relaxed);
        self.lab
            .record
            .add(format!("runner {} wants nothing for {ms} ms", self.id));
    }

    /// Writes the entry of this runner into the store.
    pub fn register(&self, store: &Store) {
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":24,\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born,
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Reports that this runner leaves; it goes on serving.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.register(store);
        self.lab.record.add(format!(
            "runner {} reports draining; the store acknowledged it",
            self.id
        ));
    }

    fn own_headers(&self, request: &Request) -> Vec<(&'static str, String)> {
        let mut headers = vec![("Instance-Id", self.id.clone())];
        if let Some(id) = request.header("request-attempt-id") {
            headers.push(("Request-Attempt-Id", id.to_owned()));
        }
        if self.is_draining.load(Ordering::Relaxed) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        headers
    }

    /// Answers one request; false if the connection is over.
    fn answer(&self, conn: &mut Conn, request: &Request) -> io::Result<bool> {
        let json = ("Content-Type", "application/json".to_owned());
        let mut headers = self.own_headers(request);
        match (request.method.as_str(), request.path()) {
            ("GET", "/report") => {
                headers.push(json);
                let state = if self.is_draining.load(Ordering::Relaxed) {
                    "draining"
                } else {
                    "ready"
                };
                let active = self.running.lock().unwrap().len();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queueDepth\":0,\"activeRequests\":{active},\"kvUsed\":0,\"kvTotal\":34288,\"handles\":0,\"state\":\"{state}\",\"runs\":[],\"born\":{}}}",
                    self.born
                );
                conn.respond("200 OK", &headers, body.as_bytes())?;
                Ok(true)
            }
            ("GET", "/health") => {
                conn.respond("200 OK", &headers, b"")?;
                Ok(true)
            }
            ("POST", "/kv-move") => {
                headers.push(json);
                self.copy(conn, request, &headers)?;
                Ok(true)
            }
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                self.fleet
                    .copies
                    .lock()
                    .unwrap()
                    .remove(path.trim_start_matches("/kv-handle/"));
                conn.respond("200 OK", &headers, b"")?;
                Ok(true)
            }
            _ if self.pace.plain_ms > 0 => self.answer_plain(conn, request, headers),
            _ => self.run(conn, request, headers),
        }
    }

    fn copy(
        &self,
        conn: &mut Conn,
        request: &Request,
        headers: &[(&str, String)],
    ) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = field(&body, "id").unwrap_or_default();
        let is_last = body.contains("\"last\":true");
        let target = field(&body, "target").unwrap_or_default();
        let word = if is_last { "stop and copy" } else { "copy" };
        self.lab.record.add(format!(
            "runner {} gets the order to {word} {id} to {target}",
            self.id
        ));
        let found = self
            .running
            .lock()
            .unwrap()
            .get(&id)
            .map(|run| (run.stop.clone(), run.stopped.clone(), run.events.clone()));
        let Some((stop, stopped, events)) = found else {
            return conn.respond("404 Not Found", headers, b"{}");
        };
        if is_last {
            stop.store(true, Ordering::Relaxed);
            while !stopped.load(Ordering::Relaxed) {
                sleep_ms(1);
            }
        }
        sleep_ms(self.pace.copy_ms);
        let handle = format!("k{}-{id}", self.lab.next_number());
        self.fleet.copies.lock().unwrap().insert(
            handle.clone(),
            Copy {
                request: id.clone(),
                is_used: false,
            },
        );
        let body = format!(
            "{{\"handle\":\"{handle}\",\"createRevision\":{}}}",
            events.load(Ordering::Relaxed)
        );
        conn.respond("200 OK", headers, body.as_bytes())
    }

    /// Begins the record of an arrival; returns its place.
    fn arrive(&self, id: &str, is_resume: bool, tenant: &str, text: &str) -> usize {
        let at = self.lab.record.add(format!(
            "runner {} gets {id} of tenant {tenant}{text}",
            self.id
        ));
        let arrival = Arrival {
            runner: self.id.clone(),
            request: id.to_owned(),
            at,
            ended_at: None,
            end: None,
            is_resume,
            tenant: tenant.to_owned(),
        };
        let mut arrivals = self.fleet.arrivals.lock().unwrap();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn end(&self, place: usize, end: RunEnd, text: &str) {
        let id = self.fleet.arrivals.lock().unwrap()[place].request.clone();
        let at = self
            .lab
            .record
            .add(format!("runner {}: {id} {text}", self.id));
        let mut arrivals = self.fleet.arrivals.lock().unwrap();
        arrivals[place].ended_at = Some(at);
        arrivals[place].end = Some(end);
    }

    /// Runs a request of a requester; false if its connection is over.
    fn run(
        &self,
        conn: &mut Conn,
        request: &Request,
        mut headers: Vec<(&'static str, String)>,
    ) -> io::Result<bool> {
        let id = request
            .header("request-attempt-id")
            .unwrap_or("")
            .to_owned();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            conn.respond("421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        let from = request.header("kv-from").map(str::to_owned);
        let text = from.as_ref().map_or(String::new(), |from| {
            format!(
                " to go on from {from} after event {}",
                request.header("last-event-id").unwrap_or("0")
            )
        });
        let tenant = request.header("tenant").unwrap_or("").to_owned();
        let place = self.arrive(&id, from.is_some(), &tenant, &text);
        let mut next = 1;
        if let Some(from) = &from {
            let handle = from
                .split_once('/')
                .map_or("", |(_, handle)| handle)
                .to_owned();
            if let Some(ms) = self.hang_ms() {
                let end = Instant::now() + Duration::from_millis(ms);
                while Instant::now() < end {
                    if is_closed(conn) {
                        self.end(
                            place,
                            RunEnd::Closed,
                            "was closed by the gateway while the runner hung",
                        );
                        return Ok(false);
                    }
                    sleep_ms(5);
                }
                self.end(
                    place,
                    RunEnd::BrokenOff,
                    "gets no answer; the runner breaks the connection off",
                );
                return Ok(false);
            }
            let mut copies = self.fleet.copies.lock().unwrap();
            let is_good = copies.get_mut(&handle).is_some_and(|copy| {
                copy.request == id && !std::mem::replace(&mut copy.is_used, true)
            });
            drop(copies);
            if !is_good {
                headers.push(("Not-Executed", "1".to_owned()));
                self.end(
                    place,
                    RunEnd::BrokenOff,
                    "is refused with 503: there is no such copy",
                );
                conn.respond("503 Service Unavailable", &headers, b"")?;
                return Ok(true);
            }
            next = request
                .header("last-event-id")
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
                + 1;
        }
        let limit: u64 = request
            .header("token-counts")
            .and_then(|text| text.split_once(','))
            .and_then(|(_, limit)| limit.trim().parse().ok())
            .unwrap_or(4);
        let count = limit.div_ceil(4);
        let (stop, stopped, events) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(next - 1)),
        );
        let run = Running {
            stop: stop.clone(),
            stopped: stopped.clone(),
            events: events.clone(),
        };
        self.running.lock().unwrap().insert(id.clone(), run);
        let end = self.stream(conn, &headers, next, count, &stop, &events, from.is_some());
        self.running.lock().unwrap().remove(&id);
        match end {
            RunEnd::Complete => self.end(place, end, &format!("is complete with event {count}")),
            RunEnd::Stopped => self.end(
                place,
                end,
                &format!("is stopped after event {}", events.load(Ordering::Relaxed)),
            ),
            RunEnd::Closed => self.end(
                place,
                end,
                &format!(
                    "is closed by the gateway after event {} of {count}",
                    events.load(Ordering::Relaxed)
                ),
            ),
            RunEnd::BrokenOff => self.end(place, end, "is broken off"),
        }
        let _ = conn.stream.shutdown(std::net::Shutdown::Both);
        stopped.store(true, Ordering::Relaxed);
        Ok(false)
    }

    /// Writes the events of a run.
    #[allow(clippy::too_many_arguments)]
    fn stream(
        &self,
        conn: &mut Conn,
        headers: &[(&str, String)],
        next: u64,
        count: u64,
        stop: &AtomicBool,
        events: &AtomicU64,
        is_resume: bool,
    ) -> RunEnd {
        let first = if is_resume {
            self.pace.event_ms
        } else {
            self.pace.first_ms
        };
        if let Some(end) = wait(conn, first, stop) {
            return end;
        }
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nResponse-Seal: seal-1\r\nWeight-Versions: 1\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        if conn.stream.write_all(head.as_bytes()).is_err() {
            return RunEnd::Closed;
        }
        for number in next..=count {
            if number > next
                && let Some(end) = wait(conn, self.pace.event_ms, stop)
            {
                return end;
            }
            let event = format!("id: {number}\ndata: tokens {number} of {count}\n\n");
            if conn
                .stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return RunEnd::Closed;
            }
            events.store(number, Ordering::Relaxed);
        }
        match conn.stream.write_all(b"0\r\n\r\n") {
            Ok(()) => RunEnd::Complete,
            Err(_) => RunEnd::Closed,
        }
    }
}

/// Waits before the next event; the end of the run if it is stopped or closed meanwhile.
fn wait(conn: &Conn, ms: u64, stop: &AtomicBool) -> Option<RunEnd> {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        if stop.load(Ordering::Relaxed) {
            return Some(RunEnd::Stopped);
        }
        if is_closed(conn) {
            return Some(RunEnd::Closed);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
}

/// Whether the other end has closed the connection.
pub fn is_closed(conn: &Conn) -> bool {
    let _ = conn.stream.set_nonblocking(true);
    let peeked = conn.stream.peek(&mut [0]);
    let _ = conn.stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    Some(json[at..].split('"').next()?.to_owned())
}
