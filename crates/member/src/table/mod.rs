//! The membership table, its inputs and its actions.

mod anti_entropy;
mod bridge;
mod declared_node;
mod election;
mod gossip_exchange;
mod member_action;
mod member_table;
mod message_input;
mod node_change;
mod node_list;
mod node_snapshot;
mod platform_entry;
mod probe_cycle;
mod target_change;
mod target_observation;
mod view_state;

pub use declared_node::DeclaredNode;
pub use gossip_exchange::MAX_PAYLOAD_BYTES;
pub use member_action::MemberAction;
pub use member_table::MemberTable;
pub use node_snapshot::{NodeSnapshot, TargetSnapshot};
pub use platform_entry::{PlatformEntry, PlatformState};
pub use target_observation::{ObservationSource, TargetObservation};
pub use view_state::ViewState;
