//! Membership of a failure domain and summaries between domains, as decision logic without I/O.
//!
//! Sources: Das et al., "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002; Dadgar et al., "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", 2018.

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
pub use settings::{MechanismSet, MemberSettings};
pub use table::{
    DeclaredNode, MemberAction, MemberTable, NodeView, ObservationSource, PAYLOAD_LIMIT,
    PlatformEntry, PlatformState, TargetObservation, TargetView, ViewState,
};
