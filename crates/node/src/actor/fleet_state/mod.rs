//! The fleet actor: owns the membership, declaration revisions, target states and target orders of
//! a node.

mod fleet_actor;
mod fleet_handlers;
mod fleet_message;
mod fleet_parts;
mod fleet_status;
mod load_part;
mod membership_part;
mod node_identity;
mod order_part;
mod probe_result;
mod prober_table;
mod revision_part;
mod target_part;

pub use fleet_actor::FleetActor;
pub use fleet_message::{
    AnnounceImport, AnnounceLeave, AnswerPull, FindNode, FindOtherDomainNodes, FindSuccessor,
    ProbeTarget, ReadStatus, ReceiveFailures, ReceiveLoadUpdate, ReceiveMembership, ReceiveOrder,
    ReceiveRevision, SetInFlight, TickFleet,
};
pub use fleet_parts::FleetParts;
pub use fleet_status::FleetStatus;
pub use load_part::target_digest;
pub use node_identity::NodeIdentity;
pub use probe_result::ProbeResult;
