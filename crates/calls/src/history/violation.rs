use std::fmt;

use smol_str::SmolStr;
use strum::{Display, EnumIter};

/// The guarantee that a history violates, and in which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ViolationKind {
    /// P1: a caller received a token twice, out of order or after a gap.
    TokenOrder,
    /// P1: an answer has tokens of more than one generation.
    MixedGenerations,
    /// P1: a caller received a token that no target produced.
    UnknownToken,
    /// P2: the caller received the end of an answer that was not complete.
    PartialAnswer,
    /// P2: the answer belongs to another request.
    ForeignAnswer,
    /// P3: the caller received an error that says "not run", but the request ran.
    ToldNotRun,
    /// P4: a request that is not idempotent ran more than once.
    RanTwice,
    /// P5: a target got new work more than 3 s after it started to leave.
    WorkAfterLeaving,
    /// Retries added more than 10% to the offered load.
    RetryLoad,
}

/// One violation of a guarantee, with the records that show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which guarantee is violated, and how.
    pub kind: ViolationKind,
    /// The request or target, and what the records show.
    pub text: SmolStr,
}

impl Violation {
    /// Creates a violation.
    pub fn new(kind: ViolationKind, text: impl AsRef<str>) -> Self {
        Self {
            kind,
            text: SmolStr::new(text),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.text)
    }
}
