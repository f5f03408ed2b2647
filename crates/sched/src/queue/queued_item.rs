use base::ClockTime;

use super::QueueLane;
use crate::{GrowthCurve, LengthCurve, WorkItem};

/// A waiting request with its prediction.
#[derive(Clone, Debug)]
pub struct QueuedItem {
    /// The request.
    pub item: WorkItem,
    /// Distribution of its output length.
    pub curve: LengthCurve,
    /// Expected memory from its start on.
    pub growth: GrowthCurve,
    /// Longest possible output.
    pub cap: u32,
    /// Expected work in tokens.
    pub cost: u64,
    /// Lane in which it waits.
    pub lane: QueueLane,
    /// When it is refused if it still waits.
    pub expiry: ClockTime,
    /// Order within its workspace and lane: arrival plus a delay for each expected token.
    ///
    /// The delay is fixed at arrival, so that a long request overtakes every request that arrives
    /// late enough and finishes at last.
    pub rank: u64,
}
