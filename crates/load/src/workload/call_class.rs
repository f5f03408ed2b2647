use sched::CallKind;

use super::{ArrivalProcess, LengthDistribution};

/// A class of similar calls in a workload mix, such as quick lookups.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// Name in reports.
    pub name: &'static str,
    /// Share of all calls.
    pub share: f64,
    /// Kind of API call.
    pub kind: CallKind,
    /// Arrival process of the calls.
    pub arrivals: ArrivalProcess,
    /// Length of the prompt after the shared prefix.
    pub prompt: LengthDistribution,
    /// Length of the output.
    pub output: LengthDistribution,
    /// `max_tokens` that callers set, if any.
    pub max_tokens: Option<u32>,
    /// Whether output lengths are scaled by the workspace's length factor.
    pub scaled_by_workspace: bool,
}
