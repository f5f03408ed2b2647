use base::TimeSpan;
use serde::{Deserialize, Serialize};

/// Something that becomes known once and holds for a fixed time.
pub trait SharedFact: Clone + Ord + Serialize {
    /// Time for which the fact holds after it became known first.
    fn lifetime(&self) -> TimeSpan;
}

/// A fact as one node tells it to another.
///
/// Clocks of nodes differ, so the time that is left is told instead of a moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldFact<F> {
    /// The fact.
    pub fact: F,
    /// Time for which it still holds.
    pub left: TimeSpan,
}
