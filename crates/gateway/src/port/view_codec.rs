use entry::{PublishedItem, ServeConfig, TargetRecord};
use snafu::Snafu;

/// A published item has another form than expected.
#[derive(Debug, Snafu)]
#[snafu(display("item {key}: {reason}"), visibility(pub))]
pub struct DecodeFailure {
    /// Key of the item.
    pub key: String,
    /// What was found.
    pub reason: String,
}

/// Translates published items.
pub trait ViewCodec: Send + Sync {
    /// Picks the configuration among the items of its area; `None` if there is none yet.
    ///
    /// # Errors
    /// If the configuration can't be used.
    fn read_config(&self, items: &[PublishedItem]) -> Result<Option<ServeConfig>, DecodeFailure>;

    /// Reads one entry of a target.
    ///
    /// # Errors
    /// If the entry names no target that can be used.
    fn read_target(&self, item: &PublishedItem) -> Result<TargetRecord, DecodeFailure>;
}
