use std::cmp::Ordering;

use base::DomainName;
use entry::{PublishedItem, ServeConfig, TargetRecord};
use snafu::Snafu;

/// A published item is malformed.
#[derive(Debug, Snafu)]
#[snafu(display("item {key}: {reason}"), visibility(pub))]
pub struct DecodeError {
    /// Key of the item.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Decodes published items into the configuration and the targets.
pub trait ViewDecoder: Send + Sync {
    /// Decodes the configuration from the items of its area; `None` if none is published yet.
    ///
    /// # Errors
    /// If the configuration can't be used.
    fn read_config(&self, items: &[PublishedItem]) -> Result<Option<ServeConfig>, DecodeError>;

    /// Failure domain whose evacuation an item of the configuration area asks for; `None` if it asks
    /// for none.
    ///
    /// # Errors
    /// If the item names no valid failure domain.
    fn read_evacuation(&self, item: &PublishedItem) -> Result<Option<DomainName>, DecodeError>;

    /// Compares the contents of two items of one key by what their writer says of their age; `None` if
    /// nothing tells which one is newer.
    fn compare_age(&self, _left: &PublishedItem, _right: &PublishedItem) -> Option<Ordering> {
        None
    }

    /// Decodes the entry of one target.
    ///
    /// # Errors
    /// If the entry does not describe a usable target.
    fn read_target(&self, item: &PublishedItem) -> Result<TargetRecord, DecodeError>;
}
