use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Number of a history of the store. It rises each time that the store comes back from a copy, after
/// which revisions go back and are given out again.
///
/// ```
/// use entry::StoreEra;
/// let era: StoreEra = "2".parse().unwrap();
/// assert!(era > StoreEra::default());
/// assert_eq!(era.to_string(), "2");
/// assert!("two".parse::<StoreEra>().is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether this is the era of a store that tells none.
    pub fn is_first(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Place in the history of the store. Revisions can only be compared within one era.
///
/// ```
/// use entry::{StoreEra, StorePosition};
/// let before = StorePosition::new(StoreEra(1), 493);
/// let after = StorePosition::new(StoreEra(2), 419);
/// assert!(after > before);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// The history.
    pub era: StoreEra,
    /// Revision within it.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for StorePosition {
    /// The position at a revision of a store that tells no era.
    fn from(revision: u64) -> Self {
        Self::new(StoreEra::default(), revision)
    }
}
