use std::str::FromStr;

use base::{HybridTime, ParseError, TimeSpan};

/// Start of a timeline, given as a point in time or as an age.
///
/// ```
/// use agatemoor::SinceTime;
/// let age: SinceTime = "30s".parse().unwrap();
/// assert_eq!(age.resolve(31_000).wall, 1_000);
/// let absolute: SinceTime = "1700000000000.2".parse().unwrap();
/// assert_eq!(absolute.resolve(0).counter, 2);
/// assert!("yesterday".parse::<SinceTime>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinceTime {
    /// Events after this hybrid time.
    Absolute(HybridTime),
    /// Events of the last time span of this length.
    Age(TimeSpan),
}

impl SinceTime {
    /// Returns the hybrid time after which events are shown.
    ///
    /// `wall` is the current wall clock in milliseconds since 1970; an age is subtracted from it.
    pub fn resolve(self, wall: u64) -> HybridTime {
        match self {
            Self::Absolute(time) => time,
            Self::Age(span) => HybridTime {
                wall: wall.saturating_sub(span.as_millis()),
                counter: 0,
            },
        }
    }
}

impl FromStr for SinceTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if let Ok(time) = text.parse() {
            return Ok(Self::Absolute(time));
        }
        if let Ok(wall) = text.parse() {
            return Ok(Self::Absolute(HybridTime { wall, counter: 0 }));
        }
        let allowed = "milliseconds since 1970, MILLIS.COUNTER, or an age such as 30s or 5m";
        let age = text.parse().map(Self::Age);
        age.map_err(|_| ParseError::new("time", text, allowed))
    }
}
