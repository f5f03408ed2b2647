//! A model runner: streams, copies of memory, and runs that go on from a copy.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::gateway::own_ip;
use crate::http::json_text;
use crate::record;
use crate::runner::{Arrival, Runner, answer, own_headers};

/// Events of the stream that a case is about.
pub const EVENTS: u64 = 150;
/// Pause between two events.
const PAUSE_MS: u64 = 40;
/// Time by which the end of a stopped stream comes later than the loss of the answer to the order.
const OVERTAKEN_MS: u64 = 100;

/// How model runners behave.
#[derive(Clone, Copy, Default)]
pub struct Behaviour {
    /// The answers to requests whose id begins with `stream` end with their connection, with neither
    /// a length nor chunks.
    pub is_unframed: bool,
    /// Time that the first copy of a run's memory takes.
    pub copy_ms: u64,
    /// The answer to the order to stop is lost.
    pub loses_answer: bool,
}

/// A model runner.
pub struct Engine {
    behaviour: Behaviour,
    runs: Mutex<HashMap<String, Arc<RunState>>>,
    /// It has exited: its connections end.
    pub is_gone: AtomicBool,
    /// Answers that it has given or lost, streams and others.
    pub answers: AtomicUsize,
    /// Answers among them that were lost.
    pub lost: AtomicUsize,
    /// Answers among them without a length or chunks.
    pub unframed: AtomicUsize,
}

/// State of one run.
#[derive(Default)]
struct RunState {
    sent: AtomicU64,
    is_stopped: AtomicBool,
    has_copied: AtomicBool,
}

/// Number of events and pause of a stream by the id of its request.
fn shape(id: &str) -> (u64, u64) {
    match id.split('-').next() {
        Some("short") => (3, 10),
        Some("back") => (350, PAUSE_MS),
        _ => (EVENTS, PAUSE_MS),
    }
}

impl Engine {
    /// A runner that behaves so.
    pub fn new(behaviour: Behaviour) -> Arc<Self> {
        Arc::new(Self {
            behaviour,
            runs: Mutex::default(),
            is_gone: AtomicBool::new(false),
            answers: AtomicUsize::new(0),
            lost: AtomicUsize::new(0),
            unframed: AtomicUsize::new(0),
        })
    }

    /// Starts a runner of the service `pool`.
    pub fn start(self: &Arc<Self>, id: &str, zone: &'static str, number: u8) -> Arc<Runner> {
        let engine = self.clone();
        let work = move |runner: &Runner, arrival: &Arrival, writer: &mut TcpStream| {
            engine.work(runner, arrival, writer)
        };
        Runner::start(id, "pool", zone, 24, &own_ip(number), Arc::new(work))
    }

    fn work(&self, runner: &Runner, arrival: &Arrival, writer: &mut TcpStream) -> bool {
        if self.is_gone.load(Ordering::Acquire) {
            return false;
        }
        self.answers.fetch_add(1, Ordering::AcqRel);
        match arrival.head.word(1) {
            "/kv-move" => self.copy(runner, arrival, writer),
            path if path.starts_with("/kv-handle/") => answer(writer, "200 OK", "", b""),
            _ => self.stream(runner, arrival, writer),
        }
    }

    /// Runs a request from its beginning, or on from a copy.
    fn stream(&self, runner: &Runner, arrival: &Arrival, writer: &mut TcpStream) -> bool {
        let (events, pause) = shape(arrival.id());
        let from = arrival
            .head
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let copy = arrival.head.get("kv-from").map_or(String::new(), |copy| {
            format!(" from the copy {copy}, after event {from}")
        });
        runner.begin(arrival, &copy);
        let state = Arc::new(RunState::default());
        self.runs
            .lock()
            .expect("runs")
            .insert(arrival.id().to_owned(), state.clone());
        let is_unframed = self.behaviour.is_unframed && arrival.id().starts_with("stream");
        self.unframed
            .fetch_add(usize::from(is_unframed), Ordering::AcqRel);
        let framing = match is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n",
            own_headers(arrival)
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in from + 1..=events {
            record::sleep(pause);
            if self.is_gone.load(Ordering::Acquire) {
                record::line(&format!(
                    "runner {}: exits while it works on {}, after event {}",
                    runner.id,
                    arrival.id(),
                    number - 1
                ));
                return false;
            }
            if state.is_stopped.load(Ordering::Acquire) {
                if self.behaviour.loses_answer {
                    record::sleep(OVERTAKEN_MS);
                }
                record::line(&format!(
                    "runner {}: closes the stream of {} without its end, after event {}",
                    runner.id,
                    arrival.id(),
                    number - 1
                ));
                return false;
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let event = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if writer.write_all(event.as_bytes()).is_err() {
                record::line(&format!(
                    "runner {}: the connection of {} was closed",
                    runner.id,
                    arrival.id()
                ));
                return false;
            }
            state.sent.store(number, Ordering::Release);
        }
        if !arrival.id().starts_with("short") {
            record::line(&format!(
                "runner {}: {} is complete",
                runner.id,
                arrival.id()
            ));
        }
        !is_unframed && writer.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Copies the memory of a run to another runner; with `last`, the run stops first.
    fn copy(&self, runner: &Runner, arrival: &Arrival, writer: &mut TcpStream) -> bool {
        let order = String::from_utf8_lossy(&arrival.body).into_owned();
        record::line(&format!("runner {}: gets POST /kv-move {order}", runner.id));
        let id = json_text(&order, "id").unwrap_or_default();
        let found = self.runs.lock().expect("runs").get(&id).cloned();
        let Some(state) = found.filter(|state| !state.is_stopped.load(Ordering::Acquire)) else {
            record::line(&format!("runner {}: no such run", runner.id));
            return answer(writer, "404 Not Found", "", b"");
        };
        if order.contains("\"last\":true") {
            state.is_stopped.store(true, Ordering::Release);
            if self.behaviour.loses_answer {
                self.lost.fetch_add(1, Ordering::AcqRel);
                record::line(&format!(
                    "runner {}: stops the run; the answer to the order is lost",
                    runner.id
                ));
                return false;
            }
            // The stream closes first.
            record::sleep(PAUSE_MS + 20);
        }
        let is_first = !state.has_copied.swap(true, Ordering::AcqRel);
        record::sleep(if is_first {
            self.behaviour.copy_ms.max(20)
        } else {
            20
        });
        record::line(&format!("runner {}: the copy is complete", runner.id));
        let body = format!(
            "{{\"handle\":\"h-{id}\",\"createRevision\":{}}}",
            state.sent.load(Ordering::Acquire)
        );
        answer(
            writer,
            "200 OK",
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }
}

/// Numbers of the events in the body of an answer.
pub fn events_in(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
