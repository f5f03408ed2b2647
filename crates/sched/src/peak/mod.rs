//! The policy that admits requests by predicted peak of memory.

mod coordination_mode;
mod peak_policy;
mod peer_part;
mod peer_table;
mod policy_settings;
mod pool_table;
mod priority_ladder;
mod queue_part;
mod serve_part;
mod stream_state;
mod target_choice;
mod target_rating;

pub use coordination_mode::CoordinationMode;
pub use peak_policy::{PeakPolicy, WorkspaceLoad};
pub use peer_table::PeerTable;
pub use policy_settings::PolicySettings;
pub use pool_table::PoolTable;
pub use priority_ladder::PriorityLadder;
pub use stream_state::StreamState;
pub use target_choice::TargetChoice;
pub use target_rating::{LimitClass, TargetRating};
