//! Queue of calls that wait at this node for room on a target: their order, the shares of the
//! workspaces, how long they are expected to wait, and the rate at which they are placed.

mod call_queue;
mod event_rate;
mod placement_pacer;
mod placement_rate;
mod queue_lane;
mod wait_estimator;
mod workspace_shares;

pub use call_queue::{CallQueue, QueueStatus, QueueTicket, QueuedCall, WaitRefusal};
pub use event_rate::EventRate;
pub use placement_pacer::PlacementPacer;
pub use placement_rate::PlacementRate;
pub use queue_lane::QueueLane;
pub use wait_estimator::{CallsAhead, WaitEstimate, WaitEstimator};
pub use workspace_shares::{ShareSlot, WorkspaceShares};
