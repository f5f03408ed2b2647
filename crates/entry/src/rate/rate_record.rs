use base::CallRate;
use serde::{Deserialize, Serialize};

/// The rate of calls that a run of a target accepts, as a node read it from an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateRecord {
    /// Number of the record among those of the run; of two records, the one with the higher number
    /// is newer.
    pub sequence: u32,
    /// The rate; `None` if the target no longer names one.
    pub rate: Option<CallRate>,
}

impl RateRecord {
    /// Whether the record replaces `known`. Of two that nodes made at the same time, the lower rate
    /// holds.
    ///
    /// ```
    /// use base::CallRate;
    /// use entry::RateRecord;
    /// let record = |sequence, rate: Option<u64>| RateRecord { sequence, rate: rate.map(CallRate) };
    /// assert!(record(2, None).replaces(&record(1, Some(2_000))));
    /// assert!(record(2, Some(1_000)).replaces(&record(2, None)));
    /// assert!(!record(2, Some(3_000)).replaces(&record(2, Some(1_000))));
    /// ```
    pub fn replaces(&self, known: &Self) -> bool {
        let limit = |record: &Self| record.rate.unwrap_or(CallRate(u64::MAX));
        self.sequence > known.sequence
            || (self.sequence == known.sequence && limit(self) < limit(known))
    }
}
