use base::ClockTime;
use smol_str::SmolStr;

use super::PublishedItem;

/// An item of a list against which newer content is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptItem {
    listed: PublishedItem,
    until: Option<ClockTime>,
}

impl KeptItem {
    /// Creates the record of an item of the list that does not count before `until`; never if that is
    /// `None`.
    pub fn new(listed: PublishedItem, until: Option<ClockTime>) -> Self {
        Self { listed, until }
    }

    /// Key of the item.
    pub fn key(&self) -> &SmolStr {
        &self.listed.key
    }

    /// The item as the list has it.
    pub fn listed(&self) -> &PublishedItem {
        &self.listed
    }

    /// Whether the item of the list counts now, as nothing newer was written.
    pub fn is_over(&self, now: ClockTime) -> bool {
        self.until.is_some_and(|until| until <= now)
    }

    /// Returns the item as the list has it.
    pub fn into_item(self) -> PublishedItem {
        self.listed
    }
}
