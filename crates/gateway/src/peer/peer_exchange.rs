use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{DomainName, EventKind, TargetName, TimeSpan};
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use rand::seq::IndexedRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{MissedTickBehavior, interval};
use web::{WebBody, WebError, empty_body, full_body};

use super::{ItemNews, LoadNews, NodeDigest};
use crate::coordinator::{CoordinatorReply, CoordinatorRequest};
use crate::state::INFORMED_COORDINATORS;
use crate::{GatewayCore, ViewArea};

/// Path of digests.
pub const DIGEST_PATH: &str = "/peer/digest";
/// Path of loads on engines.
pub const LOADS_PATH: &str = "/peer/loads";
/// Path of questions for room on engines.
pub const ROOM_PATH: &str = "/peer/room";
/// Path of the items of the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// Path of the entries of targets.
pub const TARGETS_PATH: &str = "/peer/targets";
/// Path of questions about facts.
pub const FACTS_PATH: &str = "/peer/facts";
/// Path of changes of the entries of targets.
pub const CHANGES_PATH: &str = "/peer/changes";

/// Time between two rounds of exchanges.
const ROUND: Duration = Duration::from_millis(250);
/// Peers of the own failure domain in one round, beside a desk.
const ROUND_NEAR: usize = 1;
/// Rounds between two exchanges of a node that is no desk with a desk of another failure domain.
const FAR_ROUNDS: u32 = 8;
/// Silent peers of the own failure domain in one round; a node that was cut off tries its desk and
/// seeds, too, and is heard by all of its domain through them.
const ROUND_SILENT: usize = 1;
/// Peers that others named and that this node has not heard yet, in one round.
const ROUND_HINTED: usize = 4;
/// Time since a peer of the own domain was heard in which it is told of news at once.
const NEAR_ALIVE: TimeSpan = TimeSpan::from_secs(5);
/// Rounds between two tries of addresses that did not answer.
const DOUBT_ROUNDS: u32 = 2;
/// Longest time for an exchange.
const EXCHANGE_WAIT: TimeSpan = TimeSpan::new(600);
/// Longest time for the answer of a desk, which holds questions for 150 ms.
const ROOM_WAIT: TimeSpan = TimeSpan::new(450);
/// Largest answer of a peer in bytes: a configuration of a megabyte with its encoding.
const ANSWER_LIMIT: usize = 4 << 20;

/// Exchanges digests with peers and fetches items of which they know more.
#[derive(Clone)]
pub struct PeerExchange {
    core: Arc<GatewayCore>,
}

impl PeerExchange {
    /// Creates the exchange of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }

    /// State of the node.
    pub(super) fn core(&self) -> &Arc<GatewayCore> {
        &self.core
    }

    /// Exchanges digests until the process ends.
    pub async fn run(self) {
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count: u32 = 0;
        loop {
            rounds.tick().await;
            count = count.wrapping_add(1);
            for address in self.pick_peers(count) {
                let exchange = self.clone();
                tokio::spawn(async move { exchange.exchange(address).await });
            }
        }
    }

    /// Fetches items from a peer in the background.
    pub fn spawn_fetch(&self, address: SocketAddr, areas: Vec<ViewArea>) {
        for area in areas {
            let exchange = self.clone();
            tokio::spawn(async move { exchange.fetch(address, area).await });
        }
    }

    /// Tells the peers that also have load on `source` at once that this node is done with it.
    pub fn push_finished(&self, source: &TargetName) {
        let addresses = self.core.with_state(|state, now| {
            let peers = state.balancer.peer_loads(source);
            let names: Vec<_> = peers.into_iter().map(|(node, _)| node).collect();
            state.peers.addresses_of(now, &names)
        });
        for address in addresses {
            let exchange = self.clone();
            tokio::spawn(async move { exchange.exchange(address).await });
        }
    }

    /// Tells the own failure domain and the desks of the others at once what changed of the targets
    /// after `base`.
    ///
    /// Only the changes: in a release, whole lists for a domain of 50 nodes fill a link of
    /// 10 Mbit/s for seconds.
    pub fn push_changes(&self, base: u64) {
        let mut addresses = self.near_peers();
        let domains = self.core.with_state(|state, now| state.peers.domains(now));
        let own = &self.core.settings.domain;
        for domain in domains.iter().filter(|domain| *domain != own) {
            addresses.extend(self.desks_of(domain));
        }
        self.send_changes(base, &addresses);
    }

    /// Passes on what another failure domain told of changes of targets, if this node is the desk.
    pub fn pass_on(&self, sender: SocketAddr, base: u64) {
        let is_ours = self.core.with_state(|state, now| {
            let is_far = state.peers.domain_of(sender).as_ref() != Some(&self.core.settings.domain);
            is_far && state.is_coordinator(now)
        });
        if is_ours {
            self.send_changes(base, &self.near_peers());
        }
    }

    fn send_changes(&self, base: u64, addresses: &[SocketAddr]) {
        let Some(news) = ItemNews::of_core(&self.core, ViewArea::Targets, Some(base)) else {
            return;
        };
        for address in addresses {
            let Some(body) = encode_body(&news) else {
                return;
            };
            let (exchange, address) = (self.clone(), *address);
            // A failure is logged there; a later digest tells that the peer lags behind.
            tokio::spawn(async move {
                let path = CHANGES_PATH;
                let _: Option<()> = exchange.call(address, Method::POST, path, body).await;
            });
        }
    }

    /// Peers of the own failure domain that were heard lately.
    pub fn near_peers(&self) -> Vec<SocketAddr> {
        let domain = &self.core.settings.domain;
        self.core.with_state(|state, now| {
            let alive = state.peers.alive_in(now, domain, NEAR_ALIVE);
            alive.into_iter().map(|peer| peer.address).collect()
        })
    }

    fn pick_peers(&self, round: u32) -> Vec<SocketAddr> {
        let near = self.near_peers();
        let domain = &self.core.settings.domain;
        let (mut silent, doubtful, hinted) = self.core.with_state(|state, now| {
            let silent = state.peers.known_in(domain);
            let hinted = state.peers.hinted().to_vec();
            (silent, state.peers.unconfirmed(now), hinted)
        });
        silent.retain(|address| !near.contains(address));
        let mut random = rand::rng();
        let mut picked: Vec<_> = near
            .choose_multiple(&mut random, ROUND_NEAR)
            .copied()
            .collect();
        picked.extend(self.pick_desks(round));
        picked.extend(hinted.choose_multiple(&mut random, ROUND_HINTED));
        picked.extend(silent.choose_multiple(&mut random, ROUND_SILENT));
        if round.is_multiple_of(DOUBT_ROUNDS) || near.is_empty() {
            picked.extend(doubtful.choose(&mut random).copied());
        }
        picked.sort();
        picked.dedup();
        picked
    }

    /// Desks of the own failure domain in turns, and those of the others if this node is one.
    fn pick_desks(&self, round: u32) -> Vec<SocketAddr> {
        let near = self.own_desks();
        self.core.with_state(|state, now| {
            let turn = round as usize % INFORMED_COORDINATORS;
            let mut picked: Vec<_> = near.get(turn).copied().into_iter().collect();
            let mut far = state.peers.domains(now);
            far.retain(|domain| *domain != self.core.settings.domain);
            if state
                .coordinator_rank(now)
                .is_none_or(|place| place >= INFORMED_COORDINATORS)
            {
                let is_due = round.is_multiple_of(FAR_ROUNDS);
                let one = far.choose(&mut rand::rng()).filter(|_| is_due).cloned();
                far = one.into_iter().collect();
            }
            let first = |domain: &DomainName| {
                state
                    .remote_coordinator_ranking(now, domain)
                    .first()
                    .copied()
            };
            picked.extend(far.iter().filter_map(first));
            picked
        })
    }

    /// Addresses of the desks of the own failure domain other than this node.
    pub fn own_desks(&self) -> Vec<SocketAddr> {
        self.core.with_state(|state, now| {
            let own = state.peers.own_address();
            let desks = state
                .coordinator_ranking(now)
                .iter()
                .copied()
                .take(INFORMED_COORDINATORS);
            desks.filter(|desk| Some(*desk) != own).collect()
        })
    }

    /// Addresses of the desks of another failure domain.
    pub fn desks_of(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let mut desks = self
            .core
            .with_state(|state, now| state.remote_coordinator_ranking(now, domain));
        desks.truncate(INFORMED_COORDINATORS);
        desks
    }

    /// Tells a peer the loads of this node.
    pub async fn tell_loads(&self, address: SocketAddr) {
        let Some(body) = encode_body(&LoadNews::of_core(&self.core)) else {
            return;
        };
        // A failure is logged there; a later push or digest tells the same.
        let _: Option<()> = self.call(address, Method::POST, LOADS_PATH, body).await;
    }

    /// Asks a desk for room; `None` if it does not answer.
    pub async fn ask_room(
        &self,
        desk: SocketAddr,
        question: &CoordinatorRequest,
    ) -> Option<CoordinatorReply> {
        let body = encode_body(question)?;
        self.call_within(desk, Method::POST, ROOM_PATH, body, ROOM_WAIT)
            .await
    }

    async fn exchange(&self, address: SocketAddr) {
        let domain = self
            .core
            .with_state(|state, _| state.peers.domain_of(address));
        let digest = NodeDigest::new(&self.core, domain.as_ref());
        let Some(body) = encode_body(&digest) else {
            return;
        };
        let answer: Option<NodeDigest> = self.call(address, Method::POST, DIGEST_PATH, body).await;
        match answer {
            Some(answer) if answer.node == *self.core.node() => self.drop_hint(address),
            Some(answer) => {
                let facts = answer.facts;
                let newer = answer.apply(&self.core);
                self.spawn_fetch(address, newer);
                self.compare_facts(address, facts).await;
            }
            None => {
                self.drop_hint(address);
                self.core
                    .with_state(|state, now| state.coordinator.mark_unreachable(now, address));
            }
        }
    }

    fn drop_hint(&self, address: SocketAddr) {
        self.core
            .with_state(|state, _| state.peers.drop_hint(address));
    }

    async fn fetch(&self, address: SocketAddr, area: ViewArea) {
        let path = match area {
            ViewArea::Config => CONFIG_PATH,
            ViewArea::Targets => TARGETS_PATH,
        };
        let known = self
            .core
            .with_state(|state, _| state.view.mirror(area).revision());
        let path = match known {
            Some(known) => format!("{path}?after={known}"),
            None => path.to_owned(),
        };
        let news: Option<ItemNews> = self.call(address, Method::GET, &path, empty_body()).await;
        if let Some(news) = news {
            // Revisions only grow, so the answer fits what is known by now.
            news.apply(&self.core, area);
        }
    }

    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
    ) -> Option<T> {
        self.call_within(address, method, path, body, EXCHANGE_WAIT)
            .await
    }

    async fn call_within<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
        wait: TimeSpan,
    ) -> Option<T> {
        let bytes = match self.send(address, method, path, body, wait).await {
            Ok(bytes) => bytes,
            Err(reason) => return self.note_failure(address, &reason),
        };
        match rmp_serde::from_slice(&bytes) {
            Ok(value) => Some(value),
            Err(error) => self.note_failure(address, &error.to_string()),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
        wait: TimeSpan,
    ) -> Result<Bytes, String> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(body)
            .map_err(|error| error.to_string())?;
        let pool = &self.core.peer_pool;
        let answered = pool.exchange(address, request, ANSWER_LIMIT, wait).await;
        match answered {
            Ok(response) if response.status() == StatusCode::OK => Ok(response.into_body()),
            Ok(response) => Err(format!("status {}", response.status())),
            Err(error) => {
                if let WebError::ResponseTimeout = error {
                    pool.forget(address);
                }
                Err(error.to_string())
            }
        }
    }

    fn note_failure<T>(&self, address: SocketAddr, reason: &str) -> Option<T> {
        log::debug!(
            event = EventKind::PeerUnreached.number(),
            node = self.core.node().as_str(),
            address = address.to_string().as_str();
            "{reason}"
        );
        None
    }
}

pub(super) fn encode_body(value: &impl Serialize) -> Option<WebBody> {
    match rmp_serde::to_vec(value) {
        Ok(body) => Some(full_body(body)),
        Err(error) => {
            log::error!(
                event = EventKind::ProcessMessage.number();
                "message to a peer can't be encoded: {error}"
            );
            None
        }
    }
}
