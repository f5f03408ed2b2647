//! Stand-ins and drivers of the cases 11 to 15: the platform's store, runners and requesters, with the standard
//! library alone. `lab CASE` starts the gateways with the command of the deploy file, plays the case,
//! writes `record.txt` into the folder of the case and exits with 0 (the rule held), 1 (it was broken) or
//! 2 (the case could not run). With `TROUBLE=0` in the environment, the disruption is left out.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod cases;
mod engine;
mod requester;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

// ---------------------------------------------------------------- record

/// Everything that was sent, answered and run, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) -> u64 {
        let now = self.now();
        self.lines
            .lock()
            .unwrap()
            .push((now, text.as_ref().to_owned()));
        now
    }

    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>9.3} s  {line}\n", *at as f64 / 1000.0))
            .collect();
        fs::write(path, text)
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP

/// A request as it was read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
        Some(unescape(pair.1))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| {
                text.get(at + 1..at + 3)
                    .and_then(|hex| u8::from_str_radix(hex, 16).ok())
            })
            .flatten();
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were received and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head: its first line and its headers; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some((first, headers)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads one chunk of a chunked body; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break self.buffer.drain(..end + 2).collect::<Vec<_>>();
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = self.take(size + 2)?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a body by its headers.
    pub fn read_body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let header = |name: &str| {
            headers
                .iter()
                .find(|(known, _)| known.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.clone())
        };
        if header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        self.take(length)
    }

    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((line, headers)) = self.read_head()? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let body = self.read_body(&headers)?;
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }

    pub fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        self.stream.write_all(text.as_bytes())?;
        self.stream.write_all(body)
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Serves connections on `listener`, each in a thread, until `ended` is set.
pub fn serve(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    handle: impl Fn(Conn) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        listener.set_nonblocking(true).expect("a listener");
        while !ended.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let handle = handle.clone();
                    thread::spawn(move || handle(Conn::new(stream)));
                }
                Err(_) => sleep_ms(2),
            }
        }
    });
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the value unless it was removed.
    events: Vec<(u64, String, Option<Item>)>,
}

/// The platform's store: items, ranges and watches, as PROTOCOL.md has them.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str, ended: &Arc<AtomicBool>) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = StoreState {
            rev: 100,
            ..StoreState::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let shared = store.clone();
        serve(listener, ended.clone(), move |mut conn| {
            while let Ok(Some(request)) = conn.read_request() {
                let (status, body) = shared.answer(&request);
                let headers = [("Content-Type", "application/json".to_owned())];
                if conn.respond(status, &headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let created = state.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            rev,
            created,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.events.push((rev, key.to_owned(), Some(item)));
        changed.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.rev += 1;
            let rev = state.rev;
            state.events.push((rev, key.to_owned(), None));
            changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let (state, changed) = &*self.state;
        let prefix = request.query("prefix").unwrap_or_default();
        match request.path() {
            "/kv-range" => {
                let after = request.query("after").unwrap_or_default();
                let state = state.lock().unwrap();
                let chosen = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let entries: Vec<_> = chosen.map(|(key, item)| item_json(key, item)).collect();
                (
                    "200 OK",
                    format!(
                        "{{\"entries\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
                        entries.join(","),
                        state.rev
                    ),
                )
            }
            "/kv-watch" => {
                let after: u64 = request
                    .query("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = request
                    .query("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = state.lock().unwrap();
                loop {
                    let chosen = state
                        .events
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<_> = chosen
                        .map(|(rev, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => {
                                format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}")
                            }
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            "200 OK",
                            format!(
                                "{{\"events\":[{}],\"currentRev\":{}}}",
                                events.join(","),
                                state.rev
                            ),
                        );
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                let state = state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => ("200 OK", item_json(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        rev,
        created,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{rev},\"createRevision\":{created},\"lease\":0}}",
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(SET[(word >> (18 - 6 * at) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- gateways

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// Settings of a machine beside its addresses.
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
}

/// Port that is tried next; below those that the system gives out by itself.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

fn free_address(ip: &str) -> io::Result<SocketAddr> {
    let first = 15_000 + u64::from(std::process::id()) * 16 % 15_000;
    for _ in 0..2_000 {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind((ip, port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The words of `run` in the deploy file.
fn deploy_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .ok_or("no run in the deploy file")?;
    Ok(line
        .trim()
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect())
}

/// Starts gateways, each with the settings file of the platform, whose seeds are the first three.
pub fn start_gateways(
    folder: &str,
    store: &Store,
    machines: &[Machine<'_>],
) -> Result<Vec<Gateway>, String> {
    let words = deploy_command()?;
    let mut addresses = Vec::new();
    for machine in machines {
        let three: io::Result<Vec<_>> = (0..3).map(|_| free_address(machine.ip)).collect();
        addresses.push(three.map_err(|error| error.to_string())?);
    }
    let seeds: Vec<_> = addresses
        .iter()
        .take(3)
        .map(|three| format!("\"{}\"", three[2]))
        .collect();
    let mut gateways = Vec::new();
    for (machine, three) in machines.iter().zip(&addresses) {
        let path = format!("{folder}/{}.json", machine.name);
        let text = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"gateway\",\"machineClass\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"bagmati\",\"zones\":{{\"{zone}\":\"bagmati\"}},\"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\",\"control\":\"{control}\"}},\"portRange\":[7200,7215],\"seeds\":[{seeds}],\"bootstrap\":true,\"faultCounted\":false,\"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":110,\"fdLimit\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],\"faultTolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"outerMs\":5000,\"revokeStrict\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetExtra\":56,\"recoveryS\":12,\"passMs\":120,\"againS\":4.4}},\"platform\":{{\"address\":\"{store}\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            name = machine.name,
            ip = machine.ip,
            zone = machine.zone,
            front = three[0],
            ready = three[1],
            control = three[2],
            seeds = seeds.join(","),
            store = store.address,
        );
        fs::write(&path, text).map_err(|error| error.to_string())?;
        let log = fs::File::create(format!("{folder}/{}.log", machine.name))
            .map_err(|error| error.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("AGATEMOOR_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", words[0]))?;
        STARTED.lock().unwrap().push(child.id());
        gateways.push(Gateway {
            name: machine.name.to_owned(),
            front: three[0],
            ready: three[1],
            child,
        });
    }
    Ok(gateways)
}

impl Gateway {
    /// Whether the platform's readiness question gets a 200.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let asked = conn.stream.write_all(
            format!("GET /readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready).as_bytes(),
        );
        asked.is_ok() && matches!(conn.read_head(), Ok(Some((line, _))) if line.contains(" 200"))
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..200 {
            if self.is_ready() {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(format!("{} does not get ready", self.name))
    }

    /// Sends a signal by its name.
    pub fn signal(&mut self, name: &str) {
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// What all parts of a case share.
#[derive(Clone)]
pub struct Lab {
    pub record: Record,
    pub ended: Arc<AtomicBool>,
    pub folder: String,
    /// Whether the disruption is played.
    pub trouble: bool,
    numbers: Arc<AtomicU64>,
}

impl Lab {
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let output = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".to_owned());
    let folder = std::env::temp_dir().join(format!("agatemoor-case-{case}-{}", std::process::id()));
    let folder = folder.to_string_lossy().into_owned();
    let lab = Lab {
        record: Record::new(),
        ended: Arc::default(),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        numbers: Arc::new(AtomicU64::new(1)),
    };
    // Ends a case that takes too long; the gateways are ended with it.
    let limit = lab.record.clone();
    let path = output.clone();
    thread::spawn(move || {
        sleep_ms(115_000);
        limit.add("the case took too long");
        let _ = limit.write(&path);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
    let verdict = match fs::create_dir_all(&folder) {
        Ok(()) => cases::run(&case, &lab),
        Err(error) => Err(error.to_string()),
    };
    lab.ended.store(true, Ordering::Relaxed);
    let (text, code) = match &verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    lab.record.add(&text);
    println!("{text}");
    if let Err(error) = lab.record.write(&output) {
        println!("{output}: {error}");
    }
    match std::env::var("KEEP").is_ok() {
        true => println!("logs in {folder}"),
        false => drop(fs::remove_dir_all(&folder)),
    }
    std::process::exit(code);
}

/// Headers as a map in lower case.
pub fn header_map(headers: &[(String, String)]) -> HashMap<String, String> {
    headers
        .iter()
        .map(|(name, value)| (name.to_ascii_lowercase(), value.clone()))
        .collect()
}
