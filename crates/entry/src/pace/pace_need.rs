use base::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// What a stream with a pause limit requires of the pace of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNeed {
    /// Longest pause between two events of a call that counts as on time.
    pub pause_limit: TimeSpan,
    /// Time until the first event that is promised to the caller.
    pub latency_target: TimeSpan,
    /// Events that the call is expected to have yet.
    pub events_left: u32,
    /// Latest time at which the call can be placed and still be on time, by the clock of the node
    /// that places it.
    #[serde(skip)]
    pub start_by: ClockTime,
}

impl PaceNeed {
    /// Whether the call can still be on time if it is placed now.
    pub fn can_be_on_time(&self, now: ClockTime) -> bool {
        now <= self.start_by
    }
}
