//! Desks: the nodes that place generations for all nodes of a failure domain.

mod desk_rank;
mod grant_ledger;

pub use desk_rank::{DeskCandidate, rank_desks};
pub use grant_ledger::{GrantId, GrantLedger, RoomGrant};
