use std::fmt;

use base::RevisionNumber;
use schema::fleet as wire;

use crate::{HeadManifest, TextHash};

/// Number of a revision with a check value of its head; stamps are ordered by number first.
///
/// A platform that was restored from a backup can produce two heads with the same number. The check
/// value orders these, so that all nodes choose the same one.
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
    /// Epoch and the platform's modify index.
    pub revision: RevisionNumber,
    /// First eight bytes of the hash of the head's text.
    pub head_check: u64,
}

impl RevisionStamp {
    /// Creates the stamp of a head with the platform's modify index; `None` if the head is invalid.
    pub fn of_head(head: &str, index: u64) -> Option<Self> {
        let manifest = HeadManifest::parse(head).ok()?;
        Some(Self::with_epoch(manifest.epoch, index, head))
    }

    pub(super) fn with_epoch(epoch: u64, index: u64, head: &str) -> Self {
        Self {
            revision: RevisionNumber::new(epoch, index),
            head_check: TextHash::of(head).prefix(),
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
