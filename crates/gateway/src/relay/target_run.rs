use std::sync::Arc;

use base::{ClockTime, IncarnationNumber, TargetName};
use http::HeaderMap;

use crate::{CapacityReservation, GatewayCore, RateNotice, ResponseHeaders};

/// One run of a target. What a response says about its target applies to this run only, not to a
/// later one of the same name.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation number of the run.
    pub incarnation: IncarnationNumber,
}

impl TargetRun {
    /// Run on which `reservation` reserves capacity.
    pub fn of(reservation: &CapacityReservation) -> Self {
        Self {
            target: reservation.target.clone(),
            incarnation: reservation.incarnation,
        }
    }

    /// Applies what the headers of a response say about the target: that it leaves, that it asks for
    /// a back-off, or which rate of calls it accepts. The call was sent at `sent_at`.
    pub fn apply_headers(
        &self,
        core: &Arc<GatewayCore>,
        headers: &ResponseHeaders,
        sent_at: ClockTime,
    ) {
        if headers.is_leaving {
            core.mark_target_leaving(&self.target, self.incarnation, "answer");
        }
        if let Some(backoff) = &headers.backoff {
            core.start_target_backoff(&self.target, self.incarnation, backoff);
        }
        // A response that is not the target's own may lack a header that the target did send.
        let rate = headers.rate.as_ref();
        if let Some(rate) =
            rate.filter(|rate| headers.is_genuine || **rate != RateNotice::Unlimited)
        {
            core.record_target_rate(&self.target, self.incarnation, rate, sent_at);
        }
        let is_own = headers.is_genuine || headers.is_refused;
        if let Some(notice) = headers.refusals.as_ref().filter(|_| is_own) {
            core.record_refusal_limit(&self.target, self.incarnation, notice, sent_at);
        }
    }

    /// Applies what the trailers of a response say about the target: that it leaves.
    pub fn apply_trailers(&self, core: &Arc<GatewayCore>, trailers: &HeaderMap) {
        if core.ports.headers.announces_leaving(trailers) {
            core.mark_target_leaving(&self.target, self.incarnation, "trailer");
        }
    }
}
