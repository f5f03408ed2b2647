use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::TargetFact;
use facts::{FactRequest, SentFact, SharedFact};
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::PeerClient;
use crate::GatewayCore;

/// Time for which facts are collected before they are pushed together.
const COLLECT_TIME: Duration = Duration::from_millis(5);
/// Largest number of facts in one push, which is what a peer accepts in one message.
const PUSH_FACTS: usize = 48;
/// Peers of the own failure domain to which a node pushes facts; each pushes on what is new to it.
const PUSH_FANOUT: usize = 6;
/// Largest number of facts that wait to be pushed; peers learn of others by comparing sets.
const OUTBOX_LIMIT: usize = 192;

/// Path of facts that the receiver pushes on in its failure domain if they are new to it.
pub(super) const PUSH_PATH: &str = "/peer/facts?push";
/// Query of that path.
pub(super) const PUSH_QUERY: &str = "push";

/// Whether facts that wait to be pushed go to all failure domains or only to the own one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushScope {
    /// To the own failure domain and, through their coordinators, to all others.
    Fleet,
    /// To the own failure domain.
    Domain,
}

/// Facts that wait to be pushed to peers.
#[derive(Debug, Default)]
pub struct FactOutbox {
    facts: Vec<(PushScope, TargetFact)>,
}

impl FactOutbox {
    /// Adds a fact; a full outbox drops it.
    pub fn push(&mut self, scope: PushScope, fact: TargetFact) {
        if self.facts.len() < OUTBOX_LIMIT {
            self.facts.push((scope, fact));
        }
    }

    fn take(&mut self) -> Vec<(PushScope, TargetFact)> {
        std::mem::take(&mut self.facts)
    }
}

/// Pushes facts about crashes to peers at once, since comparing sets takes seconds to reach all and
/// each crash by then costs a target.
pub struct FactPusher {
    client: PeerClient,
    core: Arc<GatewayCore>,
}

impl FactPusher {
    /// Creates the pusher of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self {
            client: PeerClient::new(core.clone()),
            core,
        }
    }

    /// Pushes facts until the process ends.
    pub async fn run(self) {
        let mut changes = self.core.watch_blame();
        while changes.changed().await.is_ok() {
            sleep(COLLECT_TIME).await;
            changes.mark_unchanged();
            self.push_all();
        }
    }

    /// Pushes the facts in the outbox, as far as the limit of bytes allows.
    fn push_all(&self) {
        let waiting = self.core.with_state(|state, _| state.outbox.take());
        if waiting.is_empty() {
            return;
        }
        let local = self.client.local_peers();
        let local: Vec<_> = local
            .choose_multiple(&mut rand::rng(), PUSH_FANOUT)
            .copied()
            .collect();
        let facts: Vec<_> = waiting.iter().map(|(_, fact)| fact.clone()).collect();
        self.push_to(&local, &facts);
        let fleet = waiting
            .into_iter()
            .filter(|(scope, _)| *scope == PushScope::Fleet);
        let facts: Vec<_> = fleet.map(|(_, fact)| fact).collect();
        let own = &self.core.settings.domain;
        let mut domains = self.core.with_state(|state, now| state.peers.domains(now));
        domains.retain(|domain| domain != own);
        let remote: Vec<_> = domains
            .iter()
            .flat_map(|domain| self.client.coordinators_of(domain))
            .collect();
        self.push_to(&remote, &facts);
    }

    fn push_to(&self, addresses: &[SocketAddr], facts: &[TargetFact]) {
        for chunk in facts.chunks(PUSH_FACTS) {
            let sent = chunk.iter().map(|fact| SentFact {
                fact: fact.clone(),
                remaining: fact.lifetime(),
            });
            let request = FactRequest::Exchange {
                sent: sent.collect(),
                wanted: Vec::new(),
            };
            for address in addresses {
                let has_credit = self
                    .core
                    .with_state(|state, now| state.fact_limiters.pushes.has_credit(now));
                if !has_credit {
                    return;
                }
                let (client, request, address) = (self.client.clone(), request.clone(), *address);
                tokio::spawn(async move { client.push_facts(address, &request).await });
            }
        }
    }
}
