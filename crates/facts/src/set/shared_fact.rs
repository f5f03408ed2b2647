use base::TimeSpan;
use serde::{Deserialize, Serialize};

/// A record that is replicated to all nodes and holds for a fixed time.
pub trait SharedFact: Clone + Ord + Serialize {
    /// Time for which the fact holds after a node first recorded it.
    fn lifetime(&self) -> TimeSpan;

    /// How much the fact tells, if `neighbors` are the facts before and after it in order; a full set
    /// drops those that tell least, and they are sent to peers last.
    fn value(&self, _neighbors: [Option<&Self>; 2]) -> FactValue {
        FactValue::High
    }
}

/// How much a fact tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactValue {
    /// It decides nothing by itself.
    Low,
    /// It only limits what other facts mean.
    Medium,
    /// It decides.
    High,
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
