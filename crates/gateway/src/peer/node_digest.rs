use std::net::SocketAddr;

use base::{ClockTime, CoreShare, DomainName, NodeName, ServiceName, TargetName, TimeSpan};
use entry::{
    AnswerReport, ConfigVersion, DomainPace, DomainPeak, EvacuationRecord, LoadOrigin, PeerLoads,
    RefusalReport, StoreEra, StorePosition, SuspectCall, TargetLoad,
};
use facts::FactDigest;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::ExtendedMessage;
use crate::state::{GatewayState, INFORMED_COORDINATORS, PeerInfo, PeerPaths};
use crate::{GatewayCore, ViewArea};

/// Addresses of nodes of each failure domain in one digest, besides its coordinators; a few
/// suffice, as they are drawn anew for every digest.
const DOMAIN_ADDRESSES: usize = 12;
/// Time after its start from which a node reports the load on the engines of its failure domain;
/// before, it may not have received the loads of all its peers.
const DOMAIN_LOADS_WAIT: TimeSpan = TimeSpan::from_secs(2);

/// State of one node, which it exchanges with peers by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeDigest {
    /// Node that sends the digest.
    pub node: NodeName,
    /// Address of the sender for peers.
    pub address: SocketAddr,
    /// When the digest was created, by the clock of the sender; orders its digests.
    #[serde(rename = "told_at")]
    pub sent_at: ClockTime,
    /// Version of the configuration in force on the sender.
    pub version: ConfigVersion,
    /// Revision up to which the sender knows the targets; 0 if it knows none.
    pub targets_revision: u64,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Processor share that the sender may use.
    pub capacity: CoreShare,
    /// Whether calls of the sender wait for engines.
    pub is_waiting: bool,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Time since the targets of the sender were last known to be up to date; `None` if it has not
    /// read any yet.
    pub targets_age: Option<TimeSpan>,
    /// Time since the store answered again after an outage; `None` if that is long ago or there was
    /// none. For and from earlier builds, which know no `answers`.
    pub regained_age: Option<TimeSpan>,
    /// Load of its calls in flight on each target.
    pub loads: Vec<(TargetName, TargetLoad)>,
    /// Load on the engines of the sender's failure domain without the calls of the receiver's
    /// domain.
    ///
    /// Only the coordinator of a domain and its deputy send it, and only to another domain.
    #[serde(rename = "sums")]
    pub domain_loads: Option<Vec<(TargetName, TargetLoad)>>,
    /// Leaving engines off which the sender has no more generations to move.
    #[serde(rename = "finished")]
    pub finished_sources: Vec<TargetName>,
    /// Digest of the facts that the sender knows.
    pub facts: FactDigest,
    /// Its running calls that are suspected of crashing their targets.
    pub suspects: Vec<SuspectCall>,
    /// Addresses of some other nodes that are alive.
    pub addresses: Vec<SocketAddr>,
    /// Number of nodes in the sender's failure domain, if the sender is its coordinator.
    #[serde(default)]
    pub domain_nodes: Option<u32>,
    /// Largest number of nodes that each failure domain had lately; only coordinators send it.
    #[serde(default)]
    pub domain_peaks: Vec<DomainPeak>,
    /// Newest record of the evacuation of each failure domain that the sender knows.
    #[serde(skip)]
    pub evacuations: Vec<EvacuationRecord>,
    /// Paces of engines of the sender's failure domain that differ from the others; only coordinators
    /// send them, to those of other domains.
    #[serde(skip)]
    pub domain_paces: Vec<DomainPace>,
    /// Era of the store to which `targets_revision` belongs.
    #[serde(skip)]
    pub targets_era: StoreEra,
    /// Time for which the sender may still lack crash signs of before its start; `None` if it is an
    /// earlier build.
    #[serde(skip)]
    pub facts_incomplete: Option<TimeSpan>,
    /// What the sender knows of the answers of the store to any node.
    #[serde(skip)]
    pub answers: Option<AnswerReport>,
    /// Services to whose targets the sender has no network path, sorted; `None` if it is an earlier build,
    /// which accepts no forwarded calls.
    #[serde(skip)]
    pub lost_services: Option<Vec<ServiceName>>,
    /// What the sender knows of the calls that targets may refuse.
    #[serde(skip)]
    pub refusals: Vec<RefusalReport>,
}

/// Parts of a digest that earlier builds don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DigestExtension {
    #[serde(default, rename = "paces")]
    domain_paces: Vec<DomainPace>,
    #[serde(default)]
    evacuations: Vec<EvacuationRecord>,
    #[serde(default, rename = "era", skip_serializing_if = "StoreEra::is_first")]
    targets_era: StoreEra,
    #[serde(default, rename = "lacks", skip_serializing_if = "Option::is_none")]
    facts_incomplete: Option<TimeSpan>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answers: Option<AnswerReport>,
    #[serde(default, rename = "lost", skip_serializing_if = "Option::is_none")]
    lost_services: Option<Vec<ServiceName>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    refusals: Vec<RefusalReport>,
}

impl ExtendedMessage for NodeDigest {
    type Extension = DigestExtension;

    fn take_extension(&mut self) -> DigestExtension {
        DigestExtension {
            domain_paces: std::mem::take(&mut self.domain_paces),
            evacuations: std::mem::take(&mut self.evacuations),
            targets_era: std::mem::take(&mut self.targets_era),
            facts_incomplete: self.facts_incomplete.take(),
            answers: self.answers.take(),
            lost_services: self.lost_services.take(),
            refusals: std::mem::take(&mut self.refusals),
        }
    }

    fn extend(&mut self, extension: DigestExtension) {
        self.domain_paces = extension.domain_paces;
        self.evacuations = extension.evacuations;
        self.targets_era = extension.targets_era;
        self.facts_incomplete = extension.facts_incomplete;
        self.answers = extension.answers;
        self.lost_services = extension.lost_services;
        self.refusals = extension.refusals;
    }
}

impl NodeDigest {
    /// Creates the digest of this node for the node at `address`, which is in the failure domain
    /// `receiver` if that is known.
    pub fn new(core: &GatewayCore, address: SocketAddr, receiver: Option<&DomainName>) -> Self {
        let remote = receiver.filter(|domain| **domain != core.settings.domain);
        core.with_state(|state, now| {
            let is_candidate = state
                .coordinator_rank(now)
                .is_some_and(|rank| rank < INFORMED_COORDINATORS);
            let knows_loads = is_candidate && now.since(ClockTime::default()) > DOMAIN_LOADS_WAIT;
            let remote = remote.filter(|_| knows_loads);
            let addresses = known_addresses(state, now, receiver);
            let is_coordinator = state.is_coordinator(now);
            let targets = state.view.target_items.position().unwrap_or_default();
            let domain_paces = match is_candidate {
                true => state.take_domain_paces(now, address),
                false => Vec::new(),
            };
            Self {
                node: core.node().clone(),
                address: core.settings.peer_address,
                sent_at: now,
                version: state.view.version(),
                targets_revision: targets.revision,
                domain: core.settings.domain.clone(),
                capacity: core.settings.capacity,
                is_waiting: state.has_queued_generations(),
                is_stopping: state.stop_plan.is_some(),
                targets_age: state.targets_age(now),
                regained_age: state.view.guard.regained_age(now),
                loads: state.balancer.own_loads(),
                domain_loads: remote.map(|domain| state.balancer.domain_loads_for(domain)),
                finished_sources: state.move_scheduler.finished_sources(),
                facts: FactDigest::of(&state.facts.set, now),
                suspects: state.suspects.local().to_vec(),
                addresses,
                domain_nodes: is_coordinator.then(|| state.count_own_domain(now)),
                domain_peaks: match is_coordinator {
                    true => state.reach.peaks(now),
                    false => Vec::new(),
                },
                evacuations: state.evacuations.records_to_tell(now),
                domain_paces,
                targets_era: targets.era,
                facts_incomplete: Some(state.facts.incomplete_for(now)),
                answers: state.view.guard.report(now),
                lost_services: Some(state.paths.lost_services()),
                refusals: state.balancer.refusal_reports(now),
            }
        })
    }

    /// Applies the digest of a peer; returns the areas of which the peer has newer items.
    pub fn apply(self, core: &GatewayCore) -> Vec<ViewArea> {
        let has_finished = !self.finished_sources.is_empty();
        core.adopt_refusals(&self.refusals, "digest of a peer");
        // Before newer items are fetched, since it decides what removals mean.
        match (self.answers, self.regained_age, self.targets_age) {
            (Some(report), ..) => core.record_peer_report(report),
            (None, Some(age), _) => core.record_outage_end(age),
            (None, None, Some(age)) => core.record_peer_report(AnswerReport::of_answer(age)),
            (None, None, None) => {}
        }
        let (is_new, newer, evacuations) = core.with_state(|state, now| {
            let evacuations = state.adopt_evacuations(now, self.evacuations);
            let is_new = state.peers.record_heard(
                now,
                PeerInfo {
                    address: self.address,
                    node: self.node.clone(),
                    domain: self.domain.clone(),
                    capacity: self.capacity,
                    is_waiting: self.is_waiting,
                    is_stopping: self.is_stopping,
                    paths: PeerPaths {
                        accepts_calls: self.lost_services.is_some(),
                        lost: self.lost_services.unwrap_or_default(),
                    },
                },
            );
            state.peers.add_hints(&self.addresses);
            let (nodes, peaks) = (self.domain_nodes, &self.domain_peaks);
            state.record_sizes(now, &self.domain, nodes, peaks);
            if let Some(loads) = self.domain_loads {
                state.balancer.apply_peer_loads(PeerLoads {
                    origin: LoadOrigin::Domain(self.domain.clone()),
                    received_at: now,
                    sent_at: self.sent_at,
                    loads,
                });
            }
            state
                .balancer
                .apply_domain_paces(now, &self.domain, self.domain_paces);
            state.balancer.apply_peer_loads(PeerLoads {
                origin: peer_origin(core, &self.domain, &self.node),
                received_at: now,
                sent_at: self.sent_at,
                loads: self.loads,
            });
            state
                .move_scheduler
                .record_peer_finished(now, &self.node, self.finished_sources);
            state.suspects.replace_peer(now, &self.node, self.suspects);
            state.adopt_completeness(now, &self.facts, self.facts_incomplete);
            let mut newer = Vec::new();
            let version = state.view.version();
            state
                .view
                .config_lag
                .record_peer(now, version, self.version);
            if self.version > version {
                newer.push(ViewArea::Config);
            }
            let targets = StorePosition::new(self.targets_era, self.targets_revision);
            if state.should_fetch_targets(now, targets) {
                newer.push(ViewArea::Targets);
            }
            state.confirm_targets(now, targets, self.targets_age);
            (is_new, newer, evacuations)
        });
        core.handle_evacuations(&evacuations, "digest of a peer");
        if has_finished {
            core.recheck_moves();
        }
        if is_new {
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

/// Addresses to send to a node of the failure domain `receiver`: the coordinators of all domains,
/// and some other nodes of its domain, or of every domain if it is not known. They are drawn anew
/// each time, so that all become known.
fn known_addresses(
    state: &mut GatewayState,
    now: ClockTime,
    receiver: Option<&DomainName>,
) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for domain in state.peers.domains(now) {
        let mut coordinators = state.remote_coordinator_ranking(now, &domain);
        let rest = coordinators.split_off(coordinators.len().min(INFORMED_COORDINATORS));
        addresses.extend(coordinators);
        if receiver.is_none_or(|receiver| *receiver == domain) {
            addresses.extend(rest.choose_multiple(&mut rand::rng(), DOMAIN_ADDRESSES));
        }
    }
    addresses
}

/// Origin of the loads that a node reports of its own calls.
pub(super) fn peer_origin(core: &GatewayCore, domain: &DomainName, node: &NodeName) -> LoadOrigin {
    match *domain == core.settings.domain {
        true => LoadOrigin::Node(node.clone()),
        false => LoadOrigin::RemoteNode(domain.clone(), node.clone()),
    }
}
