use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Hybrid logical time: a wall clock time and a counter, whose order agrees with cause and effect.
///
/// ```
/// let time: base::HybridTime = "1700000000000.2".parse().unwrap();
/// assert_eq!(time.counter, 2);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Wall clock in milliseconds since the Unix epoch, or the largest one seen from a peer.
    pub wall: u64,
    /// Distinguishes events within one millisecond.
    pub counter: u32,
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall, self.counter)
    }
}

impl FromStr for HybridTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("hybrid time", text, "MILLIS.COUNTER");
        let (wall, counter) = text.split_once('.').ok_or_else(fail)?;
        let wall = wall.parse().map_err(|_| fail())?;
        let counter = counter.parse().map_err(|_| fail())?;
        Ok(Self { wall, counter })
    }
}

/// Clock whose times are later than every time that it issued or observed before.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
///
/// ```
/// let mut clock = base::HybridClock::new();
/// let first = clock.tick(100);
/// let second = clock.tick(90);
/// assert!(second > first);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Creates a clock that has issued and observed no time.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time of a local event when the wall clock shows `wall` milliseconds.
    pub fn tick(&mut self, wall: u64) -> HybridTime {
        self.observe(wall, HybridTime::default())
    }

    /// Returns the time of receiving a message with the time `remote`.
    pub fn observe(&mut self, wall: u64, remote: HybridTime) -> HybridTime {
        let floor = self.last.max(remote);
        self.last = if wall > floor.wall {
            HybridTime { wall, counter: 0 }
        } else {
            let counter = floor.counter.saturating_add(1);
            HybridTime { counter, ..floor }
        };
        self.last
    }
}
