use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fake_platform::FakePlatform;
use super::raw_http::{RawRequest, read_request};
use super::soak_history::{ArrivalOutcome, Millis, Recorder};

/// Body of the calls that crash their targets; their number follows.
pub const CRASHER: &str = "crasher ";
/// Pieces of a stream.
pub const PIECES: u32 = 20;
/// Pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(25);
/// Work on a plain call.
const PLAIN_WORK: Duration = Duration::from_millis(15);
/// One in so many answers is lost or spoilt.
const SPOILT_ONE_IN: u64 = 40;

/// How a runner behaves now.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerMood {
    /// Says in its answers that it leaves.
    is_leaving: bool,
    /// Turns calls away and wants nothing for so long.
    quiet: Option<Millis>,
}

/// A target of the users' platform, which can die, leave and turn calls away.
pub struct FakeRunner {
    pub service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    platform: Arc<FakePlatform>,
    recorder: Recorder,
    /// Number of its present run.
    run: AtomicU64,
    mood: Mutex<RunnerMood>,
    down: Notify,
}

/// Time for which a runner that died is away.
const AWAY: Duration = Duration::from_millis(900);

/// Numbers the runs of all runners.
static RUNS: AtomicU64 = AtomicU64::new(1);

impl FakeRunner {
    pub async fn start(
        platform: &Arc<FakePlatform>,
        recorder: &Recorder,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            service,
            zone,
            address,
            platform: platform.clone(),
            recorder: recorder.clone(),
            run: AtomicU64::new(0),
            mood: Mutex::default(),
            down: Notify::new(),
        });
        tokio::spawn(runner.clone().live());
        runner
    }

    /// One run after the other, at the same address under new names.
    async fn live(self: Arc<Self>) {
        loop {
            let run = RUNS.fetch_add(1, Ordering::Relaxed);
            self.run.store(run, Ordering::Relaxed);
            *self.mood.lock().unwrap() = RunnerMood::default();
            let listener = TcpListener::bind(self.address).await.unwrap();
            self.publish("ready");
            self.clone().serve_run(listener, run).await;
            sleep(AWAY).await;
            self.platform.remove(&self.key());
        }
    }

    /// Serves until the run ends; then it refuses connections, and its calls break off.
    async fn serve_run(self: Arc<Self>, listener: TcpListener, run: u64) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    calls.spawn(self.clone().serve(stream, run));
                    while calls.try_join_next().is_some() {}
                }
                () = self.down.notified() => break,
            }
        }
        drop(listener);
        calls.shutdown().await;
    }

    /// Dies, and comes back as a new run.
    pub fn crash(&self) {
        self.down.notify_one();
    }

    /// Leaves: says so in its answers, and in its entry if `is_announced`; then a new run comes.
    pub fn leave(self: &Arc<Self>, is_announced: bool, notice: Duration) {
        self.mood.lock().unwrap().is_leaving = true;
        if is_announced {
            self.publish("draining");
        }
        self.crash_after(notice);
    }

    /// Turns calls away for a time.
    pub fn want_quiet(self: &Arc<Self>, span: Duration) {
        let quiet = span.as_millis() as Millis;
        self.mood.lock().unwrap().quiet = Some(quiet);
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(span / 3).await;
            runner.mood.lock().unwrap().quiet = None;
        });
    }

    fn crash_after(self: &Arc<Self>, notice: Duration) {
        let runner = self.clone();
        tokio::spawn(async move {
            sleep(notice).await;
            runner.crash();
        });
    }

    fn key(&self) -> String {
        format!("servers/i-{}", self.run.load(Ordering::Relaxed))
    }

    fn publish(&self, state: &str) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 24, "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": self.run.load(Ordering::Relaxed),
        });
        self.platform.put(&self.key(), &entry);
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, run: u64) {
        while let Some(request) = read_request(&mut stream).await {
            if !self.answer(&mut stream, &request, run).await {
                return;
            }
        }
    }

    /// Answers one call; `false` if the connection ends.
    async fn answer(&self, stream: &mut TcpStream, request: &RawRequest, run: u64) -> bool {
        let mood = *self.mood.lock().unwrap();
        if request.path() == "/report" {
            let state = if mood.is_leaving { "draining" } else { "ready" };
            let body = json!({"state": state}).to_string();
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let id = request.header("request-attempt-id").unwrap_or_default();
        let leaving = match mood.is_leaving {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let head = format!("Request-Attempt-Id: {id}\r\nX-Run: {run}\r\n{leaving}");
        let note = |outcome| {
            self.recorder.arrived(id, run, outcome);
        };
        if request.header("expect-instance") != Some(format!("i-{run}").as_str()) {
            note(ArrivalOutcome::Other);
            let text = format!("HTTP/1.1 421 Other\r\n{head}content-length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        if let Some(quiet) = mood.quiet {
            note(ArrivalOutcome::WantsQuiet(quiet));
            let seconds = quiet as f64 / 1_000.0;
            let text = format!(
                "HTTP/1.1 503 Full\r\n{head}Not-Executed: 1\r\nRetry-After: {seconds}\r\n\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        if request.body.starts_with(CRASHER) {
            note(ArrivalOutcome::Died);
            self.die().await;
            return false;
        }
        if hash(id).is_multiple_of(SPOILT_ONE_IN) {
            note(ArrivalOutcome::Broke);
            return false;
        }
        let guard = RunGuard::new(&self.recorder, id, run);
        let goes_on = match self.service {
            "pool" => stream_pieces(stream, id, &head).await,
            _ => answer_plain(stream, id, &head).await,
        };
        guard.end();
        goes_on
    }

    /// Dies of a call.
    async fn die(&self) {
        self.down.notify_one();
        std::future::pending().await
    }
}

/// Notes that the runner broke a call off, if it dies meanwhile.
struct RunGuard<'a> {
    recorder: &'a Recorder,
    id: &'a str,
    place: usize,
    has_ended: bool,
}

impl<'a> RunGuard<'a> {
    fn new(recorder: &'a Recorder, id: &'a str, run: u64) -> Self {
        Self {
            recorder,
            id,
            place: recorder.arrived(id, run, ArrivalOutcome::Ran),
            has_ended: false,
        }
    }

    fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.recorder.broke(self.id, self.place);
        }
    }
}

async fn answer_plain(stream: &mut TcpStream, id: &str, head: &str) -> bool {
    sleep(PLAIN_WORK).await;
    let body = format!("answer to {id}");
    let text = format!(
        "HTTP/1.1 200 OK\r\n{head}Response-Seal: seal-{id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut bytes = text.into_bytes();
    if hash(id) % SPOILT_ONE_IN == 1 {
        // A second copy, late.
        let copy = bytes.clone();
        bytes.extend(copy);
    }
    stream.write_all(&bytes).await.is_ok()
}

async fn stream_pieces(stream: &mut TcpStream, id: &str, head: &str) -> bool {
    let start = format!(
        "HTTP/1.1 200 OK\r\n{head}Response-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if stream.write_all(start.as_bytes()).await.is_err() {
        return false;
    }
    for number in 1..=PIECES {
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
        sleep(PIECE_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Spreads identifiers evenly, the same in every run.
fn hash(id: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    id.bytes().fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }) >> 20
}
