use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Version of the fleet declaration: the operators' epoch, then the platform's modify index.
///
/// By raising the epoch, operators can publish newer declarations after the platform was restored
/// with a lower index.
///
/// ```
/// let old: base::RevisionNumber = "1.90".parse().unwrap();
/// let new = base::RevisionNumber { epoch: 2, index: 4 };
/// assert!(new > old);
/// assert_eq!(new.to_string(), "2.4");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RevisionNumber {
    /// Epoch that the operators set in the value of the `head` key.
    pub epoch: u64,
    /// The platform's modify index of the `head` key.
    pub index: u64,
}

impl RevisionNumber {
    /// Creates a revision from its two parts.
    pub fn new(epoch: u64, index: u64) -> Self {
        Self { epoch, index }
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.index)
    }
}

impl FromStr for RevisionNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("revision number", text, "EPOCH.INDEX, such as 1.90");
        let (epoch, index) = text.split_once('.').ok_or_else(fail)?;
        let epoch = epoch.parse().map_err(|_| fail())?;
        let index = index.parse().map_err(|_| fail())?;
        Ok(Self { epoch, index })
    }
}
