use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, IncarnationNumber, TargetName, TimeSpan};
use entry::{PermitOutcome, RateGrant, SendPermit};
use metrics::counter;
use tokio::time::sleep;

use super::{PermitReply, PermitRequest, PermitStep};
use crate::peer::PeerClient;
use crate::{GatewayCore, SendRefusal};

/// Times that a request for permits may be passed on.
const HOP_LIMIT: u8 = 2;
/// Time for which nothing is sent to a target after a request for permits got no answer.
const UNANSWERED_WAIT: TimeSpan = TimeSpan::new(300);
/// Times that permits are requested for one send; other sends may take those that were granted.
const REQUEST_LIMIT: u32 = 3;

/// Takes a permit to send one request to a run of a target, if the target names a rate.
///
/// # Errors
/// If the rate is used up now, or no node grants permits.
pub async fn acquire_permit(
    core: &Arc<GatewayCore>,
    target: &TargetName,
    incarnation: IncarnationNumber,
) -> Result<SendPermit, SendRefusal> {
    for _ in 0..REQUEST_LIMIT {
        let taken = core.with_state(|state, now| {
            let rate = state.balancer.rate_mut(target, incarnation)?;
            let cold_rate = rate.cold_limit(now);
            Some((rate.take_permit(now), rate.record(), cold_rate))
        });
        let (wanted, record, cold_rate) = match taken {
            // The check before the send finds that the run is gone.
            None => return Ok(SendPermit::default()),
            Some((PermitOutcome::Taken(permit), ..)) => return Ok(permit),
            Some((PermitOutcome::Wait(retry_after), ..)) => {
                return Err(SendRefusal::RateUsed { retry_after });
            }
            Some((PermitOutcome::Request(wanted), record, cold_rate)) => {
                (wanted, record, cold_rate)
            }
        };
        let mut open = OpenRequest::new(core, target, incarnation);
        let request = PermitRequest {
            node: core.node().clone(),
            target: target.clone(),
            incarnation,
            record: record.unwrap_or_default(),
            wanted,
            hops: 0,
            cold_rate,
        };
        let reply = request_permits(core, request).await;
        let outcome = match &reply {
            Some(reply) if matches!(reply.grant, RateGrant::Permits(_)) => "granted",
            Some(_) => "refused",
            None => "unanswered",
        };
        counter!("gateway_rate_permits_total", "outcome" => outcome).increment(1);
        open.grant = reply.map_or(
            RateGrant::Wait {
                wait: UNANSWERED_WAIT,
                waiting_nodes: 1,
            },
            |reply| reply.grant,
        );
    }
    Err(SendRefusal::RateUsed {
        retry_after: UNANSWERED_WAIT,
    })
}

/// Like [`acquire_permit`], but waits up to `max_wait` for a permit.
///
/// # Errors
/// If there is no permit in time.
pub async fn await_permit(
    core: &Arc<GatewayCore>,
    target: &TargetName,
    incarnation: IncarnationNumber,
    max_wait: TimeSpan,
) -> Result<SendPermit, SendRefusal> {
    let end = core.now() + max_wait;
    loop {
        match acquire_permit(core, target, incarnation).await {
            Err(SendRefusal::RateUsed { retry_after }) if core.now() + retry_after < end => {
                sleep(Duration::from(retry_after)).await;
            }
            result => return result,
        }
    }
}

/// Grants permits if this node shares the rate of the target among all nodes, or else requests them
/// from the next node; `None` if that does not answer.
pub async fn request_permits(
    core: &Arc<GatewayCore>,
    request: PermitRequest,
) -> Option<PermitReply> {
    core.adopt_target_rate(
        &request.target,
        request.incarnation,
        request.record,
        "permit request",
    );
    let (step, is_new) = core.with_state(|state, now| {
        let known = state
            .rate_ledger
            .contains(&request.target, request.incarnation);
        let step = state.answer_permit_request(now, &request);
        let is_new = !known
            && state
                .rate_ledger
                .contains(&request.target, request.incarnation);
        (step, is_new)
    });
    if is_new {
        log::info!(
            event = EventKind::RateShared.number(),
            node = core.node().as_str(),
            target = request.target.as_str(),
            requester = request.node.as_str();
            "this node shares the rate of the target among all nodes"
        );
    }
    match step {
        PermitStep::Answer(reply) => Some(reply),
        PermitStep::PassOn(_) if request.hops >= HOP_LIMIT => None,
        PermitStep::PassOn(source) => {
            let (target, incarnation) = (request.target.clone(), request.incarnation);
            let request = PermitRequest {
                hops: request.hops + 1,
                ..request
            };
            let client = PeerClient::new(core.clone());
            let reply = client.request_permits(source, &request).await?;
            core.adopt_target_rate(&target, incarnation, reply.record, "permit reply");
            Some(reply)
        }
    }
}

/// Request for permits that counts as open until dropped, also if the call is cancelled.
struct OpenRequest<'a> {
    core: &'a GatewayCore,
    target: &'a TargetName,
    incarnation: IncarnationNumber,
    grant: RateGrant,
}

impl<'a> OpenRequest<'a> {
    fn new(core: &'a GatewayCore, target: &'a TargetName, incarnation: IncarnationNumber) -> Self {
        Self {
            core,
            target,
            incarnation,
            grant: RateGrant::Permits(0),
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.core.with_state(|state, now| {
            if let Some(rate) = state.balancer.rate_mut(self.target, self.incarnation) {
                rate.end_request(now, self.grant);
            }
        });
    }
}
