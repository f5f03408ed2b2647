use strum::{Display, EnumIter};

/// Class of waiting requests by predicted output length.
///
/// Each lane of a queue has its own order; quick requests are served before long ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum QueueLane {
    /// Requests with a short predicted output.
    Quick,
    /// All other requests.
    Long,
}
