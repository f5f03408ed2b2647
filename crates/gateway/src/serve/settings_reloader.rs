use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use base::EventKind;

use crate::GatewayCore;

/// Stack of the thread that reads the settings, in bytes; the file is small and hardly nested.
const STACK_SIZE: usize = 256 << 10;

/// Reads the settings of a running gateway again, in a thread of its own: a read may take long, or
/// never end, and calls don't wait for it.
pub struct SettingsReloader {
    core: Arc<GatewayCore>,
    reads: Mutex<ReadState>,
}

#[derive(Default)]
struct ReadState {
    is_reading: bool,
    /// Cause of a request that arrived during a read; the settings may have changed since.
    next_cause: Option<String>,
}

impl SettingsReloader {
    /// Creates the reloader of a gateway.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            core,
            reads: Mutex::default(),
        }
    }

    /// Reads the settings and applies changes, after the read in progress if there is one; `cause` is
    /// for the log.
    pub fn request(self: &Arc<Self>, cause: &str) {
        {
            let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
            if reads.is_reading {
                reads.next_cause.get_or_insert_with(|| cause.to_owned());
                return;
            }
            reads.is_reading = true;
        }
        let (reloader, cause) = (self.clone(), cause.to_owned());
        let thread = thread::Builder::new()
            .name("settings".to_owned())
            .stack_size(STACK_SIZE);
        if let Err(error) = thread.spawn(move || reloader.run(cause)) {
            *self.reads.lock().unwrap_or_else(PoisonError::into_inner) = ReadState::default();
            let reason = format!("cannot create a thread: {error}");
            self.core.log_settings_failure(&reason);
        }
    }

    fn run(&self, cause: String) {
        let mut cause = Some(cause);
        while let Some(current) = cause {
            // The panic hook logs a panic; later requests are still served.
            let _ = catch_unwind(AssertUnwindSafe(|| self.read(&current)));
            cause = self.next_cause();
        }
    }

    /// Cause of the next read; without one, no read is in progress any more.
    fn next_cause(&self) -> Option<String> {
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        let cause = reads.next_cause.take();
        reads.is_reading = cause.is_some();
        cause
    }

    /// Reads the settings and applies changed seeds and retry budgets; changed addresses need a
    /// restart.
    fn read(&self, cause: &str) {
        let core = &self.core;
        let settings = match core.ports.settings.read() {
            Ok(settings) => settings,
            Err(reason) => {
                core.log_settings_failure(&reason);
                return;
            }
        };
        if !core.with_state(|state, _| state.apply_settings(&settings)) {
            return;
        }
        log::info!(
            event = EventKind::SettingsReloaded.number(),
            node = core.node().as_str(),
            seeds = settings.seeds.len(),
            cause = cause;
            "changed seeds and retry budgets applied"
        );
    }
}
