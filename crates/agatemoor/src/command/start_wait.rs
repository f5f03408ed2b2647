use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{EventKind, TimeSpan};
use tokio::time::{Instant, sleep};

/// Time for which a start waits for settings and addresses. A predecessor may use its whole grace
/// period of 8 s to stop, and a load balancer gives up on a node after about a minute.
pub const START_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Pause between two attempts to start.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval of the log lines about a wait whose cause does not change.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why an attempt to start failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartProblem {
    /// What is wrong.
    reason: String,
    /// Exit code of the process if it gives up because of this.
    code: u8,
    /// Whether the problem may go away by itself.
    is_transient: bool,
}

impl StartProblem {
    /// Creates a problem that ends the process with `code`.
    pub fn new(reason: impl ToString, code: u8) -> Self {
        Self {
            reason: reason.to_string(),
            code,
            is_transient: false,
        }
    }

    /// Returns this problem as one that may go away by itself, if `is_transient`.
    #[must_use]
    pub fn with_transient(mut self, is_transient: bool) -> Self {
        self.is_transient = is_transient;
        self
    }
}

/// Repeats the attempt to start a process while it fails for reasons that may go away.
pub struct StartWait {
    timeout: Duration,
    started_at: Instant,
    started_wall_ms: u64,
    /// Reason that was logged last, and when.
    reported: Option<(String, Instant)>,
}

impl StartWait {
    /// Creates a wait that begins now and gives up after `timeout`.
    pub fn new(timeout: TimeSpan) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since_epoch.map_or(0, |span| span.as_millis());
        Self {
            timeout: timeout.into(),
            started_at: Instant::now(),
            started_wall_ms: u64::try_from(wall_ms).unwrap_or(u64::MAX),
            reported: None,
        }
    }

    /// Repeats `attempt` until it succeeds.
    ///
    /// # Errors
    /// The exit code of the process, after its reason was logged and printed: if a problem does not
    /// go away by itself, or not in time.
    pub async fn run<T>(
        mut self,
        mut attempt: impl AsyncFnMut() -> Result<T, StartProblem>,
    ) -> Result<T, u8> {
        loop {
            let problem = match attempt().await {
                Ok(started) => return Ok(started),
                Err(problem) => problem,
            };
            let is_over = self.started_at.elapsed() >= self.timeout;
            if !problem.is_transient || is_over {
                return Err(self.fail(&problem));
            }
            self.report(&problem.reason);
            let left = self.timeout.saturating_sub(self.started_at.elapsed());
            sleep(RETRY_PAUSE.min(left)).await;
        }
    }

    /// Logs what the start waits for, when that changes and at intervals.
    fn report(&mut self, reason: &str) {
        let reported = self.reported.as_ref();
        let is_known =
            reported.is_some_and(|(known, at)| known == reason && at.elapsed() < REPORT_INTERVAL);
        if is_known {
            return;
        }
        log::warn!(
            event = EventKind::StartWaiting.number(),
            since_wall_ms = self.started_wall_ms,
            waited_ms = self.waited_ms(),
            timeout_ms = self.timeout.as_millis() as u64;
            "start waits: {reason}"
        );
        self.reported = Some((reason.to_owned(), Instant::now()));
    }

    /// Logs and prints why the start is given up; returns the exit code of the process.
    pub fn fail(&self, problem: &StartProblem) -> u8 {
        let reason = &problem.reason;
        log::error!(
            event = EventKind::StartFailed.number(),
            since_wall_ms = self.started_wall_ms,
            waited_ms = self.waited_ms(),
            exit_code = u64::from(problem.code);
            "start failed: {reason}"
        );
        eprintln!("{reason}");
        problem.code
    }

    fn waited_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}
