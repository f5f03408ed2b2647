use base::{RequestId, TargetName};

use crate::{CallSpec, CallTimeline};

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPlace {
    /// It has not arrived.
    Coming,
    /// It waits at the policy of its node.
    Waiting,
    /// It was dispatched to an engine.
    Placed { engine: usize },
    /// It ended.
    Ended,
}

/// One call in a trial.
#[derive(Clone, Debug)]
pub struct CallState {
    /// What the caller wants.
    pub spec: CallSpec,
    /// Name of the request.
    pub request: RequestId,
    /// Node that the load balancer chose.
    pub node: usize,
    /// Where it is.
    pub place: CallPlace,
    /// Counts the dispatches, so that news of an earlier one are ignored.
    pub attempt: u32,
    /// Targets that refused or lost it.
    pub excluded: Vec<TargetName>,
    /// What the caller sees.
    pub timeline: CallTimeline,
    /// Whether it arrived within the window.
    pub measured: bool,
    /// Tokens that the caller got within the window.
    pub window_tokens: u32,
}

impl CallState {
    /// Creates a call that has not arrived.
    pub fn new(at: usize, spec: CallSpec, node: usize, measured: bool) -> Self {
        let timeline = CallTimeline::new(spec.arrival, spec.is_quick());
        Self {
            // A letter and digits are always a valid name.
            request: format!("r{at}").parse().expect("valid request id"),
            spec,
            node,
            place: CallPlace::Coming,
            attempt: 0,
            excluded: Vec::new(),
            timeline,
            measured,
            window_tokens: 0,
        }
    }
}

/// Place of the call that a request id made by `CallState::new` names.
pub fn call_index(request: &RequestId) -> Option<usize> {
    request.as_str().strip_prefix('r')?.parse().ok()
}
