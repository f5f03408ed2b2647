use base::TimeSpan;
use serde::{Deserialize, Serialize};

/// A record that is replicated to all nodes and holds for a fixed time.
pub trait SharedFact: Clone + Ord + Serialize {
    /// Time for which the fact holds after a node first recorded it.
    fn lifetime(&self) -> TimeSpan;
}

/// A fact as one node sends it to another.
///
/// It carries the remaining time instead of the expiry time, since the clocks of nodes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentFact<F> {
    /// The fact.
    pub fact: F,
    /// Time for which it still holds.
    #[serde(rename = "left")]
    pub remaining: TimeSpan,
}
