use std::fmt;
use std::ops::{Add, Div, Mul};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Duration in milliseconds, written as `250ms`, `3s` or `2m`.
///
/// ```
/// let span: base::TimeSpan = "3s".parse().unwrap();
/// assert_eq!(span.as_millis(), 3_000);
/// assert_eq!(base::TimeSpan::new(250).to_string(), "250ms");
/// assert!("3 parsecs".parse::<base::TimeSpan>().is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// The empty duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration of `millis` milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a duration of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// The duration in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The duration in whole seconds, rounded up, as the `Retry-After` header requires.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// This duration minus `other`; zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for TimeSpan {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for TimeSpan {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        Self::from_millis(span.0)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0s"),
            millis if millis % 60_000 == 0 => write!(f, "{}m", millis / 60_000),
            millis if millis % 1_000 == 0 => write!(f, "{}s", millis / 1_000),
            millis => write!(f, "{millis}ms"),
        }
    }
}

impl FromStr for TimeSpan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("time span", text, "a number with ms, s or m, such as 250ms");
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(fail)?;
        let number: u64 = text[..split].parse().map_err(|_| fail())?;
        let factor = match &text[split..] {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            _ => return Err(fail()),
        };
        number.checked_mul(factor).map(Self).ok_or_else(fail)
    }
}
