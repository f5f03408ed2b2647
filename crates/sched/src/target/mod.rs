//! What a node knows about its targets: memory, health and cached prefixes.

mod candidate_pool;
mod prefix_table;
mod target_health;
mod target_state;
mod target_table;

pub use candidate_pool::CandidatePool;
pub use prefix_table::PrefixTable;
pub use target_health::TargetHealth;
pub use target_state::TargetState;
pub use target_table::TargetTable;
