use tokio::sync::watch;

/// Tells many tasks to stop; clones share one state.
///
/// ```
/// let signal = web::StopSignal::new();
/// signal.stop();
/// assert!(signal.clone().is_stopped());
/// ```
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: watch::Sender<bool>,
}

impl StopSignal {
    /// Creates a signal that has not been given.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Gives the signal.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Tells whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is given.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so this waits for the signal only.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}
