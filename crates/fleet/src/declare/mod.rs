//! The validated declaration as plain data.

mod declared_domain;
mod declared_model;
mod declared_node;
mod declared_rollout;
mod declared_route;
mod declared_service;
mod declared_target;
mod declared_workspace;
mod fleet_declaration;

pub use declared_domain::DeclaredDomain;
pub use declared_model::DeclaredModel;
pub use declared_node::DeclaredNode;
pub use declared_rollout::DeclaredRollout;
pub use declared_route::{DeclaredRoute, STATE_LABEL_KEYS};
pub use declared_service::DeclaredService;
pub use declared_target::DeclaredTarget;
pub use declared_workspace::DeclaredWorkspace;
pub use fleet_declaration::FleetDeclaration;
pub use schema::declaration::{EngineRole, TargetKind};
