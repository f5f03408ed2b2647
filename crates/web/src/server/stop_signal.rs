use tokio::sync::watch;

/// Flag that asks tasks to stop and that they can wait for; clones share one flag.
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
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Sets the signal; it stays set.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Whether the signal is set.
    pub fn is_stopped(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is set.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // `wait_for` fails only when the sender is dropped, and `self` holds the sender.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}
