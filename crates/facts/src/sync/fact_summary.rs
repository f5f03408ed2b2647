use base::ClockTime;
use serde::{Deserialize, Serialize};

use crate::{FactId, FactSet, SharedFact};

/// Parts of a set that are compared by themselves.
pub(super) const BUCKETS: usize = 32;

/// Hash of all facts of a set; equal sets have equal roots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FactRoot(pub u64);

impl FactRoot {
    /// Root of a set.
    ///
    /// ```
    /// # use base::ClockTime;
    /// # use facts::{FactRoot, FactSet, SharedFact};
    /// # #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
    /// # struct Closed(u32);
    /// # impl SharedFact for Closed {
    /// #     fn lifetime(&self) -> base::TimeSpan { base::TimeSpan::from_secs(60) }
    /// # }
    /// let now = ClockTime::new(1_000);
    /// let mut set = FactSet::default();
    /// let empty = FactRoot::of(&set, now);
    /// set.learn(now, Closed(7));
    /// assert_ne!(FactRoot::of(&set, now), empty);
    /// ```
    pub fn of<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> Self {
        let ids = set.ids(now).map(|(id, _)| id.0);
        Self(ids.fold(0, |sum, id| sum ^ id))
    }
}

/// Hash of each part of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactSummary {
    buckets: Vec<u32>,
}

impl FactSummary {
    /// Summary of a set.
    pub fn of<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> Self {
        let mut buckets = vec![0; BUCKETS];
        for (id, _) in set.ids(now) {
            // The low half chooses the bucket, the high half is its hash.
            buckets[bucket_of(id)] ^= (id.0 >> 32) as u32;
        }
        Self { buckets }
    }

    /// Buckets in which two summaries differ.
    pub fn differing(&self, other: &Self) -> Vec<usize> {
        let pairs = self.buckets.iter().zip(&other.buckets).enumerate();
        let differing = pairs.filter(|(_, (left, right))| left != right);
        differing.map(|(bucket, _)| bucket).collect()
    }
}

pub(super) fn bucket_of(id: FactId) -> usize {
    id.0 as usize % BUCKETS
}
