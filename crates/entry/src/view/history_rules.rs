use std::cmp::Ordering;

use base::{ClockTime, TimeSpan};

use super::PublishedItem;

/// Time for which newer content that is known holds against the copy from which the store came back.
///
/// Operators and targets write again what was lost, and the lease of a target that is gone expires.
pub const KEEP_TIME: TimeSpan = TimeSpan::from_secs(10);

/// How the items of a list of a new era relate to what a copy knew before.
pub trait HistoryRules {
    /// Compares the content of an item of the list with what the copy knew under its key; `None` if
    /// nothing tells which one is newer.
    fn compare(&self, listed: &PublishedItem, known: &PublishedItem) -> Option<Ordering>;

    /// Whether an item that the list lacks stays until it is written again.
    fn keeps_absent(&self, known: &PublishedItem) -> bool;

    /// Until when what is newer than its item of the list stays, if that is not written again; `None`
    /// for good.
    fn keep_until(&self) -> Option<ClockTime>;
}
