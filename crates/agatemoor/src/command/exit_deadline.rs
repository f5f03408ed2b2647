use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use std::{io, process, thread};

use base::{EventKind, TimeSpan};
use gateway::GatewayCore;
use tokio::runtime::Builder;
use tokio::sync::watch;

use super::exit_code::EXIT_SUCCESS;
use super::stop_signals::StopSignals;
use crate::logging::LogWriter;

/// Time before the end of the grace period at which the process ends, whatever its other threads do.
/// With a tenth of a core, a process may stand still for 90 ms at a time: once before this thread
/// wakes up, and once until the log is written.
const END_MARGIN: TimeSpan = TimeSpan::new(200);
/// Time from the signal to the end of a process that has no settings yet.
const START_GRACE: TimeSpan = TimeSpan::from_secs(1);

/// Interval at which the thread checks which grace period applies.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Thread that ends the process at the end of its grace period, even if the main thread is blocked
/// or too slow. It waits for the signals itself, so that the period begins when they arrive.
pub struct ExitDeadline {
    gateway: Arc<OnceLock<Arc<GatewayCore>>>,
    /// Whether a signal to stop has arrived.
    signalled: watch::Receiver<bool>,
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
        let (sender, signalled) = watch::channel(false);
        thread::Builder::new()
            .name("exit".to_owned())
            .spawn(move || {
                runtime.block_on(signals.received());
                let received_at = Instant::now();
                sender.send_replace(true);
                // The start may still be in progress, and the gateway be set after the signal.
                while let Some(left) = time_left(shared.get(), received_at) {
                    thread::sleep(left.min(CHECK_INTERVAL));
                }
                end_process(shared.get(), &log);
            })?;
        Ok(Self { gateway, signalled })
    }

    /// Waits until a signal to stop has arrived, also one that arrived before the main thread
    /// installed its handlers.
    pub async fn signalled(&self) {
        let mut signalled = self.signalled.clone();
        // The thread holds the sender until the process ends.
        let _ = signalled.wait_for(|signalled| *signalled).await;
    }

    /// Sets the gateway that the process runs, whose settings have the grace period.
    pub fn set_gateway(&self, gateway: Arc<GatewayCore>) {
        // It is set once.
        let _ = self.gateway.set(gateway);
    }
}

/// Time until the process has to end after a signal; `None` if it is over.
fn time_left(gateway: Option<&Arc<GatewayCore>>, received_at: Instant) -> Option<Duration> {
    let grace = gateway.map_or(START_GRACE, |core| core.settings.stop_grace);
    let end = Duration::from(grace.saturating_sub(END_MARGIN));
    end.checked_sub(received_at.elapsed())
        .filter(|left| !left.is_zero())
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
