use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use gateway::{CopyAnswer, EngineReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// How a target treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// Answers with its name.
    Answer,
    /// States that it did not run the call.
    Refuse,
    /// Answers with a failure of its own.
    Fail(u16),
    /// Closes the connection after it read the call.
    Break,
    /// Closes the connection in the middle of its answer.
    Truncate,
    /// Never answers.
    Hang,
    /// Dies as soon as it read the call, as `FakeTarget::crash` does.
    Crash,
    /// Gives the answer to another call.
    Foreign,
    /// Streams events with these many in all.
    Stream(u64),
    /// Sends a line of a head without end.
    EndlessHead,
    /// Sends interim answers without end.
    EndlessInterim,
    /// Sends a body of small chunks without end.
    EndlessBody,
    /// Streams one event, and then comments without end.
    EndlessComments,
    /// Streams one event, and then a comment now and then.
    Drip,
    /// Streams large events without end.
    LargeEvents,
}

/// Where a target says that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingWord {
    Head,
    Trailer,
}

#[derive(Default)]
struct TargetState {
    mode: Option<TargetMode>,
    heads: Vec<String>,
    /// Calls at work now.
    open: usize,
    /// Bytes of endless answers that were sent.
    endless: usize,
    /// Generations told to stop.
    stopped: Vec<String>,
    /// Events made by each generation.
    made: BTreeMap<String, u64>,
    is_leaving: bool,
    /// Says in the heads or the trailers of answers that it leaves.
    leaving_word: Option<LeavingWord>,
    /// Value of `Retry-After` in refusals.
    quiet: Option<&'static str>,
    /// Times that it died.
    crashes: usize,
}

type Registry = Mutex<BTreeMap<SocketAddr, Arc<Mutex<TargetState>>>>;

fn registry() -> &'static Registry {
    static REGISTRY: OnceLock<Registry> = OnceLock::new();
    REGISTRY.get_or_init(Registry::default)
}

fn state_of(address: SocketAddr) -> Option<Arc<Mutex<TargetState>>> {
    registry().lock().unwrap().get(&address).cloned()
}

/// A target that speaks raw HTTP, so that it can misbehave.
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
                    }
                    () = down.notified() => break,
                }
            }
            // Refuses connections before the calls break off, as a process that dies does.
            drop(listener);
            calls.shutdown().await;
            state.lock().unwrap().crashes += 1;
        });
    }

    /// Dies: all its connections break, and new ones are refused.
    pub fn crash(&self) {
        self.down.notify_one();
    }

    /// Times that it died.
    pub fn crashes(&self) -> usize {
        self.state.lock().unwrap().crashes
    }

    /// Starts again at the same address.
    pub async fn restart(&self) {
        self.listen(TcpListener::bind(self.address).await.unwrap());
    }

    pub fn set_mode(&self, mode: TargetMode) {
        self.state.lock().unwrap().mode = Some(mode);
    }

    /// Heads and bodies of the calls that arrived.
    pub fn calls(&self) -> Vec<String> {
        self.state.lock().unwrap().heads.clone()
    }

    /// Calls that it works on.
    pub fn open_calls(&self) -> usize {
        self.state.lock().unwrap().open
    }

    /// Bytes of endless answers that the gateway took.
    pub fn endless_bytes(&self) -> usize {
        self.state.lock().unwrap().endless
    }

    /// Says from now on in its answers that it leaves.
    pub fn say_leaving(&self, word: LeavingWord) {
        self.state.lock().unwrap().leaving_word = Some(word);
    }

    /// Asks for milliseconds of quiet in its refusals, in the form of the fake platform.
    pub fn ask_quiet(&self, value: &'static str) {
        self.state.lock().unwrap().quiet = Some(value);
    }

    pub fn set_leaving(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    pub(super) fn copy(source: SocketAddr, request: &str, stops: bool) -> CopyAnswer {
        let Some(state) = state_of(source) else {
            return CopyAnswer::Unknown;
        };
        let mut state = state.lock().unwrap();
        if stops {
            state.stopped.push(request.to_owned());
        }
        let made = state.made.get(request).copied().unwrap_or(0);
        CopyAnswer::Whole {
            handle: made.to_string().into(),
        }
    }

    pub(super) fn report(engine: SocketAddr) -> Result<EngineReport, String> {
        let state = state_of(engine).ok_or("unknown")?;
        let is_leaving = state.lock().unwrap().is_leaving;
        Ok(EngineReport { is_leaving })
    }
}

/// Counts a call as long as it is at work.
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

async fn serve(mut stream: TcpStream, state: Arc<Mutex<TargetState>>, down: Arc<Notify>) {
    let Some(head) = read_call(&mut stream).await else {
        return;
    };
    let _open = OpenCall::new(state.clone());
    let id = header(&head, "x-id").unwrap_or_default();
    let (mode, word, quiet) = {
        let mut state = state.lock().unwrap();
        state.heads.push(head.clone());
        (state.mode, state.leaving_word, state.quiet)
    };
    let leaving = match word {
        Some(LeavingWord::Head) => "x-leaving: 1\r\n",
        Some(LeavingWord::Trailer) | None => "",
    };
    let whole = |id: &str| match word {
        Some(LeavingWord::Trailer) => format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntrailer: x-leaving\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-leaving: 1\r\n\r\n"
        ),
        Some(LeavingWord::Head) | None => {
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{leaving}content-length: 5\r\n\r\nhello")
        }
    };
    let text = match mode {
        Some(TargetMode::Answer) => whole(&id),
        Some(TargetMode::Foreign) => whole("other"),
        Some(TargetMode::Fail(status)) => {
            let head = format!("HTTP/1.1 {status} Failed\r\nx-id: {id}\r\n{leaving}");
            head + "content-length: 0\r\n\r\n"
        }
        Some(TargetMode::Refuse) => {
            let quiet = quiet.map_or(String::new(), |value| format!("retry-after: {value}\r\n"));
            let head = format!("HTTP/1.1 503 Full\r\nx-not-run: 1\r\n{leaving}{quiet}");
            head + "content-length: 0\r\n\r\n"
        }
        Some(TargetMode::Truncate) => whole(&id)[..whole(&id).len() - 2].to_owned(),
        Some(TargetMode::Stream(count)) => return stream_events(stream, state, &head, count).await,
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

/// Sends bytes that are no answer until the gateway closes.
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

async fn stream_events(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    head: &str,
    count: u64,
) {
    let id = header(head, "x-id").unwrap_or_default();
    let last: u64 = header(head, "x-last").map_or(0, |last| last.parse().unwrap());
    let word = state.lock().unwrap().leaving_word;
    let leaving = match word {
        Some(LeavingWord::Head) => "x-leaving: 1\r\n",
        Some(LeavingWord::Trailer) | None => "",
    };
    let start =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\n{leaving}transfer-encoding: chunked\r\n\r\n");
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    for number in last + 1..=count {
        {
            let mut state = state.lock().unwrap();
            if state.stopped.contains(&id) {
                return;
            }
            state.made.insert(id.clone(), number);
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        sleep(EVENT_PAUSE).await;
    }
    let end: &[u8] = match word {
        Some(LeavingWord::Trailer) => b"0\r\nx-leaving: 1\r\n\r\n",
        Some(LeavingWord::Head) | None => b"0\r\n\r\n",
    };
    let _ = stream.write_all(end).await;
}

/// Reads a head and the body that it announces.
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

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}
