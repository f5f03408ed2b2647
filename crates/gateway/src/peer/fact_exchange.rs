use std::net::SocketAddr;
use std::sync::Arc;

use base::{ByteCount, EventKind};
use entry::TargetFact;
use facts::{FactDigest, FactRequest, FactResponse, FactSync, answer_fact_request};
use http::Method;
use serde::Serialize;

use super::PeerExchange;
use super::peer_exchange::{FACTS_PATH, encode_body};
use crate::GatewayCore;

/// Comparisons with one peer in a row, of 48 facts each: a node that joins gets a full set.
const TRADES: usize = 12;

impl PeerExchange {
    /// Completes the facts of this node and a peer whose facts have another hash.
    pub(super) async fn compare_facts(&self, address: SocketAddr, theirs: FactDigest) {
        for _ in 0..TRADES {
            let question = self.core().with_state(|state, now| {
                let set = &state.facts.set;
                let is_same = FactDigest::of(set, now) == theirs;
                (!is_same && state.fact_limiters.asking.has_credit(now))
                    .then(|| FactSync::compare(&state.facts.set, now))
            });
            let Some(question) = question else {
                break;
            };
            let Some(FactResponse::Differs(buckets)) = self.ask_facts(address, &question).await
            else {
                return;
            };
            let question = self
                .core()
                .with_state(|state, now| FactSync::exchange(&state.facts.set, now, &buckets));
            let Some(question) = question else {
                break;
            };
            let Some(FactResponse::Facts(told)) = self.ask_facts(address, &question).await else {
                return;
            };
            let news = self.core().with_state(|state, now| {
                let told = told.into_iter();
                let new = told.filter(|told| state.facts.set.merge(now, told.clone()));
                new.map(|told| told.fact).collect::<Vec<_>>()
            });
            note_news(self.core(), news);
        }
        self.core()
            .with_state(|state, _| state.has_peer_facts = true);
    }

    async fn ask_facts(
        &self,
        address: SocketAddr,
        question: &FactRequest<TargetFact>,
    ) -> Option<FactResponse<TargetFact>> {
        let body = encode_body(question)?;
        let answer = self.call(address, Method::POST, FACTS_PATH, body).await;
        self.core().with_state(|state, now| {
            let bytes = size_of(question) + answer.as_ref().map_or(0, size_of);
            state.fact_limiters.asking.charge(now, ByteCount(bytes));
        });
        answer
    }
}

/// Answers a peer; `None` if peers asked too much lately.
pub(super) fn take_question(
    core: &Arc<GatewayCore>,
    question: FactRequest<TargetFact>,
) -> Option<FactResponse<TargetFact>> {
    let asked = size_of(&question);
    let (answer, news) = core.with_state(|state, now| {
        if !state.fact_limiters.answering.has_credit(now) {
            return None;
        }
        let (answer, news) = answer_fact_request(&mut state.facts.set, now, question);
        let bytes = ByteCount(asked + size_of(&answer));
        state.fact_limiters.answering.charge(now, bytes);
        Some((answer, news))
    })?;
    note_news(core, news);
    Some(answer)
}

/// Lets facts take effect that a peer told.
fn note_news(core: &Arc<GatewayCore>, news: Vec<TargetFact>) {
    core.apply_facts(&news);
    for fact in news {
        log::debug!(
            event = EventKind::FactTold.number(),
            node = core.node().as_str();
            "{fact:?}"
        );
    }
}

fn size_of(message: &impl Serialize) -> u64 {
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
