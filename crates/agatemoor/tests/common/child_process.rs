use std::env;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a line of the log or for the end of a process, generous for a busy machine.
const PROCESS_LIMIT: Duration = Duration::from_secs(30);
/// Log lines kept for messages of failed tests.
const LINE_LIMIT: usize = 100_000;

/// A process that is killed by its id when this value goes away, also by a panic.
pub struct ChildProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl ChildProcess {
    /// Starts the program with these arguments.
    pub fn start(args: &[String]) -> Self {
        let mut child = Command::new(program())
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (kept, stderr) = (lines.clone(), child.stderr.take());
        // An unread pipe would block the process.
        thread::spawn(move || {
            for line in stderr
                .into_iter()
                .flat_map(|pipe| BufReader::new(pipe).lines())
            {
                let Ok(line) = line else { return };
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                if kept.len() < LINE_LIMIT {
                    kept.push(line);
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_line(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let lines = self.lines();
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            assert!(
                start.elapsed() < PROCESS_LIMIT,
                "no line with `{text}` in {lines:?}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Log lines so far.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} was sent"
        );
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // A process that has ended already is no error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(
                start.elapsed() < PROCESS_LIMIT,
                "the process ends: {:?}",
                self.lines()
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

/// Tests start the built program; the history check starts itself with its arguments.
fn program() -> PathBuf {
    match option_env!("CARGO_BIN_EXE_agatemoor") {
        Some(path) => PathBuf::from(path),
        None => env::current_exe().expect("the path of this program is known"),
    }
}
