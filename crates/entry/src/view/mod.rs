//! This node's copy of the items that the platform publishes.

mod answer_span;
mod evacuation_ledger;
mod evacuation_record;
mod item_mirror;
mod lease_guard;
mod revision_gap;

pub use answer_span::{AnswerReport, AnswerSpan};
pub use evacuation_ledger::{EvacuationChange, EvacuationLedger};
pub use evacuation_record::EvacuationRecord;
pub use item_mirror::{ItemChange, ItemMirror, PublishedItem};
pub use lease_guard::LeaseGuard;
pub use revision_gap::latest_gap;
