use std::env;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a log line or for the exit of a process; long enough for a busy machine.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Most log lines that are kept for the messages of failed tests.
const MAX_LOG_LINES: usize = 100_000;

/// A process of the program with its log; dropping this value kills it, also after a panic.
pub struct ChildProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl ChildProcess {
    /// Starts the program with these arguments and collects its log lines from standard error.
    pub fn start(args: &[String]) -> Self {
        let mut child = Command::new(program_path())
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (collected, stderr) = (lines.clone(), child.stderr.take());
        // An unread pipe would block the process.
        thread::spawn(move || {
            for line in stderr
                .into_iter()
                .flat_map(|pipe| BufReader::new(pipe).lines())
            {
                let Ok(line) = line else { return };
                let mut collected = collected.lock().unwrap_or_else(PoisonError::into_inner);
                if collected.len() < MAX_LOG_LINES {
                    collected.push(line);
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for a log line that contains `text` and returns it; panics after a time-out.
    pub fn wait_for_log_line(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let lines = self.log_lines();
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "no log line with `{text}` within {PROCESS_TIMEOUT:?}: {lines:?}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the log lines so far.
    pub fn log_lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} was sent"
        );
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit and returns its exit code; panics after a time-out.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "the process did not exit within {PROCESS_TIMEOUT:?}: {:?}",
                self.log_lines()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Tests start the built program; `examples/history.rs`, which accepts the same arguments, starts
/// itself.
fn program_path() -> PathBuf {
    match option_env!("CARGO_BIN_EXE_agatemoor") {
        Some(path) => PathBuf::from(path),
        None => env::current_exe().expect("the path of this program is known"),
    }
}
