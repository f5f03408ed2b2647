use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fake_platform::FakePlatform;
use super::raw_http::{RawRequest, read_request};
use super::soak_caller::LONG_TOKENS;
use super::soak_history::{ArrivalOutcome, Millis, Recorder};

/// Start of the body of calls that crash their targets; the number of the call follows.
pub const CRASH_BODY_PREFIX: &str = "crasher ";
/// Part of a prompt that crashes the runner when that begins to write an answer on it.
pub const DEADLY_PART: &str = "dead";
/// Time to read a prompt.
const PREFILL_DURATION: Duration = Duration::from_millis(60);
/// Events of a stream.
pub const STREAM_EVENTS: u32 = 20;
/// Pause between two events of a stream.
const STREAM_EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Pause between two events of a stream that outlasts a planned stop.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(700);
/// Time to execute a call at a plain service.
const PLAIN_CALL_DURATION: Duration = Duration::from_millis(15);
/// One in this many plain calls takes [`SLOW_CALL_DURATION`], at runners that have such calls.
const SLOW_ONE_IN: u64 = 5;
/// Time to execute a slow plain call: nearly the timeout of its route.
const SLOW_CALL_DURATION: Duration = Duration::from_millis(900);
/// One in this many calls gets no answer, and one in this many plain calls gets its answer twice.
const DEFECT_ONE_IN: u64 = 40;

/// How a runner answers at present.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerBehavior {
    /// Whether its answers say that it is leaving.
    is_leaving: bool,
    /// Back-off that it asks for when it refuses calls; `None` if it accepts calls.
    backoff: Option<Millis>,
    /// Rate of calls that its answers name.
    rate: Option<f64>,
}

/// What distinguishes one runner from another.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSettings {
    pub service: &'static str,
    pub zone: &'static str,
    /// Where it listens at first.
    pub address: SocketAddr,
    /// Whether some plain calls take [`SLOW_CALL_DURATION`].
    pub has_slow_calls: bool,
    /// Calls that it runs at once, as its entry says.
    pub slots: u32,
}

/// A target of the users' platform that can crash, leave and refuse calls.
pub struct FakeRunner {
    pub service: &'static str,
    zone: &'static str,
    address: Mutex<SocketAddr>,
    has_slow_calls: bool,
    slots: u32,
    platform: Arc<FakePlatform>,
    recorder: Recorder,
    /// Number of its present instance.
    instance: AtomicU64,
    behavior: Mutex<RunnerBehavior>,
    crashed: Notify,
    /// State in its last entry in the store.
    state: Mutex<&'static str>,
    /// Number of its last entry.
    sequence: AtomicU64,
    /// Calls that arrived.
    arrivals: AtomicU64,
}

/// Pause before another attempt to listen on an address that is in use.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Time from the crash of an instance to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(900);

/// Number of the next instance, over all runners.
static NEXT_INSTANCE: AtomicU64 = AtomicU64::new(1);

impl FakeRunner {
    pub async fn start(
        platform: &Arc<FakePlatform>,
        recorder: &Recorder,
        settings: RunnerSettings,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            service: settings.service,
            zone: settings.zone,
            address: Mutex::new(settings.address),
            has_slow_calls: settings.has_slow_calls,
            slots: settings.slots,
            platform: platform.clone(),
            recorder: recorder.clone(),
            instance: AtomicU64::new(0),
            behavior: Mutex::default(),
            crashed: Notify::new(),
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
            arrivals: AtomicU64::new(0),
        });
        tokio::spawn(runner.clone().run_instances());
        runner
    }

    /// Runs one instance after the other, at its present address under new names.
    async fn run_instances(self: Arc<Self>) {
        loop {
            let instance = NEXT_INSTANCE.fetch_add(1, Ordering::Relaxed);
            self.instance.store(instance, Ordering::Relaxed);
            *self.behavior.lock().unwrap() = RunnerBehavior::default();
            let listener = self.bind().await;
            self.publish("ready");
            self.clone().serve_instance(listener, instance).await;
            sleep(RESTART_DELAY).await;
            self.platform.remove(&self.key());
        }
    }

    /// Opens the listener of an instance, once the address is free.
    async fn bind(&self) -> TcpListener {
        loop {
            let address = self.address();
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(error) if error.kind() == ErrorKind::AddrInUse => sleep(BIND_RETRY).await,
                Err(error) => panic!("{address}: {error}"),
            }
        }
    }

    fn address(&self) -> SocketAddr {
        *self.address.lock().unwrap()
    }

    /// Crashes two runners; the next instance of each has the address of the other.
    pub fn swap_addresses(&self, other: &Self) {
        let (own_address, other_address) = (self.address(), other.address());
        *self.address.lock().unwrap() = other_address;
        *other.address.lock().unwrap() = own_address;
        self.crash();
        other.crash();
    }

    /// Serves connections until the instance crashes; then it stops listening and breaks off its
    /// calls.
    async fn serve_instance(self: Arc<Self>, listener: TcpListener, instance: u64) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    calls.spawn(self.clone().serve_connection(stream, instance));
                    while calls.try_join_next().is_some() {}
                }
                () = self.crashed.notified() => break,
            }
        }
        drop(listener);
        calls.shutdown().await;
    }

    /// Crashes; a new instance starts later.
    pub fn crash(&self) {
        self.crashed.notify_one();
    }

    /// Leaves: says so in its answers, and in its entry in the store if `is_announced`; ends after
    /// `notice`, and a new instance starts later.
    pub fn leave(self: &Arc<Self>, is_announced: bool, notice: Duration) {
        self.behavior.lock().unwrap().is_leaving = true;
        if is_announced {
            self.publish("draining");
        }
        self.crash_after(notice);
    }

    /// Refuses calls and asks for a back-off of `span` with each refusal, for a third of `span`.
    pub fn request_backoff(self: &Arc<Self>, span: Duration) {
        let backoff = span.as_millis() as Millis;
        self.behavior.lock().unwrap().backoff = Some(backoff);
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(span / 3).await;
            runner.behavior.lock().unwrap().backoff = None;
        });
    }

    /// Names a rate of calls, a second from all gateways together, in its answers, or none any more.
    pub fn name_rate(&self, rate: Option<f64>) {
        let mut behavior = self.behavior.lock().unwrap();
        behavior.rate = rate;
        let instance = self.instance.load(Ordering::Relaxed);
        self.recorder.record_rate(instance, rate);
    }

    fn crash_after(self: &Arc<Self>, notice: Duration) {
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(notice).await;
            runner.crash();
        });
    }

    /// Number of calls that arrived.
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Writes its entry in the store again.
    pub fn publish_again(&self) {
        let state = *self.state.lock().unwrap();
        self.publish(state);
    }

    pub fn key(&self) -> String {
        format!("servers/i-{}", self.instance.load(Ordering::Relaxed))
    }

    fn publish(&self, state: &'static str) {
        *self.state.lock().unwrap() = state;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = json!({
            "service": self.service, "address": self.address().to_string(), "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
            "sequence": sequence,
            "born": self.instance.load(Ordering::Relaxed),
        });
        self.platform.put(&self.key(), &entry);
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, instance: u64) {
        while let Some(request) = read_request(&mut stream).await {
            if !self.answer_request(&mut stream, &request, instance).await {
                return;
            }
        }
    }

    /// Answers one request; `false` if the connection has to be closed.
    async fn answer_request(
        &self,
        stream: &mut TcpStream,
        request: &RawRequest,
        instance: u64,
    ) -> bool {
        if request.path() != "/report" {
            self.arrivals.fetch_add(1, Ordering::Relaxed);
        }
        let behavior = *self.behavior.lock().unwrap();
        if request.path() == "/report" {
            let state = if behavior.is_leaving {
                "draining"
            } else {
                "ready"
            };
            let body = json!({"state": state}).to_string();
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let id = request.header("request-attempt-id").unwrap_or_default();
        let leaving = match behavior.is_leaving {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let rate = behavior
            .rate
            .map(|rate| format!("Server-Limit: {rate}\r\n"));
        let rate = rate.unwrap_or_default();
        let head = format!("Request-Attempt-Id: {id}\r\nX-Run: {instance}\r\n{leaving}{rate}");
        let record = |outcome| {
            self.recorder.record_arrival(id, instance, outcome);
        };
        let expected = request.header("expect-instance").unwrap_or_default();
        let expected = expected.trim_start_matches("i-").parse().unwrap_or(0);
        if expected != instance {
            record(ArrivalOutcome::WrongInstance(expected));
            let text = format!("HTTP/1.1 421 Other\r\n{head}content-length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        if let Some(backoff) = behavior.backoff {
            record(ArrivalOutcome::AskedBackoff(backoff));
            let seconds = backoff as f64 / 1_000.0;
            let text = format!(
                "HTTP/1.1 503 Full\r\n{head}Not-Executed: 1\r\nRetry-After: {seconds}\r\n\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        if request.body.starts_with(CRASH_BODY_PREFIX) {
            record(ArrivalOutcome::Crashed);
            self.crash_in_call().await;
            return false;
        }
        if breaks_off(id) {
            record(ArrivalOutcome::BrokeOff);
            return false;
        }
        let guard = ArrivalGuard::new(&self.recorder, id, instance);
        let is_reusable = match self.service {
            "pool" if has_deadly_part(request) => {
                if is_closed_within(stream, PREFILL_DURATION).await {
                    return false;
                }
                guard.finish_with(ArrivalOutcome::Crashed);
                self.crash_in_call().await;
                return false;
            }
            "pool" if hash(id) % DEFECT_ONE_IN == 2 => send_unframed(stream, id, &head).await,
            "pool" => {
                let interval = match request.header("token-counts") {
                    Some(LONG_TOKENS) => LONG_EVENT_INTERVAL,
                    _ => STREAM_EVENT_INTERVAL,
                };
                stream_events(stream, id, &head, interval).await
            }
            _ => {
                sleep(self.plain_duration(id)).await;
                answer_plain(stream, id, &head).await
            }
        };
        guard.finish_with(ArrivalOutcome::Ran);
        is_reusable
    }

    /// Time to execute a plain call.
    fn plain_duration(&self, id: &str) -> Duration {
        match self.has_slow_calls && hash(id) % SLOW_ONE_IN == 3 {
            true => SLOW_CALL_DURATION,
            false => PLAIN_CALL_DURATION,
        }
    }

    /// Crashes because of a call; never returns, as the task of the connection is aborted.
    async fn crash_in_call(&self) {
        self.crashed.notify_one();
        std::future::pending().await
    }
}

/// Records on drop that the runner broke a call off, unless the call was finished.
struct ArrivalGuard<'a> {
    recorder: &'a Recorder,
    id: &'a str,
    index: usize,
    is_finished: bool,
}

impl<'a> ArrivalGuard<'a> {
    fn new(recorder: &'a Recorder, id: &'a str, instance: u64) -> Self {
        Self {
            recorder,
            id,
            index: recorder.record_arrival(id, instance, ArrivalOutcome::Ran),
            is_finished: false,
        }
    }

    fn finish_with(mut self, outcome: ArrivalOutcome) {
        self.is_finished = true;
        self.recorder.record_outcome(self.id, self.index, outcome);
    }
}

impl Drop for ArrivalGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.recorder
                .record_outcome(self.id, self.index, ArrivalOutcome::BrokeOff);
        }
    }
}

async fn answer_plain(stream: &mut TcpStream, id: &str, head: &str) -> bool {
    let body = format!("answer to {id}");
    let text = format!(
        "HTTP/1.1 200 OK\r\n{head}Response-Seal: seal-{id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut bytes = text.into_bytes();
    if hash(id) % DEFECT_ONE_IN == 1 {
        // Sends the answer twice; the next call on the connection must not get the copy.
        let copy = bytes.clone();
        bytes.extend(copy);
    }
    stream.write_all(&bytes).await.is_ok()
}

/// Whether the prompt of a request has the deadly part; the last part is the request's own.
fn has_deadly_part(request: &RawRequest) -> bool {
    let parts = request.header("prompt-prefix").unwrap_or_default();
    let mut parts: Vec<_> = parts.split(',').collect();
    parts.pop();
    parts
        .iter()
        .any(|part| part.split(':').next() == Some(DEADLY_PART))
}

/// Whether the peer closes the connection within `span`.
async fn is_closed_within(stream: &TcpStream, span: Duration) -> bool {
    let mut byte = [0; 1];
    let peeked = timeout(span, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(0) | Err(_)))
}

/// Streams the answer without length or chunks; the connection ends with it.
async fn send_unframed(stream: &mut TcpStream, id: &str, head: &str) -> bool {
    let start = format!(
        "HTTP/1.1 200 OK\r\n{head}Response-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\n\r\n"
    );
    let events = (1..=STREAM_EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n"));
    for text in std::iter::once(start).chain(events) {
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
    }
    false
}

async fn stream_events(stream: &mut TcpStream, id: &str, head: &str, interval: Duration) -> bool {
    let start = format!(
        "HTTP/1.1 200 OK\r\n{head}Response-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if stream.write_all(start.as_bytes()).await.is_err() {
        return false;
    }
    for number in 1..=STREAM_EVENTS {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
        sleep(interval).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Whether a runner closes the connection of a call with this identifier without an answer.
pub fn breaks_off(id: &str) -> bool {
    hash(id).is_multiple_of(DEFECT_ONE_IN)
}

/// Spreads identifiers evenly and gives the same values in every soak (FNV-1a).
fn hash(id: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    id.bytes().fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }) >> 20
}
