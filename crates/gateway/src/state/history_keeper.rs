use std::cmp::Ordering;

use base::ClockTime;
use entry::{HistoryRules, KEEP_TIME, PublishedItem};

use crate::{ViewArea, ViewDecoder};

/// Rules by which the contents of items decide what of a copy is kept against the list of a later era.
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

    /// The configuration never returns to an earlier version.
    fn keep_until(&self) -> Option<ClockTime> {
        match self.area {
            ViewArea::Config => None,
            ViewArea::Targets => Some(self.now + KEEP_TIME),
        }
    }
}
