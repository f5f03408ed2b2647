//! Distribution of revisions from the platform to the nodes and between nodes, without I/O.
//!
//! A few nodes of each domain, the readers, watch the platform. A node that accepts a new revision
//! sends its digest to some peers, and a node that is behind pulls the keys that it lacks.

mod call_budget;
mod fleet_peer;
mod parts;
mod peer_table;
mod pending_set;
mod platform_answer;
mod platform_watch;
mod pull_table;
mod retry_backoff;
mod revision_action;
mod revision_settings;
mod revision_stamp;
mod revision_status;
mod revision_sync;
mod revision_sync_peers;
mod revision_sync_platform;
mod revision_sync_start;
mod set_history;
mod set_validator;
mod start_check;

pub use fleet_peer::FleetPeer;
pub use platform_answer::{PlatformHead, PlatformHeadAnswer};
pub use revision_action::{ReadScope, RevisionAction, SetSource};
pub use revision_settings::{MechanismSwitches, RevisionSettings};
pub use revision_stamp::RevisionStamp;
pub use revision_status::{IncompleteRevision, RejectedRevision, RevisionBasis, RevisionStatus};
pub use revision_sync::{AcceptedRevision, RevisionSync};
pub use set_validator::{SetValidator, StatelessValidator};
