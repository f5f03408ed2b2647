use strum::{EnumIter, IntoStaticStr};

/// Class of waiting calls, in the order in which the classes are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum QueueLane {
    /// Calls with short outputs that can still be on time; they occupy room only briefly.
    Quick,
    /// Calls with long outputs that can still be on time.
    Long,
    /// Calls that can no longer be on time.
    Late,
}
