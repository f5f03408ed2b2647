use base::{RequestId, TargetName};

use crate::{CallSpec, CallTimeline};

/// Progress of a call through the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// It has not yet arrived at its node.
    Pending,
    /// It is queued at the policy of its node.
    Queued,
    /// It was dispatched to the engine with this index.
    Dispatched { engine: usize },
    /// It completed, was refused, failed, or was unfinished at the end of the trial.
    Ended,
}

/// State of one call in a trial.
#[derive(Clone, Debug)]
pub struct CallState {
    /// What the caller requests.
    pub spec: CallSpec,
    /// Id of the request; the letter `r` and the call's index.
    pub request: RequestId,
    /// Index of the node that receives the call, chosen at random.
    pub node: usize,
    /// How far the call has got.
    pub phase: CallPhase,
    /// Number of dispatches so far. Events carry the number of their dispatch, and those of an
    /// earlier one are ignored.
    pub attempt: u32,
    /// Targets that refused or lost the call and must not get it again.
    pub excluded: Vec<TargetName>,
    /// Times of the tokens at the caller.
    pub timeline: CallTimeline,
    /// Whether the call arrives in the measurement window, after the warm-up.
    pub measured: bool,
    /// Tokens that reached the caller within the measurement window.
    pub window_tokens: u32,
}

impl CallState {
    /// Creates a call that has not arrived.
    pub fn new(index: usize, spec: CallSpec, node: usize, measured: bool) -> Self {
        let timeline = CallTimeline::new(spec.arrival, spec.is_quick());
        Self {
            // A letter and digits are always a valid name.
            request: format!("r{index}").parse().expect("valid request id"),
            spec,
            node,
            phase: CallPhase::Pending,
            attempt: 0,
            excluded: Vec::new(),
            timeline,
            measured,
            window_tokens: 0,
        }
    }
}

/// Index of the call whose request id was created by `CallState::new`.
pub fn call_index(request: &RequestId) -> Option<usize> {
    request.as_str().strip_prefix('r')?.parse().ok()
}
