use std::net::SocketAddr;
use std::sync::Arc;

use base::{ByteCount, EventKind};
use entry::NodeFact;
use facts::{FactAnswer, FactQuestion, FactRoot, FactTrade, answer_facts};
use http::Method;
use serde::Serialize;

use super::PeerExchange;
use super::peer_exchange::{FACTS_PATH, encode_body};
use crate::GatewayCore;

/// Comparisons with one peer in a row, of 48 facts each: a node that joins gets a full set.
const TRADES: usize = 12;

impl PeerExchange {
    /// Completes the facts of this node and a peer whose facts have another hash.
    pub(super) async fn compare_facts(&self, address: SocketAddr, theirs: FactRoot) {
        for _ in 0..TRADES {
            let question = self.core().with_state(|state, now| {
                let set = &state.facts.set;
                let is_same = FactRoot::of(set, now) == theirs;
                (!is_same && state.fact_paces.asking.is_free(now))
                    .then(|| FactTrade::compare(&state.facts.set, now))
            });
            let Some(question) = question else {
                break;
            };
            let Some(FactAnswer::Differs(buckets)) = self.ask_facts(address, &question).await
            else {
                return;
            };
            let question = self
                .core()
                .with_state(|state, now| FactTrade::trade(&state.facts.set, now, &buckets));
            let Some(question) = question else {
                break;
            };
            let Some(FactAnswer::Told(told)) = self.ask_facts(address, &question).await else {
                return;
            };
            let news = self.core().with_state(|state, now| {
                let told = told.into_iter();
                let new = told.filter(|told| state.facts.set.take(now, told.clone()));
                new.map(|told| told.fact).collect::<Vec<_>>()
            });
            note_news(self.core(), news);
        }
        self.core().with_state(|state, _| state.has_facts = true);
    }

    async fn ask_facts(
        &self,
        address: SocketAddr,
        question: &FactQuestion<NodeFact>,
    ) -> Option<FactAnswer<NodeFact>> {
        let body = encode_body(question)?;
        let answer = self.call(address, Method::POST, FACTS_PATH, body).await;
        self.core().with_state(|state, now| {
            let bytes = size_of(question) + answer.as_ref().map_or(0, size_of);
            state.fact_paces.asking.charge(now, ByteCount(bytes));
        });
        answer
    }
}

/// Answers a peer; `None` if peers asked too much lately.
pub(super) fn take_question(
    core: &Arc<GatewayCore>,
    question: FactQuestion<NodeFact>,
) -> Option<FactAnswer<NodeFact>> {
    let asked = size_of(&question);
    let (answer, news) = core.with_state(|state, now| {
        if !state.fact_paces.answering.is_free(now) {
            return None;
        }
        let (answer, news) = answer_facts(&mut state.facts.set, now, question);
        let bytes = ByteCount(asked + size_of(&answer));
        state.fact_paces.answering.charge(now, bytes);
        Some((answer, news))
    })?;
    note_news(core, news);
    Some(answer)
}

/// Lets facts take effect that a peer told.
fn note_news(core: &Arc<GatewayCore>, news: Vec<NodeFact>) {
    core.take_facts(&news);
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
