//! Membership, revisions, targets and orders, owned by one actor.

mod fleet_actor;
mod fleet_handlers;
mod fleet_message;
mod fleet_parts;
mod fleet_status;
mod member_part;
mod node_identity;
mod note_part;
mod order_part;
mod probe_result;
mod prober_table;
mod revision_part;
mod target_part;

pub use fleet_actor::FleetActor;
pub use fleet_message::{
    AnswerPull, FindFarNodes, FindNode, FindSuccessor, LeaveFleet, ProbeTarget, ReadFleet,
    ShareFlight, TakeFailures, TakeMember, TakeNote, TakeOrder, TakeRevision, TellImport,
    TickFleet,
};
pub use fleet_parts::FleetParts;
pub use fleet_status::FleetStatus;
pub use node_identity::NodeIdentity;
pub use note_part::target_digest;
pub use probe_result::ProbeResult;
