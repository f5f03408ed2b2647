use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Number of calls a second that a target may refuse for lack of room before it fails.
///
/// ```
/// let limit: entry::RefusalLimit = "3".parse().unwrap();
/// assert_eq!(limit, entry::RefusalLimit(3));
/// assert_eq!(limit.to_string(), "3");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RefusalLimit(pub u32);

impl fmt::Display for RefusalLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RefusalLimit {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
