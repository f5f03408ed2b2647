//! Placement coordinators: the nodes that place generations on engines for all nodes of a failure
//! domain.

mod coordinator_rank;
mod grant_tracker;

pub use coordinator_rank::{CoordinatorCandidate, rank_coordinators};
pub use grant_tracker::{CapacityGrant, GrantId, GrantTracker};
