use base::{IncarnationNumber, TargetName};
use http::HeaderMap;

use crate::{AnswerHead, CapacityReservation, GatewayCore};

/// A run of a target, to which what its answers say applies.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// The target.
    pub target: TargetName,
    /// Its run.
    pub incarnation: IncarnationNumber,
}

impl TargetRun {
    /// The run on which a call has room.
    pub fn of(hold: &CapacityReservation) -> Self {
        Self {
            target: hold.target.clone(),
            incarnation: hold.incarnation,
        }
    }

    /// Takes what the head of an answer says of the target.
    pub fn note_head(&self, core: &GatewayCore, head: &AnswerHead) {
        if head.is_leaving {
            core.mark_target_leaving(&self.target, self.incarnation, "answer");
        }
        if let Some(ask) = &head.quiet {
            core.start_target_backoff(&self.target, self.incarnation, ask);
        }
    }

    /// Takes what the trailers of an answer say of the target.
    pub fn note_trailers(&self, core: &GatewayCore, trailers: &HeaderMap) {
        if core.ports.calls.says_leaving(trailers) {
            core.mark_target_leaving(&self.target, self.incarnation, "trailer");
        }
    }
}
