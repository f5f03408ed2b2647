//! Snapshots of generations, readable while they run and for a retention time afterwards.

mod generation_history;
mod generation_snapshot;

pub use generation_history::GenerationHistory;
pub use generation_snapshot::{GenerationEnd, GenerationSnapshot};
