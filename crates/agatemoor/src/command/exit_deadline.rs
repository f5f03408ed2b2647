use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use std::{io, process, thread};

use base::{EventKind, TimeSpan};
use gateway::GatewayCore;
use tokio::runtime::Builder;

use super::exit_code::EXIT_SUCCESS;
use super::stop_signals::StopSignals;
use crate::logging::LogWriter;

/// Time before the end of the grace period at which the process ends, whatever its other threads do.
/// With a tenth of a core, a process may stand still for 90 ms at a time: once before this thread
/// wakes up, and once until the log is written.
const END_MARGIN: TimeSpan = TimeSpan::new(200);
/// Time from the signal to the end of a process that has no settings yet.
const START_GRACE: TimeSpan = TimeSpan::from_secs(1);

/// Thread that ends the process at the end of its grace period, even if the main thread is blocked
/// or too slow. It waits for the signals itself, so that the period begins when they arrive.
pub struct ExitDeadline {
    gateway: Arc<OnceLock<Arc<GatewayCore>>>,
}

impl ExitDeadline {
    /// Starts the thread; `log` is written before the process ends.
    ///
    /// # Errors
    /// If the thread or its signal handlers can't be created.
    pub fn start(log: LogWriter) -> io::Result<Self> {
        let gateway = Arc::new(OnceLock::<Arc<GatewayCore>>::new());
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let mut signals = {
            let _context = runtime.enter();
            StopSignals::install()?
        };
        let shared = gateway.clone();
        thread::Builder::new()
            .name("exit".to_owned())
            .spawn(move || {
                runtime.block_on(signals.received());
                let received_at = Instant::now();
                let gateway = shared.get();
                let grace = gateway.map_or(START_GRACE, |core| core.settings.stop_grace);
                let time_left = Duration::from(grace.saturating_sub(END_MARGIN));
                thread::sleep(time_left.saturating_sub(received_at.elapsed()));
                end_process(shared.get(), &log);
            })?;
        Ok(Self { gateway })
    }

    /// Sets the gateway that the process runs, whose settings have the grace period.
    pub fn set_gateway(&self, gateway: Arc<GatewayCore>) {
        // It is set once.
        let _ = self.gateway.set(gateway);
    }
}

fn end_process(gateway: Option<&Arc<GatewayCore>>, log: &LogWriter) {
    log::warn!(
        event = EventKind::ExitForced.number();
        "the grace period is over and the process has not ended yet"
    );
    if let Some(core) = gateway {
        core.log_end(core.active_work(), false);
    }
    log.flush();
    process::exit(EXIT_SUCCESS.into());
}
