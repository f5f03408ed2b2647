use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::{ClockTime, TimeSpan};

use super::SystemClock;

/// Time since the last tick above which the view of the fleet counts as outdated.
const PAUSE_LIMIT: TimeSpan = TimeSpan::from_secs(1);

/// Detects that the process was paused since the last tick of the fleet actor, so that its view of
/// the fleet may be outdated. Clones share the time of the last tick.
///
/// ```
/// let detector = node::PauseDetector::new(node::SystemClock::new());
/// detector.record_tick();
/// assert!(!detector.was_paused());
/// ```
#[derive(Clone, Debug)]
pub struct PauseDetector {
    clock: SystemClock,
    last_tick_at: Arc<AtomicU64>,
}

impl PauseDetector {
    /// Creates a detector whose last tick is at the start of the clock.
    pub fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            last_tick_at: Arc::default(),
        }
    }

    /// Records that the fleet actor has completed a tick now.
    pub fn record_tick(&self) {
        let now = self.clock.now().as_millis();
        self.last_tick_at.store(now, Ordering::Relaxed);
    }

    /// Tells whether the last tick is so long ago that the view may be outdated.
    pub fn was_paused(&self) -> bool {
        let last_tick = ClockTime::new(self.last_tick_at.load(Ordering::Relaxed));
        self.clock.now() - last_tick > PAUSE_LIMIT
    }
}
