use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::{ClockTime, TimeSpan};

use super::SystemClock;

/// A view that was not looked at for longer counts as old, as after a pause of the process.
const PAUSE_LIMIT: TimeSpan = TimeSpan::from_secs(1);

/// Tells whether the process slept since its view of the fleet was last read; clones share it.
///
/// ```
/// let watch = node::PauseWatch::new(node::SystemClock::new());
/// watch.note_tick();
/// assert!(!watch.is_paused());
/// ```
#[derive(Clone, Debug)]
pub struct PauseWatch {
    clock: SystemClock,
    ticked_at: Arc<AtomicU64>,
}

impl PauseWatch {
    /// Creates a watch that has seen a tick at the start of the clock.
    pub fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            ticked_at: Arc::default(),
        }
    }

    /// Notes that the view of the fleet was read again.
    pub fn note_tick(&self) {
        let now = self.clock.now().as_millis();
        self.ticked_at.store(now, Ordering::Relaxed);
    }

    /// Tells whether the view may be old.
    pub fn is_paused(&self) -> bool {
        let ticked = ClockTime::new(self.ticked_at.load(Ordering::Relaxed));
        self.clock.now() - ticked > PAUSE_LIMIT
    }
}
