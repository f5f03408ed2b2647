use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that stop a process. They are installed before a start waits for anything, as each of
/// them would end the process otherwise.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// If the system refuses one.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for SIGTERM or SIGINT; never returns if the signal handlers cannot be installed.
pub async fn stop_signal() {
    match StopSignals::install() {
        Ok(mut signals) => signals.received().await,
        Err(_) => std::future::pending().await,
    }
}
