use sched::CallKind;

use super::{ArrivalLaw, LengthLaw};

/// One kind of call in a mix.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// Name in reports.
    pub name: &'static str,
    /// Share of all calls.
    pub share: f64,
    /// Path that the call takes.
    pub kind: CallKind,
    /// How calls arrive.
    pub arrivals: ArrivalLaw,
    /// Length of the prompt after the shared prefix.
    pub prompt: LengthLaw,
    /// Length of the output.
    pub output: LengthLaw,
    /// Bound of the output that callers give.
    pub max_tokens: Option<u32>,
    /// Whether the usual length depends on the workspace.
    pub scaled: bool,
}
