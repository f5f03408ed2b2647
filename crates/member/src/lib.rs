//! Membership of the nodes of a failure domain (failure detection and gossip) and summaries
//! exchanged between domains. Pure decision logic without I/O.
//!
//! Sources: Das et al., "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", 2002; Dadgar et al., "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", 2018.

mod gossip;
mod probe;
mod record;
mod settings;
mod table;
mod view;

pub use record::{
    TargetState, merge_domains, merge_nodes, merge_targets, node_outranks, target_state,
};
pub use schema::member::{MemberMessage, NodeState};
pub use settings::{MemberSettings, ProtocolFeatures};
pub use table::{
    DeclaredNode, MAX_PAYLOAD_BYTES, MemberAction, MemberTable, NodeSnapshot, ObservationSource,
    PlatformEntry, PlatformState, TargetObservation, TargetSnapshot, ViewState,
};
