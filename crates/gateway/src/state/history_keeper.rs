use std::cmp::Ordering;

use base::{ClockTime, TimeSpan};
use entry::{HistoryRules, PublishedItem};

use crate::{ViewArea, ViewDecoder};

/// Time for which newer content that was known holds against the copy from which the store came back.
/// Operators and targets write again what was lost, and the lease of a target that is gone expires.
const KEEP_TIME: TimeSpan = TimeSpan::from_secs(10);
/// The same for the configuration, which never returns to an earlier version.
const CONFIG_KEEP_TIME: TimeSpan = TimeSpan::from_secs(365 * 24 * 3_600);

/// Decides by the contents of items what of a copy holds against the list of a later era.
pub struct HistoryKeeper<'a> {
    now: ClockTime,
    area: ViewArea,
    codec: &'a dyn ViewDecoder,
}

impl<'a> HistoryKeeper<'a> {
    /// Creates the rules for a list of an area that was read at `now`.
    pub fn new(now: ClockTime, area: ViewArea, codec: &'a dyn ViewDecoder) -> Self {
        Self { now, area, codec }
    }
}

impl HistoryRules for HistoryKeeper<'_> {
    fn compare(&self, listed: &PublishedItem, known: &PublishedItem) -> Option<Ordering> {
        self.codec.compare_age(listed, known)
    }

    /// Targets that the list lacks are left to the guard of removals, evacuations to their ledger.
    fn keeps_absent(&self, known: &PublishedItem) -> bool {
        let is_config = self.area == ViewArea::Config;
        is_config && matches!(self.codec.read_evacuation(known), Ok(None))
    }

    fn keep_until(&self) -> ClockTime {
        let span = match self.area {
            ViewArea::Config => CONFIG_KEEP_TIME,
            ViewArea::Targets => KEEP_TIME,
        };
        self.now + span
    }
}
