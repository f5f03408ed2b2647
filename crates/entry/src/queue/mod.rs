//! Queue of calls that wait at this node for room on a target, and the rate at which they are
//! placed.

mod call_queue;
mod placement_pacer;

pub use call_queue::{CallQueue, QueueTicket, QueuedCall};
pub use placement_pacer::PlacementPacer;
