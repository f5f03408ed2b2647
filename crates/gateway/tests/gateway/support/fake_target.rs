use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use base::TimeSpan;
use gateway::{CopyOutcome, EngineReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time that a target in `TargetMode::CrashOnPart` takes to read a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(150);
/// Part of a prompt that crashes targets in `TargetMode::CrashOnPart`.
pub const DEADLY_PART: &str = "deadly";

/// How a fake target handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// Sends a complete response.
    Answer,
    /// Sends a complete response this many milliseconds after the call.
    AnswerAfter(u64),
    /// Sends a complete response with a body of this many bytes.
    LargeAnswer(usize),
    /// Sends a complete response with this many headers of its own.
    ManyHeaders(usize),
    /// Runs the first number of calls at once, each for the milliseconds, refuses further ones and crashes if it
    /// refuses more than the last number within a second, which all its responses state unless it is the largest.
    Limited(usize, u64, u32),
    /// Refuses the call, stating that it did not run.
    Refuse,
    /// Refuses the call, stating that it was meant for another target.
    Misdirect,
    /// Responds with this error status.
    Fail(u16),
    /// Responds with this text in place of the status code and the reason, and with a body.
    Status(&'static str),
    /// Closes the connection after reading the call.
    Break,
    /// Closes the connection in the middle of its response.
    Truncate,
    /// Never responds.
    Hang,
    /// Crashes after reading the call, as `FakeTarget::crash` does.
    Crash,
    /// Sends the head, then streams this many events after a pause; crashes instead if the prompt
    /// of the call has the part `DEADLY_PART`.
    CrashOnPart(u64),
    /// Sends a response with neither length nor chunks, a stream of this many events for streams,
    /// which ends with the connection in this way.
    Unframed(u64, UnframedEnd),
    /// Sends the response to another call.
    Foreign,
    /// Streams this many events.
    Stream(u64),
    /// Streams this many events, each of them this many milliseconds after the one before it.
    SlowStream(u64, u64),
    /// Sends an endless header line.
    EndlessHead,
    /// Sends interim (1xx) responses without end.
    EndlessInterim,
    /// Sends an endless body of small chunks.
    EndlessBody,
    /// Streams one event, then comments without end.
    EndlessComments,
    /// Streams one event, then a comment now and then.
    Drip,
    /// Streams large events without end.
    LargeEvents,
}

/// How a response with neither length nor chunks ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnframedEnd {
    /// The connection is closed after the response.
    Orderly,
    /// The connection is closed within an event.
    WithinEvent,
    /// The connection is reset.
    Reset,
}

/// Part of its responses in which a target announces that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSignal {
    Head,
    Trailer,
}

#[derive(Default)]
struct TargetState {
    mode: Option<TargetMode>,
    heads: Vec<String>,
    /// Number of calls in progress.
    open: usize,
    /// Bytes of endless responses that were sent.
    endless: usize,
    /// Generations that were told to stop.
    stopped: Vec<String>,
    /// Time that a copy of the KV cache of a generation takes.
    copy_time: Duration,
    /// Whether its responses to orders to stop a generation are lost.
    loses_stop_responses: bool,
    /// Number of events that each generation has produced.
    produced: BTreeMap<String, u64>,
    /// Outcomes of the next requests to copy a KV cache, before copies succeed.
    copy_outcomes: VecDeque<CopyOutcome>,
    /// Number of requests to copy a KV cache while the generation goes on.
    copies: usize,
    /// Whether its state report says that it is leaving.
    is_leaving: bool,
    /// Time until it exits, as its state report says.
    leaves_in: Option<TimeSpan>,
    /// Number of state reports that were fetched.
    reports: usize,
    /// Where its responses announce that it is leaving, if they do.
    leaving_signal: Option<LeavingSignal>,
    /// When each call arrived.
    arrivals: Vec<Instant>,
    /// Rate of calls that its responses name.
    rate: Option<&'static str>,
    /// Value of `Retry-After` in refusals.
    retry_after: Option<&'static str>,
    /// Whether it stops listening once a call has arrived.
    stops_listening: bool,
    /// Number of crashes.
    crashes: usize,
    /// When calls were refused in `TargetMode::Limited`.
    refusals: Vec<Instant>,
}

impl TargetState {
    /// Header lines in which a response says something about the target.
    fn notice_headers(&self) -> String {
        let leaving = match self.leaving_signal {
            Some(LeavingSignal::Head) => "x-leaving: 1\r\n",
            Some(LeavingSignal::Trailer) | None => "",
        };
        let rate = self.rate.map(|rate| format!("x-rate: {rate}\r\n"));
        let refusals = match self.mode {
            Some(TargetMode::Limited(_, _, limit)) if limit < u32::MAX => {
                format!("x-refusals: {limit}\r\n")
            }
            _ => String::new(),
        };
        format!("{leaving}{}{refusals}", rate.unwrap_or_default())
    }
}

impl TargetState {
    /// Counts a refusal; returns whether the target falls over, as it has refused more than `limit` calls within
    /// a second.
    fn refuse_falls(&mut self, limit: u32) -> bool {
        let now = Instant::now();
        self.refusals.push(now);
        let recent = self.refusals.iter().rev();
        let recent = recent.take_while(|at| now - **at < Duration::from_secs(1));
        recent.count() > limit as usize
    }
}

/// States of all fake targets of the test process by address.
type Registry = Mutex<BTreeMap<SocketAddr, Arc<Mutex<TargetState>>>>;

fn registry() -> &'static Registry {
    static REGISTRY: OnceLock<Registry> = OnceLock::new();
    REGISTRY.get_or_init(Registry::default)
}

fn state_of(address: SocketAddr) -> Option<Arc<Mutex<TargetState>>> {
    registry().lock().unwrap().get(&address).cloned()
}

/// A target that writes raw HTTP, so that it can misbehave.
pub struct FakeTarget {
    pub name: String,
    pub service: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<TargetState>>,
    down: Arc<Notify>,
}

impl FakeTarget {
    pub async fn start(service: &'static str, mode: TargetMode) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(TargetState {
            mode: Some(mode),
            ..TargetState::default()
        }));
        registry().lock().unwrap().insert(address, state.clone());
        let target = Self {
            name: format!("t-{}", address.port()),
            service,
            address,
            state,
            down: Arc::new(Notify::new()),
        };
        target.listen(listener);
        target
    }

    fn listen(&self, listener: TcpListener) {
        let (state, down) = (self.state.clone(), self.down.clone());
        tokio::spawn(async move {
            let mut calls = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        calls.spawn(serve(stream, state.clone(), down.clone()));
                        if state.lock().unwrap().stops_listening {
                            drop(listener);
                            calls.join_all().await;
                            return;
                        }
                    }
                    () = down.notified() => break,
                }
            }
            // Like a process that dies, refuses connections before the calls break off.
            drop(listener);
            calls.shutdown().await;
            state.lock().unwrap().crashes += 1;
        });
    }

    /// Another target at the same address, which a store can list as well.
    pub fn at_same_address(&self, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            service: self.service,
            address: self.address,
            state: self.state.clone(),
            down: self.down.clone(),
        }
    }

    /// Crashes: all its connections break, and new ones are refused.
    pub fn crash(&self) {
        self.down.notify_one();
    }

    /// Stops listening once the next call has arrived, and serves that call to its end.
    pub fn crash_after_calls(&self) {
        self.state.lock().unwrap().stops_listening = true;
    }

    /// Loses its responses to orders to stop a generation, which it carries out.
    pub fn lose_stop_responses(&self) {
        self.state.lock().unwrap().loses_stop_responses = true;
    }

    /// Number of crashes.
    pub fn crashes(&self) -> usize {
        self.state.lock().unwrap().crashes
    }

    /// Starts again at the same address.
    pub async fn restart(&self) {
        self.listen(TcpListener::bind(self.address).await.unwrap());
    }

    /// Number of calls that were refused in `TargetMode::Limited`.
    pub fn refusals(&self) -> usize {
        self.state.lock().unwrap().refusals.len()
    }

    pub fn set_mode(&self, mode: TargetMode) {
        self.state.lock().unwrap().mode = Some(mode);
    }

    /// Texts (head and body) of the calls that arrived.
    pub fn calls(&self) -> Vec<String> {
        self.state.lock().unwrap().heads.clone()
    }

    /// Number of calls in progress.
    pub fn open_calls(&self) -> usize {
        self.state.lock().unwrap().open
    }

    /// Bytes of endless responses that were sent to the gateway.
    pub fn endless_bytes(&self) -> usize {
        self.state.lock().unwrap().endless
    }

    /// Announces from now on in its responses that it is leaving.
    pub fn announce_leaving(&self, signal: LeavingSignal) {
        self.state.lock().unwrap().leaving_signal = Some(signal);
    }

    /// Asks for a back-off in its refusals; `value` is in milliseconds, as the fake header codec reads
    /// it.
    pub fn request_backoff(&self, value: &'static str) {
        self.state.lock().unwrap().retry_after = Some(value);
    }

    /// Names a rate of calls in its responses, in thousandths of a call a second, or none any more.
    pub fn name_rate(&self, rate: Option<&'static str>) {
        self.state.lock().unwrap().rate = rate;
    }

    /// When each call and each control request arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Says from now on in its state report that it is leaving.
    pub fn set_leaving(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Number of generations that were told to stop.
    pub fn stops(&self) -> usize {
        self.state.lock().unwrap().stopped.len()
    }

    /// Says from now on in its state report that it exits after this time.
    pub fn leave_in(&self, time: TimeSpan) {
        let mut state = self.state.lock().unwrap();
        state.is_leaving = true;
        state.leaves_in = Some(time);
    }

    /// Number of state reports that were fetched.
    pub fn reports(&self) -> usize {
        self.state.lock().unwrap().reports
    }

    /// Answers the next requests to copy a KV cache with these outcomes.
    pub fn script_copies(&self, outcomes: impl IntoIterator<Item = CopyOutcome>) {
        self.state.lock().unwrap().copy_outcomes.extend(outcomes);
    }

    /// Number of requests to copy a KV cache while the generation goes on.
    pub fn copies(&self) -> usize {
        self.state.lock().unwrap().copies
    }

    /// Lets copies of KV caches take this long.
    pub fn set_copy_time(&self, time: Duration) {
        self.state.lock().unwrap().copy_time = time;
    }

    /// Time that a copy takes at the target at an address.
    pub(super) fn copy_time(source: SocketAddr) -> Duration {
        state_of(source).map_or(Duration::ZERO, |state| state.lock().unwrap().copy_time)
    }

    /// Handles a request to copy the KV cache of a generation; the handle is its number of events.
    pub(super) fn copy(source: SocketAddr, request: &str, stop_source: bool) -> CopyOutcome {
        let Some(state) = state_of(source) else {
            return CopyOutcome::Unknown;
        };
        let mut state = state.lock().unwrap();
        state.copies += usize::from(!stop_source);
        if let Some(outcome) = state.copy_outcomes.pop_front() {
            return outcome;
        }
        if stop_source {
            state.stopped.push(request.to_owned());
            if state.loses_stop_responses {
                let reason = "response lost".to_owned();
                return CopyOutcome::Lost { reason };
            }
        }
        let produced = state.produced.get(request).copied().unwrap_or(0);
        CopyOutcome::Whole {
            handle: produced.to_string().into(),
        }
    }

    /// Records the arrival of a control request at the target at an address.
    pub(super) fn record_arrival(source: SocketAddr) {
        if let Some(state) = state_of(source) {
            state.lock().unwrap().arrivals.push(Instant::now());
        }
    }

    /// State report of the target at an address.
    pub(super) fn report(engine: SocketAddr) -> Result<EngineReport, String> {
        let state = state_of(engine).ok_or("unknown")?;
        let mut state = state.lock().unwrap();
        state.arrivals.push(Instant::now());
        state.reports += 1;
        Ok(EngineReport {
            is_leaving: state.is_leaving,
            leaves_in: state.leaves_in,
        })
    }
}

/// Counts a call as open until dropped.
struct OpenCall(Arc<Mutex<TargetState>>);

impl OpenCall {
    fn new(state: Arc<Mutex<TargetState>>) -> Self {
        state.lock().unwrap().open += 1;
        Self(state)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.lock().unwrap().open -= 1;
    }
}

/// Reads a call and responds according to the target's mode.
async fn serve(mut stream: TcpStream, state: Arc<Mutex<TargetState>>, down: Arc<Notify>) {
    let Some(head) = read_call(&mut stream).await else {
        return;
    };
    let open = OpenCall::new(state.clone());
    let id = header(&head, "x-id").unwrap_or_default();
    let (mode, signal, retry_after, notices) = {
        let mut state = state.lock().unwrap();
        state.heads.push(head.clone());
        state.arrivals.push(Instant::now());
        let notices = state.notice_headers();
        (state.mode, state.leaving_signal, state.retry_after, notices)
    };
    let complete = |id: &str| match signal {
        Some(LeavingSignal::Trailer) => format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntrailer: x-leaving\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-leaving: 1\r\n\r\n"
        ),
        Some(LeavingSignal::Head) | None => {
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{notices}content-length: 5\r\n\r\nhello")
        }
    };
    let text = match mode {
        Some(TargetMode::Answer) => complete(&id),
        Some(TargetMode::AnswerAfter(millis)) => {
            sleep(Duration::from_millis(millis)).await;
            complete(&id)
        }
        Some(TargetMode::LargeAnswer(bytes)) => {
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: {bytes}\r\n\r\n");
            head + &"a".repeat(bytes)
        }
        Some(TargetMode::ManyHeaders(count)) => {
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\n");
            let more = (0..count).map(|number| format!("x-more-{number}: {number}\r\n"));
            head + &more.collect::<String>() + "\r\nhello"
        }
        Some(TargetMode::Foreign) => complete("other"),
        Some(TargetMode::Fail(status)) => {
            let head = format!("HTTP/1.1 {status} Failed\r\nx-id: {id}\r\n{notices}");
            head + "content-length: 0\r\n\r\n"
        }
        Some(TargetMode::Status(status)) => {
            let head = format!("HTTP/1.1 {status}\r\nx-id: {id}\r\n{notices}");
            head + "content-length: 5\r\n\r\nhello"
        }
        Some(TargetMode::Limited(slots, millis, limit)) => {
            let has_slot = state.lock().unwrap().open <= slots;
            if has_slot {
                sleep(Duration::from_millis(millis)).await;
            }
            // The slot is free before the caller can know it.
            drop(open);
            if has_slot {
                complete(&id)
            } else {
                if state.lock().unwrap().refuse_falls(limit) {
                    down.notify_one();
                }
                let head = format!("HTTP/1.1 503 Full\r\nx-not-run: 1\r\n{notices}");
                head + "content-length: 0\r\n\r\n"
            }
        }
        Some(TargetMode::Refuse) => {
            let retry_after =
                retry_after.map_or(String::new(), |value| format!("retry-after: {value}\r\n"));
            let head = format!("HTTP/1.1 503 Full\r\nx-not-run: 1\r\n{notices}{retry_after}");
            head + "content-length: 0\r\n\r\n"
        }
        Some(TargetMode::Misdirect) => {
            "HTTP/1.1 421 Other\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Some(TargetMode::Truncate) => complete(&id)[..complete(&id).len() - 2].to_owned(),
        Some(TargetMode::Stream(count)) => {
            return stream_events(stream, state, &head, count, EVENT_PAUSE).await;
        }
        Some(TargetMode::SlowStream(count, millis)) => {
            let pause = Duration::from_millis(millis);
            return stream_events(stream, state, &head, count, pause).await;
        }
        Some(TargetMode::Unframed(count, end)) => {
            return send_unframed(stream, &state, &head, count, end).await;
        }
        Some(TargetMode::CrashOnPart(count)) => {
            return answer_or_crash(stream, state, &head, count, &down).await;
        }
        Some(TargetMode::Hang) => {
            // Ends when the gateway closes the connection.
            let _ = stream.read(&mut [0; 1]).await;
            return;
        }
        Some(TargetMode::Crash) => {
            down.notify_one();
            std::future::pending().await
        }
        Some(TargetMode::Break) | None => return,
        Some(mode) => return send_endless(stream, state, mode, &id).await,
    };
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Sends an endless response until the gateway closes the connection.
async fn send_endless(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    mode: TargetMode,
    id: &str,
) {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
    let event = "6\r\nid: 1\n\r\n9\r\ndata: a\n\n\r\n";
    let (start, part, pause) = match mode {
        TargetMode::EndlessHead => (
            "HTTP/1.1 200 OK\r\nx-line: ".to_owned(),
            "a".repeat(4_096),
            0,
        ),
        TargetMode::EndlessInterim => {
            let part = "HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
            (String::new(), part, 0)
        }
        TargetMode::EndlessBody => (head, "1\r\na\r\n".repeat(500), 0),
        TargetMode::EndlessComments => (head + event, "3\r\n:\n\n\r\n".repeat(500), 0),
        TargetMode::Drip => (head + event, "3\r\n:\n\n\r\n".to_owned(), 50),
        _ => {
            let data = "a".repeat(60_000);
            let event = format!("id: NUMBER\ndata: {data}\n\n");
            (head, format!("{:x}\r\n{event}\r\n", event.len() + 3), 0)
        }
    };
    let mut next = start;
    for number in 1.. {
        if stream.write_all(next.as_bytes()).await.is_err() {
            return;
        }
        state.lock().unwrap().endless += next.len();
        next = part.replace("NUMBER", &format!("{number:09}"));
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends a response that has neither length nor chunks and ends with the connection.
async fn send_unframed(
    mut stream: TcpStream,
    state: &Mutex<TargetState>,
    head: &str,
    count: u64,
    end: UnframedEnd,
) {
    let id = header(head, "x-id").unwrap_or_default();
    let start = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\n");
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    for number in 1..=count {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if stream.write_all(event.as_bytes()).await.is_err() {
            return;
        }
        sleep(EVENT_PAUSE).await;
        if state.lock().unwrap().stopped.contains(&id) {
            return;
        }
    }
    match end {
        UnframedEnd::Orderly => {}
        // The caller of the test sees a failure if this is passed on.
        UnframedEnd::WithinEvent => {
            let _ = stream.write_all(b"id: 99\ndata: pie").await;
        }
        UnframedEnd::Reset => stream.set_zero_linger().unwrap(),
    }
}

/// Reads the prompt, then streams events, or crashes the target if the prompt has the deadly part;
/// stops reading when the gateway closes the connection.
async fn answer_or_crash(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    head: &str,
    count: u64,
    down: &Notify,
) {
    let parts = header(head, "x-parts").unwrap_or_default();
    let is_deadly = parts.split(',').any(|part| part == DEADLY_PART);
    let mut byte = [0; 1];
    tokio::select! {
        () = sleep(PREFILL_TIME) => {}
        _ = stream.read(&mut byte) => return,
    }
    if is_deadly {
        down.notify_one();
        std::future::pending().await
    }
    stream_events(stream, state, head, count, EVENT_PAUSE).await;
}

/// Streams the events that follow the caller's last one, until the generation is told to stop.
async fn stream_events(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    head: &str,
    count: u64,
    pause: Duration,
) {
    let id = header(head, "x-id").unwrap_or_default();
    let last: u64 = header(head, "x-last").map_or(0, |last| last.parse().unwrap());
    let signal = state.lock().unwrap().leaving_signal;
    let notices = state.lock().unwrap().notice_headers();
    let start =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{notices}transfer-encoding: chunked\r\n\r\n");
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    for number in last + 1..=count {
        {
            let mut state = state.lock().unwrap();
            if state.stopped.contains(&id) {
                return;
            }
            state.produced.insert(id.clone(), number);
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        sleep(pause).await;
    }
    let end: &[u8] = match signal {
        Some(LeavingSignal::Trailer) => b"0\r\nx-leaving: 1\r\n\r\n",
        Some(LeavingSignal::Head) | None => b"0\r\n\r\n",
    };
    let _ = stream.write_all(end).await;
}

/// Reads a request with its body; `None` if the connection closes before.
async fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        let count = stream.read(&mut part).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some(end) = text.find("\r\n\r\n") else {
            continue;
        };
        let length = header(&text, "content-length").map_or(0, |length| length.parse().unwrap());
        if bytes.len() >= end + 4 + length {
            return Some(text);
        }
    }
}

/// Value of a header line of a request.
fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}
