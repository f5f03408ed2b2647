use std::fmt;

use base::ClockTime;

const MICROS_PER_MILLI: u64 = 1_000;

/// Time in microseconds with the same origin as [`ClockTime`], which counts milliseconds; steps
/// take fractions of a millisecond.
///
/// ```
/// use base::ClockTime;
/// use engine::EngineTime;
/// let time = EngineTime::from(ClockTime::new(3));
/// assert_eq!(time.as_micros(), 3_000);
/// assert_eq!(EngineTime::new(3_001).to_clock_ceil(), ClockTime::new(4));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineTime(u64);

impl EngineTime {
    /// Creates the time `micros` microseconds after the start of the clock.
    pub const fn new(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Rounds up to whole milliseconds.
    pub const fn to_clock_ceil(self) -> ClockTime {
        ClockTime::new(self.0.div_ceil(MICROS_PER_MILLI))
    }

    /// Returns the time `micros` microseconds later.
    #[must_use]
    pub const fn plus_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }
}

impl From<ClockTime> for EngineTime {
    fn from(time: ClockTime) -> Self {
        Self(time.as_millis().saturating_mul(MICROS_PER_MILLI))
    }
}

impl fmt::Display for EngineTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
