use base::{DomainName, TimeSpan};
use serde::{Deserialize, Serialize};

use super::{StoreEra, StorePosition};

/// Whether a failure domain is evacuated, as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: DomainName,
    /// Revision of the store as of which the record is true.
    pub revision: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub era: StoreEra,
    /// Whether nothing more is to be sent to the targets of the domain.
    pub is_evacuated: bool,
    /// Time since the sender of the record learnt of the evacuation; zero if there is none.
    pub age: TimeSpan,
}

impl EvacuationRecord {
    /// Position of the store as of which the record is true.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }
}
