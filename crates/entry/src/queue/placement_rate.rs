use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of placements in a thousand seconds; written per second.
///
/// ```
/// assert_eq!(entry::PlacementRate::per_second(2.5).to_string(), "2.500/s");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlacementRate(pub u64);

impl PlacementRate {
    /// Creates the rate of `count` placements a second; a rate below zero counts as none.
    pub fn per_second(count: f64) -> Self {
        Self((count * 1_000.0).max(0.0) as u64)
    }
}

impl fmt::Display for PlacementRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
}
