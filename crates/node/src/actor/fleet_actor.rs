use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, DomainName, EventKind, IncarnationNumber, NodeName, TargetName, TimeSpan};
use calls::OwnerId;
use fleet::{
    FleetDeclaration, FleetPeer, KeyText, PlatformHeadAnswer, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionStatus, RevisionView, SetSource,
};
use member::{
    DeclaredNode, MemberAction, MemberMessage, MemberSettings, MemberTable, NodeState,
    ObservationSource, PlatformEntry, TargetObservation, TargetState,
};
use sched::{LoadReport, TargetInfo};
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};
use xtra::{Context, Handler, WeakAddress};

use super::SchedHandle;
use crate::{
    ClaimHandle, EngineHealth, EventJournal, HealthNote, LoadNote, PeerBody, PeerClient, PeerReply,
    PlatformClient, PlatformFailure, SystemClock, TargetNote, TargetPhase, TargetProbe, TargetView,
    ViewCell,
};

/// Nodes of a domain that watch the platform.
const READERS: usize = 2;
/// Nodes of a domain that probe the same target, so that one may fail unnoticed for a while.
const PROBERS: usize = 2;
/// Nodes of another domain that revisions are exchanged with.
const FAR_PEERS: usize = 2;
/// Time between two probes of a target by its first prober.
const PROBE_PERIOD: TimeSpan = TimeSpan::new(500);
/// Time between two probes of a target by its second prober.
const SECOND_PERIOD: TimeSpan = TimeSpan::new(2_000);
/// Failed probes in a row after which a target counts as down.
const PROBE_FAILURES: u32 = 2;
/// Least time between two load notes to the peers of the domain.
const NOTE_PERIOD: TimeSpan = TimeSpan::new(500);
/// Added to the period for each peer, so that control traffic does not grow with their number.
const NOTE_PER_PEER: TimeSpan = TimeSpan::new(80);
/// Notes after which the health of every target is repeated.
const HEALTH_REPEAT: u64 = 10;
/// Wait of one watch of the platform's list of VMs.
const LIST_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// Pause after a failed read of that list.
const LIST_PAUSE: TimeSpan = TimeSpan::from_secs(5);
/// A tick that comes later than this finds that the process was paused.
const PAUSE_LIMIT: TimeSpan = TimeSpan::from_secs(1);

/// Payload of membership messages that tells who took a ticket window over.
const IMPORT_PAYLOAD: u8 = 1;
/// Windows whose successors are remembered.
const SUCCESSOR_LIMIT: usize = 4_096;

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Declared name.
    pub node: NodeName,
    /// Failure domain.
    pub domain: DomainName,
    /// This run.
    pub incarnation: IncarnationNumber,
}

/// What the fleet actor needs from the rest of the node.
pub struct FleetParts {
    /// Who this process is.
    pub identity: NodeIdentity,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Events of the process.
    pub journal: EventJournal,
    /// Messages to other nodes.
    pub peers: PeerClient,
    /// The platform.
    pub platform: PlatformClient,
    /// Reads targets.
    pub probe: Arc<dyn TargetProbe>,
    /// The fleet as the node knows it, for the rest of the node.
    pub view: ViewCell,
    /// The scheduling actor.
    pub sched: SchedHandle,
    /// The actor of tickets and keys.
    pub claims: ClaimHandle,
    /// Addresses of nodes to ask before the platform answers.
    pub seeds: Vec<SocketAddr>,
    /// Told when a later run of this node's name exists.
    pub superseded: mpsc::Sender<IncarnationNumber>,
}

struct ProbeState {
    due: ClockTime,
    running: bool,
    failures: u32,
}

/// Owns membership, revisions and the state of the targets.
pub struct FleetActor {
    parts: FleetParts,
    member: MemberTable,
    revision: RevisionView,
    calls: BTreeMap<u64, AbortHandle>,
    probes: BTreeMap<TargetName, ProbeState>,
    fresh_reports: Vec<TargetNote>,
    /// Targets whose health changed since the last note.
    changed_health: Vec<TargetName>,
    notes: u64,
    next_note: ClockTime,
    list_watch: Option<JoinHandle<()>>,
    list_index: u64,
    list_read: bool,
    next_list: ClockTime,
    seeds: BTreeMap<NodeName, DomainName>,
    successors: BTreeMap<OwnerId, OwnerId>,
    ticked_at: Option<ClockTime>,
    published: Vec<TargetInfo>,
    ready: bool,
    own: Option<WeakAddress<Self>>,
}

/// State of the fleet for operators.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    /// Revisions.
    pub revision: RevisionStatus,
    /// Nodes of the own domain.
    pub nodes: Vec<member::NodeView>,
    /// Other domains and whether they can be reached.
    pub domains: Vec<(DomainName, bool)>,
    /// How far the membership view can be relied on.
    pub view_state: member::ViewState,
}

/// Lets time pass.
pub struct TickFleet;
/// Takes a membership message.
pub struct TakeMember {
    pub from: NodeName,
    pub incarnation: IncarnationNumber,
    pub message: MemberMessage,
}
/// Takes the revision of a peer.
pub struct TakeRevision {
    pub from: NodeName,
    pub digest: RevisionDigest,
}
/// Asks for keys of a revision.
pub struct AnswerPull {
    pub request: PullRequest,
}
/// Takes load and health that a peer read.
pub struct TakeNote {
    pub from: NodeName,
    pub note: LoadNote,
}
/// Announces a planned stop.
pub struct LeaveFleet;
/// Asks for the state of the fleet.
pub struct ReadFleet;
/// Asks for a probe of a target now.
pub struct ProbeTarget {
    pub target: TargetName,
}
/// Asks where a node is.
pub struct FindNode {
    pub node: NodeName,
}
/// Asks for live nodes of other domains, for calls that the own domain can't serve.
pub struct FindFarNodes;

/// Tells the domain that this process took a window over.
pub struct TellImport {
    pub owner: OwnerId,
}
/// Asks which process took the window of `owner` over.
pub struct FindSuccessor {
    pub owner: OwnerId,
}

struct PullAnswered {
    pull: u64,
    answer: Option<PullAnswer>,
}
struct HeadRead {
    call: u64,
    answer: Result<PlatformHeadAnswer, PlatformFailure>,
}
struct KeysRead {
    call: u64,
    answer: Result<Vec<KeyText>, PlatformFailure>,
}
struct NodesRead {
    answer: Result<(u64, Vec<PlatformEntry>), PlatformFailure>,
}
struct SeedAnswered {
    address: SocketAddr,
    node: NodeName,
    domain: DomainName,
}
struct TargetProbed {
    target: TargetName,
    result: ProbeResult,
}

/// What a probe of a target found.
#[derive(Clone, Debug)]
pub enum ProbeResult {
    /// An engine answered.
    Engine {
        /// Health of the engine.
        health: EngineHealth,
        /// Load of the engine.
        report: LoadReport,
    },
    /// An instance of a plain service answered.
    Service {
        /// Whether it is about to be taken away.
        leaving: bool,
        /// Run of the service.
        incarnation: IncarnationNumber,
    },
    /// Its host refused the connection.
    Refused,
    /// No answer in time.
    Failed,
}

impl FleetActor {
    /// Creates the actor of one run of a node.
    pub fn new(parts: FleetParts, revision: RevisionSettings) -> Self {
        let identity = &parts.identity;
        let seed = identity.incarnation.0;
        let (node, domain) = (identity.node.clone(), identity.domain.clone());
        let settings = MemberSettings::new(node.clone(), domain.clone(), identity.incarnation);
        Self {
            member: MemberTable::new(settings, seed),
            revision: RevisionView::new(node, domain, revision, seed),
            calls: BTreeMap::new(),
            probes: BTreeMap::new(),
            fresh_reports: Vec::new(),
            changed_health: Vec::new(),
            notes: 0,
            next_note: ClockTime::ZERO,
            list_watch: None,
            list_index: 0,
            list_read: false,
            next_list: ClockTime::ZERO,
            seeds: BTreeMap::new(),
            successors: BTreeMap::new(),
            ticked_at: None,
            published: Vec::new(),
            ready: false,
            own: None,
            parts,
        }
    }

    fn now(&self) -> ClockTime {
        self.parts.clock.now()
    }

    fn note(&self, kind: EventKind, detail: impl AsRef<str>) {
        self.parts.journal.note(kind, detail);
    }

    /// Runs `work` in a task and sends its result to this actor.
    fn spawn_for<M, F>(&self, work: F) -> Option<AbortHandle>
    where
        M: Send + 'static,
        F: Future<Output = M> + Send + 'static,
        Self: Handler<M, Return = ()>,
    {
        let address = self.own.clone()?;
        let task = tokio::spawn(async move {
            let message = work.await;
            // The actor is gone once the node has stopped.
            let _ = address.send(message).detach().await;
        });
        Some(task.abort_handle())
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.ticked_at.is_some_and(|last| now - last > PAUSE_LIMIT) {
            self.note(
                EventKind::NodeResumed,
                "membership and revision are compared afresh",
            );
        }
        self.ticked_at = Some(now);
        let mut actions = Vec::new();
        self.member.on_tick(now, &mut actions);
        self.carry_out_member(actions);
        self.tell_peers();
        let reader = self.is_reader();
        let mut actions = self.revision.on_reader(now, reader);
        actions.extend(self.revision.on_tick(now));
        self.carry_out_revision(actions);
        self.watch_list(reader);
        self.probe_targets();
        self.send_note();
        self.publish_ready();
    }

    fn publish_ready(&mut self) {
        let ready = self.revision.is_ready();
        if self.ready != ready {
            self.ready = ready;
            self.parts.view.edit(|view| view.ready = ready);
        }
    }

    /// Two readers a domain; a node that is not yet ready reads the platform for itself.
    fn is_reader(&self) -> bool {
        let identity = &self.parts.identity;
        let readers = self.member.elect_readers(&identity.domain, READERS);
        readers.contains(&identity.node)
    }

    /// Gives the revision view the live nodes that it may talk to.
    fn tell_peers(&mut self) {
        let own = &self.parts.identity;
        let mut peers = Vec::new();
        for (domain, reachable) in self.member.domains() {
            let nodes = match domain == own.domain {
                true => self.member.live_nodes(&domain),
                false if reachable => self.member.bridges(&domain),
                false => Vec::new(),
            };
            let limit = match domain == own.domain {
                true => usize::MAX,
                false => FAR_PEERS,
            };
            let others = nodes.into_iter().filter(|node| *node != own.node);
            peers.extend(
                others
                    .take(limit)
                    .map(|node| FleetPeer::new(node, domain.clone())),
            );
        }
        for (node, domain) in &self.seeds {
            if !peers.iter().any(|peer| peer.node == *node) {
                peers.push(FleetPeer::new(node.clone(), domain.clone()));
            }
        }
        peers.sort_unstable();
        let actions = self.revision.on_peers(self.now(), &peers);
        self.carry_out_revision(actions);
    }

    fn carry_out_member(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            self.carry_out_member_action(action);
        }
    }

    fn carry_out_member_action(&mut self, action: MemberAction) {
        match action {
            MemberAction::Send { to, message } => {
                self.learn_address(&to);
                self.parts
                    .peers
                    .tell(to, PeerBody::Member(Box::new(message)));
            }
            MemberAction::Changed {
                node,
                state,
                incarnation,
                ..
            } => {
                self.learn_address(&node);
                let kind = match state {
                    NodeState::Alive => EventKind::PeerAlive,
                    NodeState::Suspect => EventKind::PeerSuspect,
                    NodeState::Leaving => EventKind::PeerLeaving,
                    NodeState::Dead => EventKind::PeerDead,
                };
                self.note(kind, format!("{node} run {incarnation}"));
            }
            MemberAction::Removed { node } => self.parts.claims.node_gone(node),
            MemberAction::TargetChanged {
                target,
                domain,
                state,
                ..
            } => {
                self.change_target(&target, &domain, state);
            }
            MemberAction::LinkBroken { node } => {
                self.note(EventKind::PeerLinkBroken, node.as_str());
            }
            MemberAction::LinkRestored { node } => {
                self.note(EventKind::PeerRestored, node.as_str());
            }
            MemberAction::DomainChanged { domain, reachable } => {
                let kind = match reachable {
                    true => EventKind::DomainFound,
                    false => EventKind::DomainLost,
                };
                self.note(kind, domain.as_str());
            }
            // Peers push their digests themselves, and pulls follow from those.
            MemberAction::RevisionSeen { .. } => {}
            MemberAction::Payload { kind, bytes, .. } => self.take_payload(kind, &bytes),
            MemberAction::Superseded { incarnation } => {
                self.note(EventKind::NodeSuperseded, format!("run {incarnation}"));
                // The node stops at the first such message.
                let _ = self.parts.superseded.try_send(incarnation);
            }
            MemberAction::ViewChanged { state } => {
                self.note(EventKind::ViewChanged, state.to_string());
            }
        }
    }

    /// Notes which process took a ticket window over.
    fn take_payload(&mut self, kind: u8, bytes: &[u8]) {
        if kind != IMPORT_PAYLOAD {
            return;
        }
        if let Ok((owner, successor)) = rmp_serde::from_slice::<(OwnerId, OwnerId)>(bytes) {
            if self.successors.len() >= SUCCESSOR_LIMIT {
                self.successors.pop_first();
            }
            self.successors.insert(owner, successor);
        }
    }

    /// A node of the same domain as `node`, if that is not the own domain.
    fn find_substitute(&self, node: &NodeName) -> Option<OwnerId> {
        let known = self.member.node(node)?;
        if known.domain == self.parts.identity.domain {
            return None;
        }
        let live = self.member.live_nodes(&known.domain);
        let other = live.into_iter().find(|name| name != node)?;
        let run = self.member.node(&other)?.incarnation;
        self.learn_address(&other);
        Some(OwnerId::new(other, run))
    }

    fn learn_address(&self, node: &NodeName) {
        let known = self.member.node(node).and_then(|view| view.address);
        if let Some(address) = known {
            self.parts.peers.book().set(node.clone(), address);
        }
    }

    fn carry_out_revision(&mut self, actions: Vec<RevisionAction>) {
        for action in actions {
            self.carry_out_revision_action(action);
        }
    }

    fn carry_out_revision_action(&mut self, action: RevisionAction) {
        match action {
            RevisionAction::Announce { to, digest } => {
                self.learn_address(&to);
                self.parts.peers.tell(to, PeerBody::Digest(digest));
            }
            RevisionAction::Pull { to, pull, request } => self.pull(to, pull, request),
            RevisionAction::ReadHead { call, index } => {
                let platform = self.parts.platform.clone();
                let read = async move {
                    let answer = platform.read_head(index, LIST_WAIT).await;
                    HeadRead { call, answer }
                };
                let task = self.spawn_for(read);
                self.calls.extend(task.map(|task| (call, task)));
            }
            RevisionAction::ReadKeys { call, scope } => {
                let platform = self.parts.platform.clone();
                let read = async move {
                    let answer = platform.read_keys(&scope).await;
                    KeysRead { call, answer }
                };
                let task = self.spawn_for(read);
                self.calls.extend(task.map(|task| (call, task)));
            }
            RevisionAction::StopCall { call } => {
                if let Some(task) = self.calls.remove(&call) {
                    task.abort();
                }
            }
            RevisionAction::Accepted {
                stamp,
                declaration,
                source,
            } => self.put_in_effect(stamp, declaration, &source),
            RevisionAction::Rejected {
                stamp, mistakes, ..
            } => {
                let first = mistakes
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                let detail = format!("{stamp}: {} mistakes, first: {first}", mistakes.len());
                self.note(EventKind::RevisionRejected, detail);
            }
            RevisionAction::Ignored { stamp, source } => {
                self.note(
                    EventKind::RevisionIgnored,
                    format!("{stamp} from {source:?}"),
                );
            }
            RevisionAction::PlatformLost => self.note(EventKind::PlatformLost, ""),
            RevisionAction::PlatformFound => self.note(EventKind::PlatformFound, ""),
            RevisionAction::Ready { basis } => {
                self.note(EventKind::NodeReady, basis.to_string());
            }
        }
    }

    fn pull(&mut self, to: NodeName, pull: u64, request: PullRequest) {
        self.learn_address(&to);
        let peers = self.parts.peers.clone();
        self.spawn_for(async move {
            let reply = peers.ask(&to, PeerBody::Pull(request)).await;
            let answer = match reply {
                Ok(PeerReply::Pulled(answer)) => Some(answer),
                _ => None,
            };
            PullAnswered { pull, answer }
        });
    }

    fn put_in_effect(
        &mut self,
        stamp: RevisionStamp,
        declaration: Arc<FleetDeclaration>,
        source: &SetSource,
    ) {
        let now = self.now();
        self.note(
            EventKind::RevisionAccepted,
            format!("{stamp} from {source:?}"),
        );
        let nodes: Vec<DeclaredNode> = declaration
            .nodes
            .iter()
            .map(|node| DeclaredNode {
                node: node.name.clone(),
                domain: node.domain.clone(),
                address: node.peer_address,
            })
            .collect();
        for node in &nodes {
            self.parts.peers.book().set(node.node.clone(), node.address);
        }
        let targets: Vec<TargetName> = declaration
            .targets
            .iter()
            .map(|target| target.name.clone())
            .collect();
        let mut actions = Vec::new();
        self.member.on_declared(now, &nodes, &mut actions);
        self.member.on_declared_targets(now, &targets);
        self.member.set_revision(stamp.revision, stamp.head_check);
        let names = nodes.into_iter().map(|node| node.node).collect();
        self.parts.claims.set_revision(stamp.revision, names);
        self.replace_targets(now, stamp, declaration);
        self.carry_out_member(actions);
    }

    /// Keeps the state of the targets that are still declared.
    fn replace_targets(
        &mut self,
        now: ClockTime,
        stamp: RevisionStamp,
        declaration: Arc<FleetDeclaration>,
    ) {
        let own = &self.parts.identity.domain;
        let old = self.parts.view.get();
        let targets: Vec<TargetView> = declaration
            .targets
            .iter()
            .filter(|target| target.domain == *own)
            .map(|target| {
                let known = old.target(&target.name).cloned();
                known.unwrap_or_else(|| TargetView::new(target.name.clone(), now))
            })
            .collect();
        self.probes.retain(|name, _| {
            targets
                .binary_search_by(|target| target.target.cmp(name))
                .is_ok()
        });
        for target in &targets {
            self.probes
                .entry(target.target.clone())
                .or_insert(ProbeState {
                    due: now,
                    running: false,
                    failures: 0,
                });
        }
        self.parts.view.edit(|view| {
            view.revision = Some(stamp.revision);
            view.fleet = Some(declaration);
            view.targets = targets;
        });
        self.publish_targets();
    }

    fn change_target(&mut self, target: &TargetName, domain: &DomainName, state: TargetState) {
        if *domain != self.parts.identity.domain {
            return;
        }
        let phase = match state {
            TargetState::Alive => TargetPhase::Up,
            TargetState::Leaving | TargetState::Reclaimed => TargetPhase::Leaving,
            TargetState::Dead => TargetPhase::Down,
        };
        self.edit_target(target, |entry, now| entry.set_phase(phase, now));
    }

    /// Changes the state of a target; `change` tells whether it made a difference.
    fn edit_target(
        &mut self,
        target: &TargetName,
        change: impl FnOnce(&mut TargetView, ClockTime) -> bool,
    ) {
        let now = self.now();
        let view = self.parts.view.get();
        let found = view
            .targets
            .binary_search_by(|entry| entry.target.cmp(target));
        let Ok(at) = found else {
            return;
        };
        let mut entry = view.targets[at].clone();
        let before = entry.phase;
        if !change(&mut entry, now) {
            return;
        }
        if entry.phase != before {
            let kind = match entry.phase {
                TargetPhase::Up => EventKind::TargetUp,
                TargetPhase::Leaving => EventKind::TargetLeaving,
                TargetPhase::Down | TargetPhase::Unknown => EventKind::TargetDown,
            };
            self.note(kind, target.as_str());
        }
        if !self.changed_health.contains(target) {
            self.changed_health.push(target.clone());
        }
        self.parts.view.edit(|view| view.targets[at] = entry);
        self.publish_targets();
    }

    /// Tells the policy which targets are there and whether they may get work.
    fn publish_targets(&mut self) {
        let view = self.parts.view.get();
        let infos: Vec<TargetInfo> = view
            .targets
            .iter()
            .map(|entry| TargetInfo {
                target: entry.target.clone(),
                domain: self.parts.identity.domain.clone(),
                usable: entry.phase == TargetPhase::Up,
                weight_bytes: weight_of(&view.fleet, entry),
            })
            .collect();
        if self.published == infos {
            return;
        }
        self.published.clone_from(&infos);
        self.parts.sched.set_targets(infos);
    }

    fn watch_list(&mut self, reader: bool) {
        let now = self.now();
        let running = self
            .list_watch
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if running || now < self.next_list || (!reader && self.list_read) {
            return;
        }
        self.ask_seeds();
        let Some(address) = self.own.clone() else {
            return;
        };
        let platform = self.parts.platform.clone();
        let index = self.list_index;
        self.next_list = now + LIST_PAUSE;
        self.list_watch = Some(tokio::spawn(async move {
            let answer = platform.read_nodes(index, LIST_WAIT).await;
            // The actor is gone once the node has stopped.
            let _ = address.send(NodesRead { answer }).detach().await;
        }));
    }

    /// Asks the nodes of the settings who they are, until a declaration names all nodes.
    fn ask_seeds(&mut self) {
        if self.revision.accepted().is_some() {
            return;
        }
        for address in self.parts.seeds.clone() {
            let peers = self.parts.peers.clone();
            let Some(own) = self.own.clone() else {
                return;
            };
            let anyone = self.parts.identity.node.clone();
            tokio::spawn(async move {
                let reply = peers.ask_address(address, &anyone, PeerBody::Hello).await;
                if let Ok(PeerReply::Hello(hello)) = reply {
                    let answered = SeedAnswered {
                        address,
                        node: hello.node,
                        domain: hello.domain,
                    };
                    // The actor is gone once the node has stopped.
                    let _ = own.send(answered).detach().await;
                }
            });
        }
    }

    fn probe_targets(&mut self) {
        let now = self.now();
        let due: Vec<TargetName> = self
            .probes
            .iter()
            .filter(|(_, probe)| !probe.running && probe.due <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for target in due {
            self.probe_if_owner(target, now);
        }
    }

    fn probe_if_owner(&mut self, target: TargetName, now: ClockTime) {
        let own = &self.parts.identity;
        let live = self.member.live_nodes(&own.domain);
        let key = format!("probe/{target}");
        let ranked = base::rank_owners(&key, live.iter().map(NodeName::as_str));
        let rank = ranked
            .iter()
            .take(PROBERS)
            .position(|name| *name == own.node.as_str());
        let Some(probe) = self.probes.get_mut(&target) else {
            return;
        };
        match rank {
            None => probe.due = now + PROBE_PERIOD,
            Some(0) => {
                probe.due = now + PROBE_PERIOD;
                self.start_probe(target);
            }
            Some(_) => {
                probe.due = now + SECOND_PERIOD;
                self.start_probe(target);
            }
        }
    }

    fn start_probe(&mut self, target: TargetName) {
        let view = self.parts.view.get();
        let Some(fleet) = &view.fleet else {
            return;
        };
        let Some(declared) = fleet.target(&target) else {
            return;
        };
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.running = true;
        }
        let reader = self.parts.probe.clone();
        let (kind, address) = (declared.kind, declared.address);
        self.spawn_for(async move {
            let result = reader.probe(target.clone(), kind, address).await;
            TargetProbed { target, result }
        });
    }

    fn take_probe(&mut self, target: TargetName, result: ProbeResult) {
        let Some(probe) = self.probes.get_mut(&target) else {
            return;
        };
        probe.running = false;
        let (incarnation, state) = match &result {
            ProbeResult::Engine { health, .. } => {
                (Some(health.incarnation), phase_state(health.leaving))
            }
            ProbeResult::Service {
                leaving,
                incarnation,
            } => (Some(*incarnation), phase_state(*leaving)),
            ProbeResult::Refused => (None, TargetState::Dead),
            ProbeResult::Failed => {
                probe.failures += 1;
                if probe.failures < PROBE_FAILURES {
                    return;
                }
                (None, TargetState::Dead)
            }
        };
        if state != TargetState::Dead {
            probe.failures = 0;
        }
        if let ProbeResult::Engine { health, report } = result {
            self.take_health(&target, &health);
            self.queue_report(&target, &report);
            self.parts.sched.take_report(report);
        }
        self.observe(target, incarnation, state);
    }

    fn observe(
        &mut self,
        target: TargetName,
        incarnation: Option<IncarnationNumber>,
        state: TargetState,
    ) {
        let now = self.now();
        let observation = TargetObservation {
            target: target.clone(),
            domain: self.parts.identity.domain.clone(),
            incarnation,
            state,
            source: ObservationSource::Health,
        };
        let mut actions = Vec::new();
        self.member
            .on_target_observed(now, &observation, &mut actions);
        self.carry_out_member(actions);
        // A first observation that agrees with the table changes nothing there.
        let domain = self.parts.identity.domain.clone();
        if let Some(known) = self.member.target(&domain, &target) {
            self.change_target(&target, &domain, known.state);
        }
    }

    fn take_health(&mut self, target: &TargetName, health: &EngineHealth) {
        let previous = self.parts.view.get();
        let old = previous
            .target(target)
            .and_then(|entry| entry.health.as_ref());
        if let Some(old) = old
            && old.incarnation != health.incarnation
        {
            // The earlier run is gone, with whatever ran there.
            let died = Some(old.incarnation);
            self.parts.sched.note_failure(target.clone(), died);
        }
        self.edit_target(target, |entry, now| {
            let changed = entry.health.as_ref() != Some(health);
            entry.observed_at = now;
            if changed {
                entry.health = Some(health.clone());
            }
            changed
        });
    }

    fn queue_report(&mut self, target: &TargetName, report: &LoadReport) {
        let note = TargetNote {
            target: target.clone(),
            // Filled in when the note is sent.
            age_ms: u32::try_from(report.measured_at.as_millis()).unwrap_or(u32::MAX),
            figures: [
                report.running,
                report.waiting,
                report.used_pages,
                report.cached_pages,
                report.total_pages,
                report.page_tokens,
            ],
            preemptions: report.preemptions,
            health: None,
        };
        self.fresh_reports.retain(|old| old.target != *target);
        self.fresh_reports.push(note);
    }

    /// Sends what this node read of its targets to the peers of the domain.
    fn send_note(&mut self) {
        let now = self.now();
        if now < self.next_note {
            return;
        }
        let own = &self.parts.identity;
        let live = self.member.live_nodes(&own.domain);
        let peers: Vec<NodeName> = live.into_iter().filter(|name| *name != own.node).collect();
        let spread = NOTE_PER_PEER * peers.len() as u64;
        self.next_note = now + NOTE_PERIOD.max(spread);
        self.notes += 1;
        let note = self.make_note(now);
        if note.targets.is_empty() {
            return;
        }
        for peer in peers {
            self.learn_address(&peer);
            self.parts.peers.tell(peer, PeerBody::Load(note.clone()));
        }
    }

    fn make_note(&mut self, now: ClockTime) -> LoadNote {
        let repeat = self.notes.is_multiple_of(HEALTH_REPEAT);
        let view = self.parts.view.get();
        let changed = std::mem::take(&mut self.changed_health);
        let mut targets = std::mem::take(&mut self.fresh_reports);
        for note in &mut targets {
            let measured = ClockTime::new(u64::from(note.age_ms));
            note.age_ms = u32::try_from((now - measured).as_millis()).unwrap_or(u32::MAX);
            if !repeat && !changed.contains(&note.target) {
                continue;
            }
            note.health = view.target(&note.target).map(|entry| HealthNote {
                phase: entry.phase,
                health: entry.health.clone(),
            });
        }
        LoadNote {
            sequence: self.notes,
            in_flight: Vec::new(),
            targets,
        }
    }

    fn take_note(&mut self, note: LoadNote) {
        let now = self.now();
        for target in note.targets {
            let age = u64::from(target.age_ms);
            let measured_at = ClockTime::new(now.as_millis().saturating_sub(age));
            self.take_target_note(target, measured_at);
        }
    }

    fn take_target_note(&mut self, note: TargetNote, measured_at: ClockTime) {
        let [
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
        ] = note.figures;
        let report = LoadReport {
            target: note.target.clone(),
            measured_at,
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
            preemptions: note.preemptions,
        };
        self.parts.sched.take_report(report);
        let Some(HealthNote { health, phase }) = note.health else {
            return;
        };
        let known = self.parts.view.get();
        let known = known.target(&note.target);
        let newer = known.is_some_and(|entry| measured_at >= entry.observed_at);
        let unknown = known.is_some_and(|entry| entry.phase == TargetPhase::Unknown);
        let incarnation = health.as_ref().map(|health| health.incarnation);
        if let Some(health) = health.filter(|_| newer) {
            self.take_health(&note.target, &health);
        }
        if unknown && phase == TargetPhase::Up {
            self.observe(note.target, incarnation, TargetState::Alive);
        }
    }
}

fn phase_state(leaving: bool) -> TargetState {
    match leaving {
        true => TargetState::Leaving,
        false => TargetState::Alive,
    }
}

fn weight_of(fleet: &Option<Arc<FleetDeclaration>>, entry: &TargetView) -> base::ByteCount {
    let (Some(fleet), Some(health)) = (fleet, &entry.health) else {
        return base::ByteCount(0);
    };
    let sizes = health
        .loaded
        .iter()
        .filter_map(|loaded| fleet.model(&loaded.model));
    base::ByteCount(sizes.map(|model| model.weight_bytes.0).sum())
}

impl xtra::Actor for FleetActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {
        for task in self.calls.into_values() {
            task.abort();
        }
        if let Some(task) = self.list_watch {
            task.abort();
        }
    }
}

impl Handler<TickFleet> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: TickFleet, _: &mut Context<Self>) {
        self.tick();
    }
}

impl Handler<TakeMember> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeMember, _: &mut Context<Self>) {
        let now = self.now();
        let revision = message.message.header.revision;
        self.parts
            .claims
            .peer_revision(message.from.clone(), revision);
        let mut actions = Vec::new();
        self.member
            .on_message(now, &message.from, message.message, &mut actions);
        self.carry_out_member(actions);
    }
}

impl Handler<TakeRevision> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeRevision, _: &mut Context<Self>) {
        let actions = self
            .revision
            .on_digest(self.now(), &message.from, &message.digest);
        self.carry_out_revision(actions);
    }
}

impl Handler<AnswerPull> for FleetActor {
    type Return = PullAnswer;

    async fn handle(&mut self, message: AnswerPull, _: &mut Context<Self>) -> PullAnswer {
        self.revision.answer_pull(self.now(), &message.request)
    }
}

impl Handler<PullAnswered> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: PullAnswered, _: &mut Context<Self>) {
        let answer = message.answer.as_ref();
        let actions = self
            .revision
            .on_pull_answer(self.now(), message.pull, answer);
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<HeadRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: HeadRead, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.calls.remove(&call);
        let actions = match message.answer {
            Ok(answer) => self.revision.on_head(now, call, &answer),
            Err(_) => self.revision.on_platform_failed(now, call),
        };
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<KeysRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: KeysRead, _: &mut Context<Self>) {
        let (now, call) = (self.now(), message.call);
        self.calls.remove(&call);
        let actions = match message.answer {
            Ok(keys) => self.revision.on_keys(now, call, &keys),
            Err(_) => self.revision.on_platform_failed(now, call),
        };
        self.carry_out_revision(actions);
        self.publish_ready();
    }
}

impl Handler<NodesRead> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: NodesRead, _: &mut Context<Self>) {
        let Ok((index, nodes)) = message.answer else {
            return;
        };
        let now = self.now();
        self.list_index = index;
        self.list_read = true;
        self.next_list = now;
        let mut actions = Vec::new();
        let lag = TimeSpan::from_secs(30);
        self.member.on_platform_list(now, &nodes, lag, &mut actions);
        for node in &nodes {
            self.learn_address(&node.node);
        }
        self.carry_out_member(actions);
    }
}

impl Handler<SeedAnswered> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: SeedAnswered, _: &mut Context<Self>) {
        if message.node == self.parts.identity.node {
            return;
        }
        self.parts
            .peers
            .book()
            .set(message.node.clone(), message.address);
        self.seeds.insert(message.node, message.domain);
        self.tell_peers();
    }
}

impl Handler<TargetProbed> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TargetProbed, _: &mut Context<Self>) {
        self.take_probe(message.target, message.result);
    }
}

impl Handler<ProbeTarget> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: ProbeTarget, _: &mut Context<Self>) {
        let running = self
            .probes
            .get(&message.target)
            .is_none_or(|probe| probe.running);
        if !running {
            self.start_probe(message.target);
        }
    }
}

impl Handler<TakeNote> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TakeNote, _: &mut Context<Self>) {
        self.take_note(message.note);
    }
}

impl Handler<LeaveFleet> for FleetActor {
    type Return = ();

    async fn handle(&mut self, _: LeaveFleet, _: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.member.leave(self.now(), &mut actions);
        self.carry_out_member(actions);
    }
}

impl Handler<ReadFleet> for FleetActor {
    type Return = FleetStatus;

    async fn handle(&mut self, _: ReadFleet, _: &mut Context<Self>) -> FleetStatus {
        FleetStatus {
            revision: self.revision.status(self.now()),
            nodes: self.member.nodes(&self.parts.identity.domain),
            domains: self.member.domains(),
            view_state: self.member.view_state(),
        }
    }
}

impl Handler<FindNode> for FleetActor {
    type Return = Option<member::NodeView>;

    async fn handle(
        &mut self,
        message: FindNode,
        _: &mut Context<Self>,
    ) -> Option<member::NodeView> {
        self.learn_address(&message.node);
        self.member.node(&message.node)
    }
}

impl Handler<TellImport> for FleetActor {
    type Return = ();

    async fn handle(&mut self, message: TellImport, _: &mut Context<Self>) {
        let identity = &self.parts.identity;
        let own = OwnerId::new(identity.node.clone(), identity.incarnation);
        let news = (message.owner.clone(), own.clone());
        self.successors.insert(message.owner, own);
        if let Ok(bytes) = rmp_serde::to_vec(&news) {
            self.member.publish_payload(IMPORT_PAYLOAD, bytes);
        }
    }
}

impl Handler<FindSuccessor> for FleetActor {
    type Return = Option<OwnerId>;

    async fn handle(&mut self, message: FindSuccessor, _: &mut Context<Self>) -> Option<OwnerId> {
        if let Some(successor) = self.successors.get(&message.owner) {
            let successor = successor.clone();
            self.learn_address(&successor.node);
            return Some(successor);
        }
        let known = self.member.node(&message.owner.node)?;
        let running = known.incarnation == message.owner.incarnation
            && matches!(known.state, NodeState::Alive | NodeState::Suspect);
        // Only the nodes of its own domain know who took the window of a stopped node over.
        (!running).then(|| self.find_substitute(&message.owner.node))?
    }
}

impl Handler<FindFarNodes> for FleetActor {
    type Return = Vec<NodeName>;

    async fn handle(&mut self, _: FindFarNodes, _: &mut Context<Self>) -> Vec<NodeName> {
        let own = &self.parts.identity.domain;
        let domains = self.member.domains();
        let others = domains.into_iter().filter(|(name, up)| name != own && *up);
        let nodes = others.flat_map(|(name, _)| self.member.live_nodes(&name));
        let nodes: Vec<NodeName> = nodes.collect();
        for node in &nodes {
            self.learn_address(node);
        }
        nodes
    }
}
