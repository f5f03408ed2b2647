use base::ClockTime;
use serde::{Deserialize, Serialize};

use crate::{FactId, FactSet, SharedFact};

/// Number of buckets into which the facts of a set are divided by their identifiers.
pub(super) const BUCKET_COUNT: usize = 32;

/// Combined hash (XOR) of the identifiers in a set; equal sets have equal digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FactDigest(pub u64);

impl FactDigest {
    /// Digest of a set.
    ///
    /// ```
    /// # use base::ClockTime;
    /// # use facts::{FactDigest, FactSet, SharedFact};
    /// # #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
    /// # struct Closed(u32);
    /// # impl SharedFact for Closed {
    /// #     fn lifetime(&self) -> base::TimeSpan { base::TimeSpan::from_secs(60) }
    /// # }
    /// let now = ClockTime::new(1_000);
    /// let mut set = FactSet::default();
    /// let empty = FactDigest::of(&set, now);
    /// set.insert(now, Closed(7));
    /// assert_ne!(FactDigest::of(&set, now), empty);
    /// ```
    pub fn of<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> Self {
        let ids = set.ids(now).map(|(id, _)| id.0);
        Self(ids.fold(0, |sum, id| sum ^ id))
    }
}

/// Combined hash of each bucket of a set, to find the buckets in which two sets differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigest {
    buckets: Vec<u32>,
}

impl BucketDigest {
    /// Digest of the buckets of a set.
    pub fn of<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> Self {
        let mut buckets = vec![0; BUCKET_COUNT];
        for (id, _) in set.ids(now) {
            // The low half of the identifier selects the bucket, the high half goes into its hash.
            buckets[bucket_of(id)] ^= (id.0 >> 32) as u32;
        }
        Self { buckets }
    }

    /// Indexes of the buckets that differ.
    pub fn differing(&self, other: &Self) -> Vec<usize> {
        let pairs = self.buckets.iter().zip(&other.buckets).enumerate();
        let differing = pairs.filter(|(_, (left, right))| left != right);
        differing.map(|(bucket, _)| bucket).collect()
    }
}

/// Index of the bucket of a fact.
pub(super) fn bucket_of(id: FactId) -> usize {
    id.0 as usize % BUCKET_COUNT
}
