//! The records that a node holds about nodes, targets and domains.

mod domain_view;
mod fleet_view;
mod node_entry;
mod target_entry;

pub(crate) use domain_view::DomainView;
pub(crate) use fleet_view::FleetView;
pub(crate) use node_entry::{LinkState, NodeEntry};
pub(crate) use target_entry::{SyncScope, TargetEntry};
