use std::net::SocketAddr;

use base::{ClockTime, CoreShare, DomainName, NodeName, TargetName, TimeSpan};
use entry::{ConfigVersion, LoadOrigin, PeerLoads, SuspectPlace, TargetLoad};
use facts::FactRoot;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::state::{DESKS, GatewayState, PeerFacts};
use crate::{GatewayCore, ViewArea};

/// Addresses of nodes of the receiver's failure domain in one digest; a few suffice, as every
/// exchange carries others.
const NEAR_ADDRESSES: usize = 12;
/// Time after its start from which a node can tell what is on the engines of its domain: until
/// then, it has not heard all others.
const SUMS_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// State of one node, as it tells its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeDigest {
    /// The node.
    pub node: NodeName,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Time on its clock, which orders what it says.
    pub told_at: ClockTime,
    /// Configuration in force.
    pub version: ConfigVersion,
    /// Revision up to which it knows the targets.
    pub targets_revision: u64,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Processor that the node may use.
    pub capacity: CoreShare,
    /// Whether calls wait there for engines.
    pub is_waiting: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
    /// Milliseconds since it knew its targets to be up to date; `None` if it never did.
    pub targets_age: Option<TimeSpan>,
    /// Time since the store answered again after an outage, if that was lately.
    pub regained_age: Option<TimeSpan>,
    /// Its calls in flight on targets.
    pub loads: Vec<(TargetName, TargetLoad)>,
    /// To another domain: what is on the engines of its own, without the calls of that domain.
    pub sums: Option<Vec<(TargetName, TargetLoad)>>,
    /// Leaving engines off which it has nothing more to move.
    pub finished: Vec<TargetName>,
    /// Hash of the facts that it knows.
    pub facts: FactRoot,
    /// Where its calls run that may crash their targets.
    pub suspects: Vec<SuspectPlace>,
    /// Some other nodes that are alive.
    pub addresses: Vec<SocketAddr>,
}

impl NodeDigest {
    /// Describes this node to a node of the domain `receiver`, if that is known.
    pub fn new(core: &GatewayCore, receiver: Option<&DomainName>) -> Self {
        let far = receiver.filter(|domain| **domain != core.settings.domain);
        core.with_state(|state, now| {
            let is_desk = state.desk_place(now).is_some_and(|place| place < DESKS);
            let knows_all = is_desk && now.since(ClockTime::default()) > SUMS_AFTER;
            let far = far.filter(|_| knows_all);
            let addresses = known_addresses(state, now, receiver);
            Self {
                node: core.node().clone(),
                address: core.settings.peer_address,
                told_at: now,
                version: state.view.version(),
                targets_revision: state.view.target_items.revision().unwrap_or(0),
                domain: core.settings.domain.clone(),
                capacity: core.settings.capacity,
                is_waiting: state.is_waiting(),
                is_stopping: state.stop_end.is_some(),
                targets_age: state.targets_age(now),
                regained_age: state.view.guard.regained_age(now),
                loads: state.board.own_loads(),
                sums: far.map(|domain| state.board.domain_loads_for(domain)),
                finished: state.turns.own_finished(),
                facts: FactRoot::of(&state.facts.set, now),
                suspects: state.suspects.own().to_vec(),
                addresses,
            }
        })
    }

    /// Takes what a peer says; returns the areas of which the peer knows more.
    pub fn apply(self, core: &GatewayCore) -> Vec<ViewArea> {
        let has_turns = !self.finished.is_empty();
        let (is_found, newer) = core.with_state(|state, now| {
            let is_found = state.peers.hear(
                now,
                PeerFacts {
                    address: self.address,
                    node: self.node.clone(),
                    domain: self.domain.clone(),
                    capacity: self.capacity,
                    is_waiting: self.is_waiting,
                    is_stopping: self.is_stopping,
                },
            );
            state.peers.hint(&self.addresses);
            if let Some(loads) = self.sums {
                state.board.apply_peer_loads(PeerLoads {
                    origin: LoadOrigin::Domain(self.domain.clone()),
                    received_at: now,
                    sent_at: self.told_at,
                    loads,
                });
            }
            state.board.apply_peer_loads(PeerLoads {
                origin: peer_origin(core, &self.domain, &self.node),
                received_at: now,
                sent_at: self.told_at,
                loads: self.loads,
            });
            state.turns.note_finished(now, &self.node, self.finished);
            state.suspects.take_peer(now, &self.node, self.suspects);
            let mut newer = Vec::new();
            if self.version > state.view.version() {
                newer.push(ViewArea::Config);
            }
            if state.lags_behind(now, self.targets_revision) {
                newer.push(ViewArea::Targets);
            }
            state.confirm_targets(now, self.targets_revision, self.targets_age);
            if let Some(age) = self.regained_age {
                state.view.guard.on_peer_regained(now, age);
            }
            (is_found, newer)
        });
        if has_turns {
            core.wake_pumps();
        }
        if is_found {
            log::info!(
                event = base::EventKind::PeerAlive.number(),
                node = core.node().as_str(),
                peer = self.node.as_str(),
                address = self.address.to_string().as_str();
                "peer is alive"
            );
        }
        newer
    }
}

/// Addresses that help a node of the domain `receiver`: its desks and some of its other nodes, drawn
/// anew each time so that all become known, and the desks of other domains.
fn known_addresses(
    state: &mut GatewayState,
    now: ClockTime,
    receiver: Option<&DomainName>,
) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for domain in state.peers.domains(now) {
        let mut ranked = state.far_desks(now, &domain);
        let rest = ranked.split_off(ranked.len().min(DESKS));
        addresses.extend(ranked);
        if receiver.is_none_or(|receiver| *receiver == domain) {
            addresses.extend(rest.choose_multiple(&mut rand::rng(), NEAR_ADDRESSES));
        }
    }
    addresses
}

/// Whose loads a message of a node tells.
pub(super) fn peer_origin(core: &GatewayCore, domain: &DomainName, node: &NodeName) -> LoadOrigin {
    match *domain == core.settings.domain {
        true => LoadOrigin::Node(node.clone()),
        false => LoadOrigin::RemoteNode(domain.clone(), node.clone()),
    }
}
