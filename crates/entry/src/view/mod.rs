//! This node's copy of the items that the platform publishes.

mod answer_span;
mod evacuation_ledger;
mod evacuation_record;
mod item_mirror;
mod kept_item;
mod lease_guard;
mod revision_gap;
mod store_position;

pub use answer_span::{AnswerReport, AnswerSpan};
pub use evacuation_ledger::{EvacuationChange, EvacuationLedger};
pub use evacuation_record::EvacuationRecord;
pub use item_mirror::{HistoryRules, ItemChange, ItemMirror, PublishedItem};
pub use kept_item::KeptItem;
pub use lease_guard::LeaseGuard;
pub use revision_gap::latest_gap;
pub use store_position::{StoreEra, StorePosition};
