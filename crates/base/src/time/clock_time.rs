use std::fmt;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

use crate::TimeSpan;

/// Point in time, in milliseconds since an arbitrary start.
///
/// Decision logic takes the current time as an argument, so that it can also run in virtual time.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let start = ClockTime::new(1_000);
/// let later = start + TimeSpan::from_secs(2);
/// assert_eq!(later - start, TimeSpan::new(2_000));
/// assert_eq!(start - later, TimeSpan::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates the time `millis` milliseconds after the start of the clock.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time `span` before this one; the start of the clock if that is earlier.
    ///
    /// ```
    /// use base::{ClockTime, TimeSpan};
    /// let time = ClockTime::new(1_000);
    /// assert_eq!(time.saturating_sub(TimeSpan::new(400)), ClockTime::new(600));
    /// assert_eq!(time.saturating_sub(TimeSpan::from_secs(2)), ClockTime::ZERO);
    /// ```
    #[must_use]
    pub const fn saturating_sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.as_millis()))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::new(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for ClockTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.as_millis()))
    }
}

impl AddAssign<TimeSpan> for ClockTime {
    fn add_assign(&mut self, span: TimeSpan) {
        *self = *self + span;
    }
}

impl Sub for ClockTime {
    type Output = TimeSpan;

    fn sub(self, earlier: Self) -> TimeSpan {
        self.since(earlier)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000, self.0 % 1_000)
    }
}
