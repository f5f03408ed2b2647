//! The end of a gateway process.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

/// Processes that are stopped; whether the last lines of one are lost depends on the moment.
const PROCESSES: u8 = 8;
/// Longest wait for a process to listen or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Loopback address of the next gateway.
fn next_host() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(PROCESSES + 1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 16 + high % 16, low, number)
}

fn settings_path(host: Ipv4Addr) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("exit-{host}.json"))
}

/// Writes the settings of a gateway whose store does not answer; returns their path.
fn write_settings(host: Ipv4Addr) -> PathBuf {
    let address = |port: u16| SocketAddr::new(host.into(), port).to_string();
    let settings = json!({
        "nodeName": format!("edge-{}", host.octets()[3]),
        "zone": "patan",
        "listen": {"front": address(23_000), "ready": address(24_000), "control": address(25_000)},
        "seeds": [],
        "bounds": {"graceS": 2, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56},
        "platform": {"address": address(21_000)},
        "limits": {"cpuShare": 0.25},
    });
    let path = settings_path(host);
    fs::write(&path, settings.to_string()).unwrap();
    path
}

/// The built program; another build of it can be named to compare it with an earlier version.
fn program_path() -> PathBuf {
    let other = std::env::var_os("AGATEMOOR_TEST_PROGRAM");
    other.map_or(env!("CARGO_BIN_EXE_agatemoor").into(), PathBuf::from)
}

fn start_gateway(host: Ipv4Addr) -> Child {
    start_gateway_with(&write_settings(host))
}

fn start_gateway_with(settings: &Path) -> Child {
    let child = Command::new(program_path())
        .arg("gateway")
        .env("AGATEMOOR_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    child.unwrap()
}

/// Makes calls until the gateway is gone, so that it logs lines all the time.
fn call_until_gone(callers: SocketAddr) {
    while let Ok(mut stream) = TcpStream::connect(callers) {
        let request =
            b"GET / HTTP/1.1\r\nhost: a\r\nrequest-attempt-id: 1\r\nconnection: close\r\n\r\n";
        // The gateway may close the connection at any moment.
        let _ = stream.write_all(request);
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

/// Stops a gateway while it is called; returns what it logged.
fn stop_gateway(host: Ipv4Addr) -> String {
    let mut gateway = start_gateway(host);
    let callers = SocketAddr::new(host.into(), 23_000);
    let start = Instant::now();
    while TcpStream::connect(callers).is_err() {
        assert!(start.elapsed() < PROCESS_TIMEOUT, "the gateway listens");
        thread::sleep(Duration::from_millis(20));
    }
    let calling = thread::spawn(move || call_until_gone(callers));
    let id = gateway.id().to_string();
    let kill = Command::new("kill").args(["-s", "TERM", &id]).status();
    assert!(kill.unwrap().success());
    let mut log = String::new();
    gateway
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert!(gateway.wait().unwrap().success());
    calling.join().unwrap();
    log
}

// Guards against log lines of the last moments that are lost when the process ends; they tell why a
// call of a planned stop has no answer.
#[test]
fn the_last_log_lines_are_written() {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let hosts = (1..=PROCESSES).map(|number| Ipv4Addr::new(127, 16 + high % 16, low, number));
    let runs: Vec<_> = hosts
        .map(|host| thread::spawn(move || stop_gateway(host)))
        .collect();
    for run in runs {
        let log = run.join().unwrap();
        assert!(log.contains("\"event\":1002"), "the stop began");
        let lines: Vec<_> = log.lines().collect();
        let last = &lines[lines.len().saturating_sub(3)..];
        assert!(
            log.contains("\"event\":1003"),
            "the last line is missing after {} lines: {last:?}",
            lines.len()
        );
    }
}

/// Replaces the settings of a gateway by a pipe, which can't be read to its end while it is open for
/// writing; returns that end once the gateway reads.
fn block_settings(settings: &Path) -> File {
    // A file that is not there is no error.
    let _ = fs::remove_file(settings);
    let made = Command::new("mkfifo").arg(settings).status();
    assert!(made.unwrap().success());
    File::options().write(true).open(settings).unwrap()
}

/// Waits for the end of a gateway; kills it after a time-out.
fn wait_for_exit(gateway: &mut Child) -> ExitStatus {
    let start = Instant::now();
    loop {
        if let Some(status) = gateway.try_wait().unwrap() {
            return status;
        }
        if start.elapsed() >= PROCESS_TIMEOUT {
            gateway.kill().unwrap();
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn terminate(gateway: &Child) {
    let id = gateway.id().to_string();
    let kill = Command::new("kill").args(["-s", "TERM", &id]).status();
    assert!(kill.unwrap().success());
}

fn has_event(log: impl Read, number: u16) -> bool {
    let text = format!("\"event\":{number},");
    let mut lines = BufReader::new(log).lines();
    lines.any(|line| line.unwrap().contains(&text))
}

// Guards against a process that does not end in time because its main thread is blocked, here by
// settings that can't be read to their end.
#[test]
fn a_blocked_process_ends_in_time() {
    let settings = settings_path(next_host());
    // The start reads the settings in the main thread.
    let mut blocked = start_gateway_with(&settings);
    let _writer = block_settings(&settings);
    terminate(&blocked);
    let status = wait_for_exit(&mut blocked);
    fs::remove_file(settings).unwrap();
    assert!(status.success(), "{status}");
    assert!(has_event(blocked.stdout.take().unwrap(), 1016));
}

// Guards against calls, and a stop, that wait for a read of the settings.
#[test]
fn calls_do_not_wait_for_settings() {
    let host = next_host();
    let mut gateway = start_gateway(host);
    let mut log = gateway.stdout.take().unwrap();
    assert!(has_event(&mut log, 1001));
    let settings = settings_path(host);
    let _writer = block_settings(&settings);
    let mut stream = TcpStream::connect((host, 23_000)).unwrap();
    stream.set_read_timeout(Some(PROCESS_TIMEOUT)).unwrap();
    let request =
        b"GET / HTTP/1.1\r\nhost: a\r\nrequest-attempt-id: 1\r\nconnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    terminate(&gateway);
    let status = wait_for_exit(&mut gateway);
    fs::remove_file(settings).unwrap();
    assert!(answer.starts_with("HTTP/1.1 "), "{read:?} {answer}");
    assert!(status.success(), "{status}");
    assert!(has_event(log, 1003));
}
