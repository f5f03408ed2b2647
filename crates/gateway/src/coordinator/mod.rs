//! Placement of generations for all nodes of a failure domain by one of them, its coordinator.
//!
//! A coordinator only makes placement more efficient: a node whose coordinator does not answer
//! places calls by what it knows itself.

mod coordinator_client;
mod coordinator_message;
mod coordinator_server;

pub use coordinator_client::{CapacityRequest, reserve_capacity, reserve_for_move};
pub use coordinator_message::{CoordinatorReply, CoordinatorRequest};
pub use coordinator_server::handle_request;
