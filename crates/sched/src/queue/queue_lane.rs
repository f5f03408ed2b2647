use strum::{Display, EnumIter};

/// Part of a queue whose requests compete with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum QueueLane {
    /// Requests with a short predicted output.
    Quick,
    /// All other requests.
    Long,
}
