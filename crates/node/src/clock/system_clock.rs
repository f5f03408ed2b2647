use std::time::{Instant, SystemTime, UNIX_EPOCH};

use base::{ClockTime, IncarnationNumber};

/// Number of random low bits of an incarnation number; the start time in milliseconds is stored in
/// the bits above.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Monotonic clock that counts milliseconds since it was created, and access to the wall clock.
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

    /// Returns the monotonic time since the clock was created.
    pub fn now(&self) -> ClockTime {
        let millis = self.start.elapsed().as_millis();
        ClockTime::new(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Returns the wall clock time in milliseconds since the Unix epoch; 0 if it is set before that.
    pub fn unix_millis(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| {
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Creates the incarnation number of a process that starts now.
    pub fn new_incarnation(&self) -> IncarnationNumber {
        let random = u64::from(rand::random::<u32>() >> (32 - INCARNATION_RANDOM_BITS));
        IncarnationNumber((self.unix_millis() << INCARNATION_RANDOM_BITS) | random)
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}
