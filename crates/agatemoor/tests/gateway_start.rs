//! The start of gateway and node processes while something that they need is not there yet.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use base::EventKind;
use serde_json::{Value, json};
use yare::parameterized;

/// Longest wait for a log line or for the exit of a process; long enough for a busy machine.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(25);
/// Time for which an address is taken.
const TAKEN_DURATION: Duration = Duration::from_secs(1);
/// Time for which a settings file is missing.
const MISSING_DURATION: Duration = Duration::from_millis(300);
/// Ports for callers, readiness checks, peers and metrics.
const CALLERS: u16 = 23_000;
const READY: u16 = 24_000;
const PEERS: u16 = 25_000;
const METRICS: u16 = 26_000;

/// Loopback address that no other test uses.
fn next_host() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 32 + high % 16, low, number)
}

/// Settings of a gateway whose store does not answer.
fn valid_settings(host: Ipv4Addr) -> Value {
    let address = |port: u16| SocketAddr::new(host.into(), port).to_string();
    json!({
        "nodeName": format!("edge-{}", host.octets()[3]),
        "zone": "patan",
        "listen": {"front": address(CALLERS), "ready": address(READY), "control": address(PEERS)},
        "seeds": [],
        "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56},
        "platform": {"address": address(21_000)},
        "limits": {"cpuShare": 0.25},
    })
}

/// Path of the settings file of a test; the file does not exist yet.
fn settings_path(host: Ipv4Addr) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("start-{host}.json"));
    // A file of an earlier process with this identifier, if there is one.
    let _ = fs::remove_file(&path);
    path
}

/// A process of the program, whose log lines are read from one of its outputs.
struct StartedProcess {
    child: Child,
    lines: Receiver<String>,
    log: Vec<String>,
}

impl StartedProcess {
    /// Starts a gateway with these additional arguments.
    fn gateway(settings: &PathBuf, args: &[&str]) -> Self {
        let mut command = Command::new(program_path());
        command.arg("gateway").arg("--settings").arg(settings);
        command.args(args).stderr(Stdio::null());
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let output = child.stdout.take().unwrap();
        Self::new(child, output)
    }

    /// Starts a node of the INI settings.
    fn node(settings: &PathBuf) -> Self {
        let mut command = Command::new(program_path());
        command.args(["--log-format", "json", "node"]).arg(settings);
        command.stdout(Stdio::null());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let output = child.stderr.take().unwrap();
        Self::new(child, output)
    }

    fn new(child: Child, output: impl Read + Send + 'static) -> Self {
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines,
            log: Vec::new(),
        }
    }

    /// Waits for a log line of this kind that contains `text`; panics if the process ends first.
    fn wait_for(&mut self, kind: EventKind, text: &str) -> Value {
        let end = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = match self.lines.recv_timeout(left) {
                Ok(line) => line,
                Err(RecvTimeoutError::Timeout) => panic!("no {kind} with `{text}`: {:?}", self.log),
                Err(RecvTimeoutError::Disconnected) => {
                    let status = self.child.wait().unwrap();
                    panic!("{status} without {kind} with `{text}`: {:?}", self.log);
                }
            };
            self.log.push(line.clone());
            let fields: Value = serde_json::from_str(&line).unwrap_or_default();
            if fields["event"] == kind.number() && line.contains(text) {
                return fields;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the end of the process; returns its exit code, `None` if a signal ended it.
    fn wait_for_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        loop {
            self.log.extend(self.lines.try_iter());
            if let Some(status) = self.child.try_wait().unwrap() {
                self.log.extend(self.lines.iter());
                return status.code();
            }
            assert!(Instant::now() < end, "still runs: {:?}", self.log);
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn has_logged(&self, kind: EventKind) -> bool {
        let number = format!("\"event\":{},", kind.number());
        self.log.iter().any(|line| line.contains(&number))
    }
}

impl Drop for StartedProcess {
    fn drop(&mut self) {
        // A process that has ended already is no error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The built program; another build of it can be named to compare it with an earlier version.
fn program_path() -> PathBuf {
    let other = std::env::var_os("AGATEMOOR_TEST_PROGRAM");
    other.map_or(env!("CARGO_BIN_EXE_agatemoor").into(), PathBuf::from)
}

/// Makes a call for which the gateway has no route; returns the status line.
fn call(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a\r\nrequest-attempt-id: 1\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.lines().next().unwrap_or_default().to_owned()
}

fn assert_serves(host: Ipv4Addr) {
    let status = call(SocketAddr::new(host.into(), CALLERS), "/");
    assert!(status.starts_with("HTTP/1.1 "), "{status}");
}

// Guards against a start that a settings file ends which is being written or not there yet.
#[parameterized(
    empty = { Some(String::new()), "line 1" },
    truncated = { Some(valid_settings(Ipv4Addr::LOCALHOST).to_string()[..100].to_owned()), "EOF" },
    lacks_a_field = { Some(valid_settings(Ipv4Addr::LOCALHOST).to_string().replace("nodeName", "x")), "nodeName" },
    missing = { None, "No such file" },
)]
fn a_start_waits_for_valid_settings(first: Option<String>, reason: &str) {
    let host = next_host();
    let path = settings_path(host);
    if let Some(text) = first {
        fs::write(&path, text).unwrap();
    }
    let mut gateway = StartedProcess::gateway(&path, &[]);
    let line = gateway.wait_for(EventKind::StartWaiting, reason);
    assert!(line["since_wall_ms"].as_u64() > Some(0), "{line}");
    thread::sleep(MISSING_DURATION);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    gateway.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

// Guards against a start that an address ends which is taken for a moment.
#[parameterized(callers = { CALLERS }, readiness = { READY }, peers = { PEERS })]
fn a_start_waits_for_a_taken_address(port: u16) {
    let host = next_host();
    let path = settings_path(host);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    let address = SocketAddr::new(host.into(), port);
    let taken = TcpListener::bind(address).unwrap();
    let mut gateway = StartedProcess::gateway(&path, &[]);
    gateway.wait_for(EventKind::StartWaiting, &address.to_string());
    thread::sleep(TAKEN_DURATION);
    drop(taken);
    gateway.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
    gateway.signal("INT");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

// Guards against a start that is not repeated with the addresses of corrected settings.
#[test]
fn a_start_that_waits_reads_its_settings_again() {
    let host = next_host();
    let path = settings_path(host);
    let mut settings = valid_settings(host);
    let taken = TcpListener::bind((host, READY)).unwrap();
    fs::write(&path, settings.to_string()).unwrap();
    let mut gateway = StartedProcess::gateway(&path, &[]);
    gateway.wait_for(EventKind::StartWaiting, "");
    let other = SocketAddr::new(host.into(), READY + 1);
    settings["listen"]["ready"] = other.to_string().into();
    fs::write(&path, settings.to_string()).unwrap();
    gateway.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
    drop(taken);
}

// Guards against callers that go without a gateway because another process holds its metrics port,
// and against metrics that stay away once that port is free.
#[test]
fn a_taken_metrics_port_delays_no_start() {
    let host = next_host();
    let path = settings_path(host);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    let metrics = SocketAddr::new(host.into(), METRICS);
    let taken = TcpListener::bind(metrics).unwrap();
    let mut gateway = StartedProcess::gateway(&path, &["--metrics-port", "26000"]);
    gateway.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
    gateway.wait_for(EventKind::StartWaiting, &metrics.to_string());
    assert_serves(host);
    drop(taken);
    gateway.wait_for(EventKind::ProcessMessage, &metrics.to_string());
    assert_eq!(call(metrics, "/metrics"), "HTTP/1.1 200 OK");
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

// Guards against a stop that waits for the metrics port.
#[test]
fn a_metrics_port_that_stays_taken_delays_no_stop() {
    let host = next_host();
    let path = settings_path(host);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    let _taken = TcpListener::bind((host, METRICS)).unwrap();
    let mut gateway = StartedProcess::gateway(&path, &["--metrics-port", "26000"]);
    gateway.wait_for(EventKind::NodeStarted, "");
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(!gateway.has_logged(EventKind::ExitForced));
}

// Guards against a successor that ends while its predecessor still stops.
#[test]
fn a_start_waits_for_a_predecessor_that_stops() {
    let host = next_host();
    let path = settings_path(host);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    let mut first = StartedProcess::gateway(&path, &[]);
    first.wait_for(EventKind::NodeStarted, "");
    first.signal("TERM");
    first.wait_for(EventKind::NodeStopping, "");
    let mut second = StartedProcess::gateway(&path, &[]);
    assert_eq!(first.wait_for_exit(), Some(0));
    second.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
    second.signal("TERM");
    assert_eq!(second.wait_for_exit(), Some(0));
}

// Guards against a start that waits for ever, and against one that ends with another exit code.
#[test]
fn settings_that_stay_invalid_end_the_start_with_2() {
    let path = settings_path(next_host());
    fs::write(&path, "{").unwrap();
    let mut gateway = StartedProcess::gateway(&path, &["--start-timeout", "1s"]);
    let line = gateway.wait_for(EventKind::StartFailed, "line 1");
    assert!(line["waited_ms"].as_u64() >= Some(1_000), "{line}");
    assert_eq!(gateway.wait_for_exit(), Some(2));
    assert!(gateway.has_logged(EventKind::StartWaiting));
}

// The same for an address that stays taken.
#[test]
fn an_address_that_stays_taken_ends_the_start_with_1() {
    let host = next_host();
    let path = settings_path(host);
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    let _taken = TcpListener::bind((host, CALLERS)).unwrap();
    let mut gateway = StartedProcess::gateway(&path, &["--start-timeout", "1s"]);
    let line = gateway.wait_for(EventKind::StartFailed, &host.to_string());
    assert!(line["waited_ms"].as_u64() >= Some(1_000), "{line}");
    assert_eq!(gateway.wait_for_exit(), Some(1));
}

// Guards against a permanent problem that is waited for: no path of a settings file.
#[test]
fn a_missing_path_ends_the_start_at_once() {
    let mut command = Command::new(program_path());
    let output = command.arg("gateway").env_remove("AGATEMOOR_BOOT").output();
    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let log = String::from_utf8_lossy(&output.stdout);
    assert!(!log.contains("1013"), "{log}");
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("AGATEMOOR_BOOT"), "{message}");
}

// Guards against a check of settings that waits until they are valid.
#[test]
fn a_check_does_not_wait() {
    let path = settings_path(next_host());
    fs::write(&path, "{").unwrap();
    let mut gateway = StartedProcess::gateway(&path, &["--check"]);
    assert_eq!(gateway.wait_for_exit(), Some(2));
    assert!(!gateway.has_logged(EventKind::StartWaiting));
}

// Guards against a start that can't be stopped while it waits.
#[parameterized(terminate = { "TERM" }, interrupt = { "INT" })]
fn a_start_that_waits_can_be_stopped(signal: &str) {
    let path = settings_path(next_host());
    let mut gateway = StartedProcess::gateway(&path, &[]);
    gateway.wait_for(EventKind::StartWaiting, "");
    gateway.signal(signal);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(!gateway.has_logged(EventKind::ExitForced));
}

// Guards against a gateway that is stopped during the last step of its start and then ends within a
// second, so that the calls which it admits meanwhile are cut off.
#[test]
fn a_gateway_stopped_during_its_start_keeps_its_grace_period() {
    let host = next_host();
    let path = settings_path(host);
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.unwrap().success());
    let mut gateway = StartedProcess::gateway(&path, &[]);
    // Opening the pipe ends once the start reads its settings, which then waits for them.
    let mut settings = fs::OpenOptions::new().write(true).open(&path).unwrap();
    gateway.signal("TERM");
    thread::sleep(Duration::from_millis(100));
    let text = valid_settings(host).to_string();
    settings.write_all(text.as_bytes()).unwrap();
    drop(settings);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(
        !gateway.has_logged(EventKind::ExitForced),
        "{:?}",
        gateway.log
    );
    let has_served = gateway.has_logged(EventKind::NodeStarted);
    assert_eq!(gateway.has_logged(EventKind::NodeStopping), has_served);
}

// Guards against a reload signal that ends a start.
#[test]
fn a_start_that_waits_survives_reload_signals() {
    let host = next_host();
    let path = settings_path(host);
    let mut gateway = StartedProcess::gateway(&path, &[]);
    gateway.wait_for(EventKind::StartWaiting, "");
    for _ in 0..5 {
        gateway.signal("HUP");
        thread::sleep(Duration::from_millis(20));
    }
    fs::write(&path, valid_settings(host).to_string()).unwrap();
    gateway.wait_for(EventKind::NodeStarted, "");
    assert_serves(host);
}

/// INI settings of a node whose platform does not answer.
fn node_settings(host: Ipv4Addr) -> String {
    format!(
        "[node]\nname = node-{number}\ndomain = patan\n[callers]\nlisten = {host}:{CALLERS}\n\
         [operators]\nlisten = {host}:{READY}\n[peers]\nlisten = {host}:{PEERS}\n\
         key = peer secret of the tests\n[platform]\naddress = {host}:21000\n",
        number = host.octets()[3]
    )
}

// The same for nodes with INI settings: guards against one that ends because its settings are being
// written or an address is taken for a moment.
#[test]
fn the_start_of_a_node_waits() {
    let host = next_host();
    let path = settings_path(host);
    let taken = TcpListener::bind((host, READY)).unwrap();
    fs::write(&path, &node_settings(host)[..60]).unwrap();
    let mut node = StartedProcess::node(&path);
    node.wait_for(EventKind::StartWaiting, "");
    fs::write(&path, node_settings(host)).unwrap();
    node.wait_for(EventKind::StartWaiting, &format!("{host}:{READY}"));
    drop(taken);
    node.wait_for(EventKind::NodeStarted, "");
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}

// Guards against a node that can't be stopped while its start waits.
#[test]
fn the_start_of_a_node_can_be_stopped() {
    let path = settings_path(next_host());
    let mut node = StartedProcess::node(&path);
    node.wait_for(EventKind::StartWaiting, "");
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}
