//! What the scripts of this review share: a store, runners, requesters, gateway processes and a
//! record. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// --- record ---------------------------------------------------------------------------------

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
        eprintln!("record.txt: {error}");
        std::process::exit(2);
    });
    let record = Record { start: Instant::now(), file: Mutex::new(file) };
    let _ = RECORD.set(record);
}

/// Seconds since the record was opened.
pub fn seconds() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

/// Writes one line with its time.
pub fn note(text: impl AsRef<str>) {
    let Some(record) = RECORD.get() else { return };
    let line = format!("{:9.3} s  {}\n", seconds(), text.as_ref());
    let _ = lock(&record.file).write_all(line.as_bytes());
}

/// Writes one line to the record and to the terminal.
pub fn tell(text: impl AsRef<str>) {
    let _ = writeln!(io::stdout(), "{}", text.as_ref());
    note(text);
}

pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Whether the disruption is left out (`TROUBLE=0`).
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// A small generator of random numbers; the seed is fixed by the case.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// A new identifier of sixteen hexadecimal digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

// --- HTTP -----------------------------------------------------------------------------------

/// Head of a request or an answer; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method, path and query of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the orderly end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = line.trim_end().split(';').next().unwrap_or("");
    let length = usize::from_str_radix(text, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; length + 2];
    reader.read_exact(&mut data)?;
    data.truncate(length);
    Ok((length > 0).then_some(data))
}

/// Reads a body by the framing of its head; without one it ends with the connection if it is that
/// of an answer.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if is_answer {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// What a requester saw.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body was whole.
    pub is_whole: bool,
    pub reason: String,
}

/// A connection of a requester that is kept for several requests.
pub struct Kept {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, request: &[u8]) -> Answer {
        let mut answer = Answer {
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            is_whole: false,
            reason: String::new(),
        };
        if let Err(error) = self.stream.write_all(request) {
            answer.reason = error.to_string();
            return answer;
        }
        match read_head(&mut self.reader) {
            Ok(Some(head)) => answer.head = head,
            Ok(None) => {
                answer.reason = "closed without an answer".to_owned();
                return answer;
            }
            Err(error) => {
                answer.reason = error.to_string();
                return answer;
            }
        }
        answer.status = answer.head.status();
        match read_body(&mut self.reader, &answer.head, true) {
            Ok(body) => {
                answer.body = body;
                answer.is_whole = true;
            }
            Err(error) => answer.reason = error.to_string(),
        }
        answer
    }
}

/// Sends one request on a new connection.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    match Kept::open(address, limit) {
        Ok(mut kept) => kept.send(request),
        Err(error) => Answer {
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            is_whole: false,
            reason: format!("no connection: {error}"),
        },
    }
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections, each in a thread; `handle` returns whether the connection is kept.
pub fn serve<H>(address: &str, handle: H) -> io::Result<(SocketAddr, Arc<AtomicBool>)>
where
    H: Fn(&Head, &[u8], &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let stop = Arc::new(AtomicBool::new(false));
    let handle = Arc::new(handle);
    let is_stopped = stop.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            let builder = thread::Builder::new().stack_size(256 << 10);
            let _ = builder.spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok((address, stop))
}

fn serve_connection<H>(stream: TcpStream, handle: &H) -> Option<()>
where
    H: Fn(&Head, &[u8], &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let head = read_head(&mut reader).ok()??;
        let body = read_body(&mut reader, &head, false).ok()?;
        if !handle(&head, &body, &mut writer).unwrap_or(false) {
            return None;
        }
    }
}

pub fn respond(
    out: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)?;
    Ok(true)
}

// --- store ----------------------------------------------------------------------------------

struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct Keys {
    items: BTreeMap<String, Item>,
    /// Key, revision and whether the key was removed then.
    events: Vec<(String, u64, Option<String>)>,
    rev: u64,
}

/// The platform's store, which only the operator and the runners write.
#[derive(Default)]
pub struct Store {
    keys: Mutex<Keys>,
    changed: Condvar,
    is_down: AtomicBool,
    /// Machine whose path to the store is cut.
    cut_off: Mutex<Option<String>>,
    /// Who asked last for changes of the runners, with the time.
    readers: Mutex<BTreeMap<&'static str, Instant>>,
}

impl Store {
    /// Starts a store with one address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        lock(&store.keys).rev = 400;
        let address = store.open("all machines");
        (store, address)
    }

    /// Opens a further address, by which the store knows the machine that asks.
    pub fn open(self: &Arc<Self>, machine: &'static str) -> SocketAddr {
        let store = self.clone();
        let served = serve("127.0.0.1:0", move |head, _, out| store.handle(machine, head, out));
        served.unwrap_or_else(|error| cannot_run(&format!("store: {error}"))).0
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut keys = lock(&self.keys);
        keys.rev += 1;
        let rev = keys.rev;
        let created = keys.items.get(key).map_or(rev, |item| item.created);
        let value = base64(value.as_bytes());
        keys.events.push((key.to_owned(), rev, Some(value.clone())));
        keys.items.insert(key.to_owned(), Item { value, rev, created });
        drop(keys);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut keys = lock(&self.keys);
        if keys.items.remove(key).is_some() {
            keys.rev += 1;
            let rev = keys.rev;
            keys.events.push((key.to_owned(), rev, None));
        }
        drop(keys);
        self.changed.notify_all();
    }

    /// Answers all calls with 503 while `is_down`, also those that wait.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Cuts the path of a machine to the store, or heals the cut. Calls of the machine, also those that
    /// wait, get no answer while it is cut; their connections are closed after it.
    pub fn cut(&self, machine: Option<&str>) {
        *lock(&self.cut_off) = machine.map(str::to_owned);
        self.changed.notify_all();
    }

    fn is_cut(&self, machine: &str) -> bool {
        lock(&self.cut_off).as_deref() == Some(machine)
    }

    fn hold_while_cut(&self, machine: &str) -> io::Result<bool> {
        while self.is_cut(machine) {
            pause(10);
        }
        Ok(false)
    }

    /// Machines that asked for changes of the runners within the last second.
    pub fn readers(&self) -> Vec<&'static str> {
        let readers = lock(&self.readers);
        let recent = readers.iter().filter(|(_, at)| at.elapsed() < Duration::from_secs(1));
        recent.map(|(machine, _)| *machine).collect()
    }

    fn handle(&self, machine: &'static str, head: &Head, out: &mut TcpStream) -> io::Result<bool> {
        pause(4);
        if self.is_down.load(Ordering::Relaxed) {
            return respond(out, "503 Service Unavailable", &[], b"");
        }
        if self.is_cut(machine) {
            return self.hold_while_cut(machine);
        }
        let (_, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| unescape(value))
        };
        let prefix = value("prefix").unwrap_or_default();
        if prefix == "servers/" {
            note(format!("store: {machine} asks {path} for the runners"));
            lock(&self.readers).insert(machine, Instant::now());
        }
        match path {
            "/kv-range" => {
                let after = value("after").unwrap_or_default();
                let keys = lock(&self.keys);
                let found = keys.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<_> = found.map(|(key, item)| item_json(key, item)).collect();
                let body = format!(
                    "{{\"entries\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
                    found.join(","),
                    keys.rev
                );
                drop(keys);
                respond(out, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/kv-watch" => {
                let after: u64 = value("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = value("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut keys = lock(&self.keys);
                loop {
                    if self.is_cut(machine) {
                        drop(keys);
                        return self.hold_while_cut(machine);
                    }
                    if self.is_down.load(Ordering::Relaxed) {
                        drop(keys);
                        return respond(out, "503 Service Unavailable", &[], b"");
                    }
                    let news = keys.events.iter();
                    let news = news.filter(|(key, rev, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<_> = news
                        .map(|(key, rev, value)| match value {
                            Some(value) => format!(
                                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"createRevision\":{rev},\"lease\":0}}"
                            ),
                            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","),
                            keys.rev
                        );
                        drop(keys);
                        let kind = [("Content-Type", "application/json")];
                        return respond(out, "200 OK", &kind, body.as_bytes());
                    }
                    let waited = self.changed.wait_timeout(keys, left);
                    keys = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            "/kv-key" => {
                let key = value("key").unwrap_or_default();
                let keys = lock(&self.keys);
                let found = keys.items.get(&key).map(|item| item_json(&key, item));
                drop(keys);
                match found {
                    Some(body) => respond(out, "200 OK", &[], body.as_bytes()),
                    None => respond(out, "404 Not Found", &[], b""),
                }
            }
            _ => respond(out, "404 Not Found", &[], b""),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"createRevision\":{},\"lease\":0}}",
        item.value, item.rev, item.created
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, more)) = rest.split_first() {
        let digits = more.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &more[2..];
            }
            _ => {
                bytes.push(*first);
                rest = more;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Unix milliseconds now.
pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis())
}

/// Entry of a runner in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":4,\"born\":{born}}}"
    )
}

// --- gateway processes ----------------------------------------------------------------------

/// Ends the script: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    tell(format!("cannot run: {reason}"));
    end_all();
    std::process::exit(2);
}

fn children() -> &'static Mutex<Vec<Arc<Gateway>>> {
    static CHILDREN: OnceLock<Mutex<Vec<Arc<Gateway>>>> = OnceLock::new();
    CHILDREN.get_or_init(Mutex::default)
}

/// Ends all gateway processes that were started.
pub fn end_all() {
    for gateway in lock(children()).drain(..) {
        gateway.kill();
    }
    if let Some(scratch) = SCRATCH.get().filter(|_| std::env::var_os("KEEP").is_none()) {
        let _ = std::fs::remove_dir_all(scratch);
    }
}

/// Ends the script with the verdict.
pub fn finish(is_broken: bool, verdict: &str) -> ! {
    end_all();
    tell(match is_broken {
        true => format!("BROKEN: {verdict}"),
        false => format!("HELD: {verdict}"),
    });
    std::process::exit(i32::from(is_broken));
}

pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&format!("{ip}: {error}")));
    listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()))
}

/// One machine with a gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    is_stopping: AtomicBool,
}

/// Settings that differ between cases.
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub memory_mb: u32,
    pub cpu_share: f64,
    pub store: SocketAddr,
}

/// Makes machines of one small deployment whose seeds are the first three.
pub fn make_machines(folder: &Path, machines: &[Machine]) -> Vec<Arc<Gateway>> {
    let places: Vec<_> = machines
        .iter()
        .map(|one| (free_address(one.ip), free_address(one.ip), free_address(one.ip)))
        .collect();
    let seeds: Vec<_> = places.iter().take(3).map(|(_, _, control)| format!("\"{control}\"")).collect();
    let made = machines.iter().zip(&places).map(|(one, (front, ready, control))| {
        let text = format!(
            r#"{{"nodeName": "{name}", "role": "gateway", "machineClass": "edge", "serves": ["edge", "control_plane"],
"ip": "{ip}", "zone": "{zone}", "region": "bagmati", "zones": {{"thapathali": "bagmati", "balaju": "bagmati", "patan": "bagmati", "bhaktapur": "bagmati"}},
"listen": {{"front": "{front}", "ready": "{ready}", "control": "{control}"}}, "portRange": [7200, 7215],
"seeds": [{seeds}], "bootstrap": true, "faultCounted": false,
"limits": {{"cpuShare": {share}, "cores": 1, "memoryMb": {memory}, "fdLimit": 4100, "linkMbps": 1000.0, "diskMb": 0}},
"dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
"faultTolerance": {{"machines": 1, "zones": 1, "regions": 0}},
"bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000,
"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56, "recoveryS": 12, "passMs": 120, "againS": 4.4}},
"platform": {{"address": "{store}", "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}}}
"#,
            name = one.name,
            ip = one.ip,
            zone = one.zone,
            memory = one.memory_mb,
            share = one.cpu_share,
            store = one.store,
            seeds = seeds.join(", "),
        );
        let settings = folder.join(format!("{}.json", one.name));
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("settings: {error}"));
        }
        Arc::new(Gateway {
            name: one.name.to_owned(),
            front: *front,
            ready: *ready,
            control: *control,
            log: folder.join(format!("{}.log", one.name)),
            settings,
            process: Mutex::new(None),
            is_stopping: AtomicBool::new(false),
        })
    });
    made.collect()
}

impl Gateway {
    /// Starts the process with the command of the deploy file.
    pub fn start(self: &Arc<Self>) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| cannot_run(&format!("log: {error}")));
        let copy = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("target/release/agatemoor")
            .args(["gateway", "--metrics-port", "9464"])
            .env("AGATEMOOR_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("target/release/agatemoor: {error}")));
        note(format!("{}: process {} starts", self.name, child.id()));
        *lock(&self.process) = Some(child);
        let mut known = lock(children());
        if !known.iter().any(|one| one.name == self.name) {
            known.push(self.clone());
        }
    }

    pub fn id(&self) -> Option<u32> {
        lock(&self.process).as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.process).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        if name == "TERM" {
            self.is_stopping.store(true, Ordering::Relaxed);
        }
        if let Some(id) = self.id() {
            send_signal(name, id);
            note(format!("{}: SIG{name}", self.name));
        }
    }

    /// How the process ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut process = lock(&self.process);
        let status = process.as_mut()?.try_wait().ok()??;
        *process = None;
        Some(status.to_string())
    }

    /// Whether SIGTERM was sent.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub fn is_ready(&self) -> bool {
        let question = request("GET", "/readiness", &[("Host", "ready")], b"");
        ask(self.ready, &question, Duration::from_millis(500)).status == 200
    }

    /// Holds the process to a share of a core as the platform does on some days: it runs until the
    /// share of a tenth of a second is used up, and then stands still for the rest of it.
    pub fn hold_to_share(&self, share: f64, is_over: &AtomicBool) {
        const PERIOD: Duration = Duration::from_millis(100);
        let quota = (share * PERIOD.as_nanos() as f64) as u64;
        while !is_over.load(Ordering::Relaxed) {
            let start = Instant::now();
            let Some(id) = self.id() else {
                pause(5);
                continue;
            };
            let used = || run_time(id).unwrap_or(0);
            let before = used();
            while start.elapsed() < PERIOD && used().saturating_sub(before) < quota {
                thread::sleep(Duration::from_micros(500));
            }
            let left = PERIOD.saturating_sub(start.elapsed());
            if !left.is_zero() {
                send_signal("STOP", id);
                thread::sleep(left);
                send_signal("CONT", id);
            }
        }
    }

    /// Memory that the process has in use, in bytes, as the operating system reports it.
    pub fn memory(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/statm", self.id()?)).ok()?;
        let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * page_size())
    }
}

fn send_signal(name: &str, id: u32) {
    let mut kill = Command::new("kill");
    let kill = kill.arg(format!("-{name}")).arg(id.to_string());
    let _ = kill.stdout(Stdio::null()).stderr(Stdio::null()).status();
}

/// Processor time that the threads of a process have used, in nanoseconds.
fn run_time(id: u32) -> Option<u64> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{id}/task")).ok()? {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        sum += text.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(sum)
}

fn page_size() -> u64 {
    static SIZE: OnceLock<u64> = OnceLock::new();
    *SIZE.get_or_init(|| {
        let told = Command::new("getconf").arg("PAGESIZE").output().ok();
        let told = told.and_then(|output| String::from_utf8(output.stdout).ok());
        told.and_then(|text| text.trim().parse().ok()).unwrap_or(4_096)
    })
}

/// Waits until all gateways are ready.
pub fn await_ready(gateways: &[Arc<Gateway>]) {
    let end = Instant::now() + Duration::from_secs(20);
    while !gateways.iter().all(|one| one.is_ready()) {
        if Instant::now() > end {
            cannot_run("the gateways are not ready within 20 s");
        }
        pause(100);
    }
    note("all gateways are ready");
}

static SCRATCH: OnceLock<PathBuf> = OnceLock::new();

/// Folder of the case, which `run.sh` names, and a new temporary folder.
pub fn folders() -> (PathBuf, PathBuf) {
    let case = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let case = PathBuf::from(case);
    open_record(&case);
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        cannot_run(&format!("temporary folder: {error}"));
    }
    let _ = SCRATCH.set(scratch.clone());
    (case, scratch)
}
