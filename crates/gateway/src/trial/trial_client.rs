use std::sync::Arc;

use base::EventKind;
use entry::FeatureId;
use metrics::counter;

use super::{TrialReply, TrialRequest};
use crate::GatewayCore;
use crate::peer::PeerClient;

/// Times that a request for a trial may be passed on.
const HOP_LIMIT: u8 = 2;
/// Nodes that are asked for a trial until a node grants it itself, since no other one answers.
const REQUEST_LIMIT: u32 = 3;

/// Requests a trial of a part; a node that no other one answers grants it itself.
pub(super) async fn request_trial(core: &Arc<GatewayCore>, part: FeatureId) -> TrialReply {
    for _ in 0..REQUEST_LIMIT {
        if let Some(reply) = grant_trial(core, TrialRequest { part, hops: 0 }).await {
            let outcome = match reply {
                TrialReply::Granted => "granted",
                TrialReply::Wait(_) => "refused",
            };
            counter!("gateway_trials_total", "outcome" => outcome).increment(1);
            return reply;
        }
        counter!("gateway_trials_total", "outcome" => "unanswered").increment(1);
    }
    grant_here(core, part)
}

/// Grants a trial of a part if this node decides on it for the fleet, or else requests it from the
/// next node; `None` if that does not answer.
pub async fn grant_trial(core: &Arc<GatewayCore>, request: TrialRequest) -> Option<TrialReply> {
    let source = core.with_state(|state, now| state.trial_source(now, request.part));
    match source {
        None => Some(grant_here(core, request.part)),
        Some(_) if request.hops >= HOP_LIMIT => None,
        Some(source) => {
            let client = PeerClient::new(core.clone());
            let request = TrialRequest {
                hops: request.hops + 1,
                ..request
            };
            let reply = client.request_trial(source, &request).await;
            if reply.is_none() {
                core.with_state(|state, now| state.coordinator.mark_unreachable(now, source));
            }
            reply
        }
    }
}

fn grant_here(core: &GatewayCore, part: FeatureId) -> TrialReply {
    let granted = core.with_state(|state, now| {
        let failed_trials = state.facts.failed_trials(now, part);
        state.trials.grant(now, part, failed_trials)
    });
    match granted {
        Ok(()) => {
            log::info!(
                event = EventKind::TrialGranted.number(),
                node = core.node().as_str(),
                print = part.to_string().as_str();
                "one call with the suspected feature may run"
            );
            TrialReply::Granted
        }
        Err(wait) => TrialReply::Wait(wait),
    }
}
