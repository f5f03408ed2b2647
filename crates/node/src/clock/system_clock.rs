use std::time::{Instant, SystemTime, UNIX_EPOCH};

use base::{ClockTime, IncarnationNumber};

/// Random bits of an incarnation number; the start time in milliseconds stands above them.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Milliseconds since the process started, and the wall clock for logs.
///
/// ```
/// let clock = node::SystemClock::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> ClockTime {
        let millis = self.start.elapsed().as_millis();
        ClockTime::new(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Milliseconds since the Unix epoch, for hybrid logical time.
    pub fn wall(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| {
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Makes the incarnation number of a process that starts now.
    pub fn incarnation(&self) -> IncarnationNumber {
        let random = u64::from(rand::random::<u32>() >> (32 - INCARNATION_RANDOM_BITS));
        IncarnationNumber((self.wall() << INCARNATION_RANDOM_BITS) | random)
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}
