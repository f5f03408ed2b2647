use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{DomainName, EventKind, TargetName, TimeSpan};
use bytes::Bytes;
use entry::StorePosition;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use rand::seq::IndexedRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{MissedTickBehavior, interval};
use web::{RequestError, ResponseLimits, WebBody, empty_body, full_body};

use super::{
    ExtendedMessage, ItemUpdate, LoadReport, NodeDigest, decode_extended, encode_extended,
};
use crate::coordinator::{CoordinatorReply, CoordinatorRequest};
use crate::rate::{PermitReply, PermitRequest};
use crate::state::INFORMED_COORDINATORS;
use crate::trial::{TrialReply, TrialRequest};
use crate::{GatewayCore, ViewArea};

/// Path of digest exchanges.
pub const DIGEST_PATH: &str = "/peer/digest";
/// Path of load reports.
pub const LOADS_PATH: &str = "/peer/loads";
/// Path of placement requests to a coordinator.
pub const PLACEMENT_PATH: &str = "/peer/room";
/// Path of requests for permits to send to targets that name a rate.
pub const PERMITS_PATH: &str = "/peer/permits";
/// Path of requests to run a call as the trial of a suspected prompt part.
pub const TRIALS_PATH: &str = "/peer/trials";
/// Path from which configuration items are fetched.
pub const CONFIG_PATH: &str = "/peer/config";
/// Path from which target entries are fetched.
pub const TARGETS_PATH: &str = "/peer/targets";
/// Path of fact synchronization.
pub const FACTS_PATH: &str = "/peer/facts";
/// Path of forwarded calls.
pub const CALLS_PATH: &str = "/peer/calls";
/// Path of pushed changes of target entries.
pub const CHANGES_PATH: &str = "/peer/changes";

/// Interval of the gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Peers of the own failure domain contacted in one round, besides a coordinator.
const LOCAL_FANOUT: usize = 1;
/// Rounds after which a node outside the first [`INFORMED_COORDINATORS`] of its failure domain
/// contacts the coordinator of one other domain.
const REMOTE_ROUNDS: u32 = 8;
/// Silent peers of the own failure domain contacted in one round. One suffices: a node that was cut
/// off also tries its coordinator and seeds, and its whole domain learns of it through them.
const SILENT_FANOUT: usize = 1;
/// Addresses contacted in one round that peers named and that have not answered this node yet.
const HINTED_FANOUT: usize = 4;
/// Time after its last message during which a peer of the own failure domain counts as alive, so
/// that changes are pushed to it.
const LOCAL_ALIVE_WAIT: TimeSpan = TimeSpan::from_secs(5);
/// Rounds after which an address that may belong to a peer not alive now is tried again.
const RETRY_ROUNDS: u32 = 2;
/// Timeout of a request to a peer.
const REQUEST_TIMEOUT: TimeSpan = TimeSpan::new(600);
/// Timeout of a placement request; a coordinator holds those that have to wait for 150 ms.
const PLACEMENT_TIMEOUT: TimeSpan = TimeSpan::new(450);
/// Timeout of a request for permits.
const PERMIT_TIMEOUT: TimeSpan = TimeSpan::new(300);
/// Largest response of a peer in bytes: a configuration of a megabyte with its encoding.
const RESPONSE_LIMIT: usize = 4 << 20;

/// Client of the protocol between peers: gossips digests, fetches items that are newer on a peer,
/// pushes changes and sends placement requests.
#[derive(Clone)]
pub struct PeerClient {
    core: Arc<GatewayCore>,
}

impl PeerClient {
    /// Creates the client of a node.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }
    pub(super) fn core(&self) -> &Arc<GatewayCore> {
        &self.core
    }

    /// Gossips until the process ends: exchanges digests with some peers in each round.
    pub async fn run(self) {
        let mut rounds = interval(GOSSIP_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count: u32 = 0;
        loop {
            rounds.tick().await;
            count = count.wrapping_add(1);
            for address in self.pick_peers(count) {
                let client = self.clone();
                tokio::spawn(async move { client.exchange_digests(address).await });
            }
        }
    }

    /// Fetches the items of some areas from a peer in the background.
    pub fn spawn_fetch(&self, address: SocketAddr, areas: Vec<ViewArea>) {
        for area in areas {
            let client = self.clone();
            tokio::spawn(async move { client.fetch(address, area).await });
        }
    }

    /// Exchanges digests at once with the peers that also have load on the leaving engine `source`,
    /// so that they learn that this node has nothing more to move off it.
    pub fn notify_finished(&self, source: &TargetName) {
        let addresses = self.core.with_state(|state, now| {
            let peers = state.balancer.peer_loads(source);
            let names: Vec<_> = peers.into_iter().map(|(node, _)| node).collect();
            state.peers.addresses_of(now, &names)
        });
        for address in addresses {
            let client = self.clone();
            tokio::spawn(async move { client.exchange_digests(address).await });
        }
    }

    /// Pushes the changes of targets after the position `base` to the peers of the own failure domain
    /// and to the coordinators of the others.
    ///
    /// Only changes are sent: during a release, whole lists for a domain of 50 nodes would fill a
    /// link of 10 Mbit/s for seconds.
    pub fn push_changes(&self, base: StorePosition) {
        let mut addresses = self.local_peers();
        let domains = self.core.with_state(|state, now| state.peers.domains(now));
        let own = &self.core.settings.domain;
        for domain in domains.iter().filter(|domain| *domain != own) {
            addresses.extend(self.coordinators_of(domain));
        }
        self.send_changes(base, &addresses);
    }

    /// Forwards changes of targets that a node of another failure domain sent to the peers of the
    /// own domain, if this node is its coordinator.
    pub fn forward_changes(&self, sender: SocketAddr, base: StorePosition) {
        let must_forward = self.core.with_state(|state, now| {
            let is_remote =
                state.peers.domain_of(sender).as_ref() != Some(&self.core.settings.domain);
            is_remote && state.is_coordinator(now)
        });
        if must_forward {
            self.send_changes(base, &self.local_peers());
        }
    }

    fn send_changes(&self, base: StorePosition, addresses: &[SocketAddr]) {
        let Some(update) = ItemUpdate::of_core(&self.core, ViewArea::Targets, Some(base)) else {
            return;
        };
        for address in addresses {
            let Some(body) = extended_body(update.clone()) else {
                return;
            };
            let (client, address) = (self.clone(), *address);
            // `call` logs a failure. The peer then learns from a later digest that it lags behind.
            tokio::spawn(async move {
                let path = CHANGES_PATH;
                let _: Option<()> = client.call(address, Method::POST, path, body).await;
            });
        }
    }

    /// Addresses of the peers of the own failure domain that are alive.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let domain = &self.core.settings.domain;
        self.core.with_state(|state, now| {
            let alive = state.peers.alive_in(now, domain, LOCAL_ALIVE_WAIT);
            alive.into_iter().map(|peer| peer.address).collect()
        })
    }

    /// Picks the addresses to contact in a gossip round.
    fn pick_peers(&self, round: u32) -> Vec<SocketAddr> {
        let local = self.local_peers();
        let domain = &self.core.settings.domain;
        let (mut silent, doubtful, hinted) = self.core.with_state(|state, now| {
            let silent = state.peers.known_in(domain);
            let hinted = state.peers.hinted().to_vec();
            (silent, state.peers.unconfirmed(now), hinted)
        });
        silent.retain(|address| !local.contains(address));
        let mut random = rand::rng();
        let mut picked: Vec<_> = local
            .choose_multiple(&mut random, LOCAL_FANOUT)
            .copied()
            .collect();
        picked.extend(self.pick_coordinators(round));
        picked.extend(hinted.choose_multiple(&mut random, HINTED_FANOUT));
        picked.extend(silent.choose_multiple(&mut random, SILENT_FANOUT));
        if round.is_multiple_of(RETRY_ROUNDS) || local.is_empty() {
            picked.extend(doubtful.choose(&mut random).copied());
        }
        picked.sort();
        picked.dedup();
        picked
    }

    /// Picks the coordinators to contact in a gossip round: one of the own failure domain in turn,
    /// and of the other domains that of each if this node is among the first
    /// [`INFORMED_COORDINATORS`] of its domain, else that of a random one in every
    /// [`REMOTE_ROUNDS`]th round.
    fn pick_coordinators(&self, round: u32) -> Vec<SocketAddr> {
        let local = self.own_coordinators();
        self.core.with_state(|state, now| {
            let turn = round as usize % INFORMED_COORDINATORS;
            let mut picked: Vec<_> = local.get(turn).copied().into_iter().collect();
            let mut remote = state.peers.domains(now);
            remote.retain(|domain| *domain != self.core.settings.domain);
            if state
                .coordinator_rank(now)
                .is_none_or(|rank| rank >= INFORMED_COORDINATORS)
            {
                let is_due = round.is_multiple_of(REMOTE_ROUNDS);
                let one = remote.choose(&mut rand::rng()).filter(|_| is_due).cloned();
                remote = one.into_iter().collect();
            }
            let first = |domain: &DomainName| {
                state
                    .remote_coordinator_ranking(now, domain)
                    .first()
                    .copied()
            };
            picked.extend(remote.iter().filter_map(first));
            picked
        })
    }

    /// Addresses of the coordinator of the own failure domain and of its deputy, without this node.
    pub fn own_coordinators(&self) -> Vec<SocketAddr> {
        self.core.with_state(|state, now| {
            let own = state.peers.own_address();
            let first = state
                .coordinator_ranking(now)
                .iter()
                .copied()
                .take(INFORMED_COORDINATORS);
            first.filter(|address| Some(*address) != own).collect()
        })
    }

    /// Addresses of the coordinator of another failure domain and of its deputy.
    pub fn coordinators_of(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let mut addresses = self
            .core
            .with_state(|state, now| state.remote_coordinator_ranking(now, domain));
        addresses.truncate(INFORMED_COORDINATORS);
        addresses
    }

    /// Sends a peer the load report of this node.
    pub async fn send_loads(&self, address: SocketAddr) {
        let Some(body) = extended_body(LoadReport::new(&self.core, address)) else {
            return;
        };
        // `call` logs a failure. A later push or digest reports the same loads.
        let _: Option<()> = self.call(address, Method::POST, LOADS_PATH, body).await;
    }

    /// Asks a coordinator to place a call; `None` if it does not answer.
    pub async fn request_placement(
        &self,
        coordinator: SocketAddr,
        question: CoordinatorRequest,
    ) -> Option<CoordinatorReply> {
        let (path, body) = (PLACEMENT_PATH, extended_body(question)?);
        self.call_within(coordinator, Method::POST, path, body, PLACEMENT_TIMEOUT)
            .await
    }

    /// Requests permits to send to a target from another node; `None` if it does not answer.
    pub async fn request_permits(
        &self,
        address: SocketAddr,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        let (path, body) = (PERMITS_PATH, body_of(request.encode())?);
        // Each node that passes the request on waits for less time than the one before.
        let timeout = PERMIT_TIMEOUT / u64::from(request.hops.max(1));
        self.call_within(address, Method::POST, path, body, timeout)
            .await
    }

    /// Requests a trial of a suspected prompt part from another node; `None` if it does not answer.
    pub async fn request_trial(
        &self,
        address: SocketAddr,
        request: &TrialRequest,
    ) -> Option<TrialReply> {
        let (path, body) = (TRIALS_PATH, encode_body(request)?);
        let timeout = PERMIT_TIMEOUT / u64::from(request.hops.max(1));
        self.call_within(address, Method::POST, path, body, timeout)
            .await
    }

    /// Exchanges digests with a peer, then fetches items and facts that it knows and this node
    /// lacks.
    async fn exchange_digests(&self, address: SocketAddr) {
        let domain = self
            .core
            .with_state(|state, _| state.peers.domain_of(address));
        let digest = NodeDigest::new(&self.core, address, domain.as_ref());
        let Some(body) = extended_body(digest) else {
            return;
        };
        let (method, path) = (Method::POST, DIGEST_PATH);
        let answer = self
            .send(address, method, path, body, REQUEST_TIMEOUT)
            .await;
        let theirs = answer.and_then(|bytes| {
            decode_extended::<NodeDigest>(&bytes).map_err(|error| error.to_string())
        });
        let theirs = match theirs {
            Ok(theirs) => Some(theirs),
            Err(reason) => self.log_failure(address, &reason),
        };
        match theirs {
            // The address belongs to this node itself.
            Some(theirs) if theirs.node == *self.core.node() => self.drop_hint(address),
            Some(theirs) => {
                let facts = theirs.facts;
                let newer = theirs.apply(&self.core);
                self.spawn_fetch(address, newer);
                self.sync_facts(address, facts).await;
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

    /// Fetches the items of an area from a peer: the changes after the known revision, or all.
    async fn fetch(&self, address: SocketAddr, area: ViewArea) {
        let path = match area {
            ViewArea::Config => CONFIG_PATH,
            ViewArea::Targets => TARGETS_PATH,
        };
        let known = self
            .core
            .with_state(|state, _| state.view.mirror(area).position());
        // A configuration may be newer by its version only, at an older position.
        let known = known.filter(|_| area == ViewArea::Targets);
        let path = match known {
            Some(known) if known.era.is_first() => format!("{path}?after={}", known.revision),
            Some(known) => format!("{path}?after={}&era={}", known.revision, known.era),
            None => path.to_owned(),
        };
        let (method, body) = (Method::GET, empty_body());
        let answer = self
            .send(address, method, &path, body, REQUEST_TIMEOUT)
            .await;
        let update = answer.and_then(|bytes| {
            decode_extended::<ItemUpdate>(&bytes).map_err(|error| error.to_string())
        });
        match update {
            // Revisions only grow, so the changes still connect to the revision known by now.
            Ok(update) => {
                update.apply(&self.core, area);
            }
            Err(reason) => {
                self.log_failure::<()>(address, &reason);
            }
        }
    }

    /// Sends a request with the usual timeout and decodes the response; logs a failure and returns
    /// `None` then.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
    ) -> Option<T> {
        self.call_within(address, method, path, body, REQUEST_TIMEOUT)
            .await
    }

    /// Like [`Self::call`], with a timeout of the caller's choice.
    async fn call_within<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
        timeout: TimeSpan,
    ) -> Option<T> {
        let bytes = match self.send(address, method, path, body, timeout).await {
            Ok(bytes) => bytes,
            Err(reason) => return self.log_failure(address, &reason),
        };
        match rmp_serde::from_slice(&bytes) {
            Ok(value) => Some(value),
            Err(error) => self.log_failure(address, &error.to_string()),
        }
    }

    /// Sends a request and returns the body of the response; the error is the reason to log.
    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: WebBody,
        timeout: TimeSpan,
    ) -> Result<Bytes, String> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(body)
            .map_err(|error| error.to_string())?;
        let pool = &self.core.peer_pool;
        let limits = ResponseLimits::new(RESPONSE_LIMIT, timeout);
        let result = pool.exchange(address, request, limits).await;
        match result {
            Ok(response) if response.status() == StatusCode::OK => Ok(response.into_body()),
            Ok(response) => Err(format!("status {}", response.status())),
            Err(error) => {
                if let RequestError::ResponseTimeout = error {
                    pool.close_idle(address);
                }
                Err(error.to_string())
            }
        }
    }

    /// Logs that a peer could not be reached or its response not be read; returns `None`.
    fn log_failure<T>(&self, address: SocketAddr, reason: &str) -> Option<T> {
        log::debug!(
            event = EventKind::PeerUnreached.number(),
            node = self.core.node().as_str(),
            address = address.to_string().as_str();
            "{reason}"
        );
        None
    }
}

/// Encodes a message to a peer as a request body; logs a failure and returns `None` then.
pub(super) fn encode_body(value: &impl Serialize) -> Option<WebBody> {
    body_of(rmp_serde::to_vec(value))
}

/// Encodes a message with its extension as a request body; logs a failure and returns `None` then.
fn extended_body(message: impl ExtendedMessage) -> Option<WebBody> {
    body_of(encode_extended(message))
}

fn body_of(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Option<WebBody> {
    match encoded {
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
