//! State that a node keeps for each target.

mod prefix_table;
mod target_health;
mod target_pool;
mod target_state;
mod target_table;

pub use prefix_table::PrefixTable;
pub use target_health::TargetHealth;
pub use target_pool::TargetPool;
pub use target_state::TargetState;
pub use target_table::TargetTable;
