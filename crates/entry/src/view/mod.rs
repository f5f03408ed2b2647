//! This node's copy of the items that the platform publishes.

mod answer_span;
mod evacuation_ledger;
mod evacuation_record;
mod history_rules;
mod item_mirror;
mod kept_item;
mod lease_guard;
mod removal_log;
mod revision_gap;
mod store_position;

pub use answer_span::{AnswerReport, AnswerSpan};
pub use evacuation_ledger::{EvacuationChange, EvacuationLedger};
pub use evacuation_record::EvacuationRecord;
pub use history_rules::{HistoryRules, KEEP_TIME};
pub use item_mirror::{ItemChange, ItemMirror, PublishedItem};
pub use kept_item::KeptItem;
pub use lease_guard::LeaseGuard;
pub use removal_log::RemovalLog;
pub use revision_gap::latest_gap;
pub use store_position::{StoreEra, StorePosition};
