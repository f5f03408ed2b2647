//! Merging and digests of records. A merge is the join of a lattice, so records may arrive in any
//! order and more than once.

mod domain_merge;
mod node_merge;
mod record_digest;
mod target_merge;

pub use domain_merge::merge_domains;
pub use node_merge::{merge_nodes, node_outranks};
pub(crate) use record_digest::{
    PART_COUNT, digest_lost_domain, digest_node, digest_target, part_of,
};
pub use target_merge::{TargetState, merge_targets, target_state};
