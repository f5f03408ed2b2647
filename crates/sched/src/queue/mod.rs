//! Queues of the requests that wait at the node.

mod drain_rate;
mod fair_share;
mod queue_lane;
mod queued_item;
mod work_queue;

pub use drain_rate::DrainRate;
pub use fair_share::FairShare;
pub use queue_lane::QueueLane;
pub use queued_item::QueuedItem;
pub use work_queue::{QueuePosition, WorkQueue};
