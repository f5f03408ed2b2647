//! A routing policy that dispatches requests by the predicted peak memory use of targets.

mod coordination_mode;
mod load_exchange;
mod peak_policy;
mod peer_table;
mod policy_settings;
mod pool_table;
mod priority_levels;
mod queue_admission;
mod queue_dispatch;
mod stream_state;
mod target_scorer;
mod target_selector;

pub use coordination_mode::CoordinationMode;
pub use peak_policy::{PeakPolicy, WorkspaceLoad};
pub use peer_table::PeerTable;
pub use policy_settings::PolicySettings;
pub use pool_table::PoolTable;
pub use priority_levels::PriorityLevels;
pub use stream_state::StreamState;
pub use target_scorer::{LimitClass, TargetScorer};
pub use target_selector::TargetSelector;
