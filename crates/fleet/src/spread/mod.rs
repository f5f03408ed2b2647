//! Distribution of revisions between the platform and the nodes, free of I/O.

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
mod revision_view;
mod revision_view_peers;
mod revision_view_platform;
mod revision_view_start;
mod set_acceptance;
mod set_history;
mod start_check;

pub use fleet_peer::FleetPeer;
pub use platform_answer::{PlatformHead, PlatformHeadAnswer};
pub use revision_action::{ReadScope, RevisionAction, SetSource};
pub use revision_settings::{MechanismSwitches, RevisionSettings};
pub use revision_stamp::RevisionStamp;
pub use revision_status::{IncompleteRevision, RejectedRevision, RevisionBasis, RevisionStatus};
pub use revision_view::{AcceptedRevision, RevisionView};
pub use set_acceptance::{PureAcceptance, SetAcceptance};
