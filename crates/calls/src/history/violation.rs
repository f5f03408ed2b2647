use std::fmt;

use smol_str::SmolStr;
use strum::{Display, EnumIter};

/// What a history shows to be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ViolationKind {
    /// P1: a token came twice, out of order or after a missing one.
    TokenOrder,
    /// P1: an answer has tokens of more than one generation.
    MixedGenerations,
    /// P1: a token that no target produced.
    UnknownToken,
    /// P2: the end came before the answer was complete.
    PartialAnswer,
    /// P2: the answer belongs to another request.
    ForeignAnswer,
    /// P3: the caller was told "not run", and the request ran.
    ToldNotRun,
    /// P4: a request that is not idempotent ran more than once.
    RanTwice,
    /// P5: a target got new work more than 3 s after it started to leave.
    WorkAfterLeaving,
    /// Retries added more than 10% to the offered load.
    RetryLoad,
}

/// One broken guarantee, with what broke it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What is broken.
    pub kind: ViolationKind,
    /// The request or target, and what was seen.
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
