use std::fmt;

use base::RevisionNumber;
use schema::fleet as wire;

use crate::{HeadFile, TextHash};

/// A revision and a check of its head; the order of stamps is the order of revisions.
///
/// The check decides between two heads with the same number, which a platform restored from a
/// backup can produce. It lets all nodes settle on the same one.
///
/// ```
/// use fleet::RevisionStamp;
/// let old = RevisionStamp::of_head("epoch = 1\n[keys]\n", 90).unwrap();
/// let new = RevisionStamp::of_head("epoch = 2\n[keys]\n", 4).unwrap();
/// assert!(new > old);
/// assert!(old.to_string().starts_with("1.90/"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RevisionStamp {
    /// Epoch and index.
    pub revision: RevisionNumber,
    /// First eight bytes of the hash of the head.
    pub head_check: u64,
}

impl RevisionStamp {
    /// Creates the stamp of a head with the platform's modify index, if the head can be parsed.
    pub fn of_head(head: &str, index: u64) -> Option<Self> {
        let file = HeadFile::parse(head).ok()?;
        Some(Self::with_epoch(file.epoch, index, head))
    }

    pub(super) fn with_epoch(epoch: u64, index: u64, head: &str) -> Self {
        Self {
            revision: RevisionNumber::new(epoch, index),
            head_check: TextHash::of(head).short(),
        }
    }
}

impl fmt::Display for RevisionStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.revision, self.head_check >> 32)
    }
}

impl From<&wire::RevisionStamp> for RevisionStamp {
    fn from(stamp: &wire::RevisionStamp) -> Self {
        Self {
            revision: stamp.revision,
            head_check: stamp.head_check,
        }
    }
}

impl From<RevisionStamp> for wire::RevisionStamp {
    fn from(stamp: RevisionStamp) -> Self {
        Self {
            revision: stamp.revision,
            head_check: stamp.head_check,
        }
    }
}
