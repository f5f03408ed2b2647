//! Shares of the weight store and leave to take capacity away, granted by the domain's loader.

mod held_slot;
mod loader_of;
mod slot_answer;
mod slot_ask;
mod slot_entry;
mod slot_holder;
mod slot_ledger;
mod slot_want;

pub use held_slot::HeldSlot;
pub use loader_of::loader_of;
pub use slot_answer::{SlotAnswer, SlotGrant};
pub use slot_ask::SlotAsk;
pub use slot_holder::SlotHolder;
pub use slot_ledger::SlotLedger;
pub use slot_want::SlotWant;
