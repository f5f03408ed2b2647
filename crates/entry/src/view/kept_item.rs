use base::ClockTime;
use smol_str::SmolStr;

use super::PublishedItem;

/// An item of a list that is held back for a while, since what was known before is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptItem {
    listed: PublishedItem,
    until: ClockTime,
}

impl KeptItem {
    /// Creates the record of an item of the list that is held back until `until`.
    pub fn new(listed: PublishedItem, until: ClockTime) -> Self {
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

    /// Time from which the item counts, unless it is written or removed before.
    pub fn until(&self) -> ClockTime {
        self.until
    }

    /// Returns the item as the list has it.
    pub fn into_item(self) -> PublishedItem {
        self.listed
    }
}
