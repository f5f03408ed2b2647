use std::net::SocketAddr;
use std::sync::Arc;

use base::{ByteCount, EventKind};
use entry::TargetFact;
use facts::{FactDigest, FactRequest, FactResponse, FactSync, answer_fact_request};
use http::Method;
use serde::Serialize;

use super::fact_pusher::PUSH_PATH;
use super::peer_client::{FACTS_PATH, encode_body};
use super::{PeerClient, PushScope};
use crate::GatewayCore;

/// Largest number of comparisons with a peer in one synchronization. Each transfers up to 48 facts,
/// so a node that joins gets a full set of 512.
const COMPARISON_LIMIT: usize = 12;

impl PeerClient {
    /// Synchronizes the facts of this node with those of a peer until its digest equals `theirs`,
    /// the last known digest of the peer, or a limit is reached.
    pub(super) async fn sync_facts(&self, address: SocketAddr, theirs: FactDigest) {
        for _ in 0..COMPARISON_LIMIT {
            let comparison = self.core().with_state(|state, now| {
                let set = &state.facts.set;
                let is_same = FactDigest::of(set, now) == theirs;
                (!is_same && state.fact_limiters.requests.has_credit(now))
                    .then(|| FactSync::compare(&state.facts.set, now))
            });
            let Some(comparison) = comparison else {
                break;
            };
            let Some(FactResponse::Differs(buckets)) =
                self.request_facts(address, &comparison).await
            else {
                return;
            };
            let exchange = self
                .core()
                .with_state(|state, now| FactSync::exchange(&state.facts.set, now, &buckets));
            let Some(exchange) = exchange else {
                break;
            };
            let Some(FactResponse::Facts(received)) = self.request_facts(address, &exchange).await
            else {
                return;
            };
            let new = self.core().with_state(|state, now| {
                let received = received.into_iter();
                let new = received.filter(|entry| state.facts.set.merge(now, entry.clone()));
                new.map(|entry| entry.fact).collect::<Vec<_>>()
            });
            apply_facts(self.core(), new, false);
        }
        self.core()
            .with_state(|state, _| state.has_peer_facts = true);
    }

    /// Pushes facts to a peer. A failure is logged by the call; the peer then learns of the facts when
    /// it compares its set.
    pub(super) async fn push_facts(&self, address: SocketAddr, request: &FactRequest<TargetFact>) {
        let Some(body) = encode_body(request) else {
            return;
        };
        self.core().with_state(|state, now| {
            let bytes = ByteCount(size_of(request));
            state.fact_limiters.pushes.charge(now, bytes);
        });
        let _: Option<FactResponse<TargetFact>> =
            self.call(address, Method::POST, PUSH_PATH, body).await;
    }

    /// Sends a request to synchronize facts, and charges its bytes and those of the response to the
    /// rate limit.
    async fn request_facts(
        &self,
        address: SocketAddr,
        request: &FactRequest<TargetFact>,
    ) -> Option<FactResponse<TargetFact>> {
        let body = encode_body(request)?;
        let response = self.call(address, Method::POST, FACTS_PATH, body).await;
        self.core().with_state(|state, now| {
            let bytes = size_of(request) + response.as_ref().map_or(0, size_of);
            state.fact_limiters.requests.charge(now, ByteCount(bytes));
        });
        response
    }
}

/// Answers the request of a peer to synchronize facts; `None` if the rate limit for responses is
/// used up. Facts that the peer pushed and that are new to this node are pushed on.
pub(super) fn answer_request(
    core: &Arc<GatewayCore>,
    request: FactRequest<TargetFact>,
    is_pushed: bool,
) -> Option<FactResponse<TargetFact>> {
    let request_bytes = size_of(&request);
    let (response, new) = core.with_state(|state, now| {
        if !state.fact_limiters.responses.has_credit(now) {
            return None;
        }
        let (response, new) = answer_fact_request(&mut state.facts.set, now, request);
        let bytes = ByteCount(request_bytes + size_of(&response));
        state.fact_limiters.responses.charge(now, bytes);
        Some((response, new))
    })?;
    apply_facts(core, new, is_pushed);
    Some(response)
}

/// Applies facts that were new to this node, and logs them.
fn apply_facts(core: &Arc<GatewayCore>, new: Vec<TargetFact>, is_pushed: bool) {
    core.apply_facts(&new);
    let is_blame =
        |fact: &&TargetFact| matches!(fact, TargetFact::Crashed(_) | TargetFact::Completed(_));
    if new.iter().any(|fact| is_blame(&fact)) {
        if is_pushed {
            core.with_state(|state, _| {
                for fact in new.iter().filter(is_blame) {
                    state.outbox.push(PushScope::Domain, fact.clone());
                }
            });
        }
        core.recheck_blame();
    }
    for fact in new {
        log::debug!(
            event = EventKind::FactTold.number(),
            node = core.node().as_str();
            "{fact:?}"
        );
    }
}

/// Encoded size of a message in bytes.
fn size_of(message: &impl Serialize) -> u64 {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
