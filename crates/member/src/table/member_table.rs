use base::{ClockTime, DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::member::{NodeRecord, NodeState, PayloadRecord, TargetRecord};

use super::{MemberAction, NodeSnapshot, TargetSnapshot, ViewState};
use crate::gossip::RumorQueue;
use crate::probe::{LocalHealth, PendingProbe, ProbeOrder};
use crate::settings::MemberSettings;
use crate::target_state;
use crate::view::{DomainView, FleetView, LinkState, NodeEntry, SyncScope};

/// The membership state machine of one node: takes messages, observations and the time, returns
/// actions.
///
/// Call `on_tick` every 50 ms to 100 ms and carry out the actions in order.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use member::{DeclaredNode, MemberAction, MemberSettings, MemberTable, NodeState};
///
/// let declared: Vec<DeclaredNode> = ["balaju-1", "balaju-2"]
///     .map(|name| DeclaredNode {
///         node: name.parse().unwrap(),
///         domain: "balaju".parse().unwrap(),
///         address: "127.0.0.1:9000".parse().unwrap(),
///     })
///     .to_vec();
/// let mut tables: Vec<MemberTable> = (0..2)
///     .map(|index| {
///         let node = declared[index].node.clone();
///         let run = IncarnationNumber(1);
///         let settings = MemberSettings::new(node, declared[index].domain.clone(), run);
///         MemberTable::new(settings, index as u64)
///     })
///     .collect();
/// let mut now = ClockTime::ZERO;
/// for table in &mut tables {
///     table.on_declared_nodes(now, &declared, &mut Vec::new());
/// }
/// for step in 0..40 {
///     now = ClockTime::new(step * 50);
///     for sender in 0..2 {
///         let mut actions = Vec::new();
///         tables[sender].on_tick(now, &mut actions);
///         while let Some(action) = actions.pop() {
///             let MemberAction::Send { message, .. } = action else { continue };
///             let from = declared[sender].node.clone();
///             let mut answers = Vec::new();
///             tables[1 - sender].on_message(now, &from, message, &mut answers);
///             for answer in answers {
///                 let MemberAction::Send { message, .. } = answer else { continue };
///                 let from = declared[1 - sender].node.clone();
///                 tables[sender].on_message(now, &from, message, &mut actions);
///             }
///         }
///     }
/// }
/// assert_eq!(tables[0].node(&declared[1].node).unwrap().state, NodeState::Alive);
/// ```
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) settings: MemberSettings,
    pub(super) random: Pcg64Mcg,
    pub(super) view: FleetView,
    pub(super) view_state: ViewState,
    /// Start of the wait for a peer that confirms the view: the first tick or the last pause.
    pub(super) unconfirmed_since: ClockTime,
    /// When a record last changed.
    pub(super) view_changed_at: ClockTime,
    /// Since when the digests of peers differ from this node's.
    pub(super) mismatch_since: Option<ClockTime>,
    pub(super) local_health: LocalHealth,
    pub(super) probe_order: ProbeOrder,
    /// Node whose link may be broken; it is probed next.
    pub(super) recheck_node: Option<NodeName>,
    /// Counts probes, to choose those that go to the successor.
    pub(super) probe_turn: u32,
    pub(super) pending_probes: Vec<PendingProbe>,
    /// Suspected nodes, and when each is declared dead.
    pub(super) suspicions: Vec<(NodeName, ClockTime)>,
    pub(super) rumors: RumorQueue,
    pub(super) payloads: Vec<PayloadRecord>,
    /// Last number given to a probe, a sync or a payload.
    pub(super) sequence: u64,
    pub(super) revision: RevisionNumber,
    pub(super) revision_digest: u64,
    pub(super) last_tick: Option<ClockTime>,
    pub(super) next_probe: ClockTime,
    pub(super) next_reconnect: ClockTime,
    pub(super) next_push: ClockTime,
    /// Whether urgent rumours wait for the next push.
    pub(super) push_pending: bool,
    pub(super) next_sync: ClockTime,
    /// Number and start of the running sync.
    pub(super) current_sync: Option<(u64, ClockTime)>,
    /// Start of the second in which `sync_answers` are counted.
    pub(super) sync_answers_since: ClockTime,
    pub(super) sync_answers: u32,
    pub(super) next_bridge_send: ClockTime,
    pub(super) next_sequence_advance: ClockTime,
    /// Rank of this node among the bridges of its domain; `None` if it is none of them.
    pub(super) bridge_rank: Option<usize>,
    /// Domains that the current round of bridge messages has not reached yet.
    pub(super) remaining_domains: Vec<DomainName>,
    /// Targets of the accepted declaration, sorted; `None` before the first one.
    pub(super) declared_targets: Option<Vec<TargetName>>,
    pub(super) next_target_expiry: ClockTime,
    /// Whether a later run of this node was reported.
    pub(super) superseded: bool,
}

impl MemberTable {
    /// Creates a table that knows only its own node. Tables with equal seeds and inputs return
    /// equal actions.
    pub fn new(settings: MemberSettings, seed: u64) -> Self {
        let start = ClockTime::ZERO;
        let mut view = FleetView::default();
        let entry = view.add_node(start, &settings.node, &settings.domain);
        entry.declared = true;
        view.set_node(NodeRecord {
            node: settings.node.clone(),
            incarnation: settings.incarnation,
            version: 0,
            state: NodeState::Alive,
        });
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            view,
            view_state: ViewState::Unconfirmed,
            unconfirmed_since: start,
            view_changed_at: start,
            mismatch_since: None,
            local_health: LocalHealth::default(),
            probe_order: ProbeOrder::default(),
            recheck_node: None,
            probe_turn: seed as u32,
            pending_probes: Vec::new(),
            suspicions: Vec::new(),
            rumors: RumorQueue::default(),
            payloads: Vec::new(),
            sequence: 0,
            revision: RevisionNumber::default(),
            revision_digest: 0,
            last_tick: None,
            next_probe: start,
            next_reconnect: start,
            next_push: start,
            push_pending: false,
            next_sync: start,
            current_sync: None,
            sync_answers_since: start,
            sync_answers: 0,
            next_bridge_send: start,
            next_sequence_advance: start,
            bridge_rank: Some(0),
            remaining_domains: Vec::new(),
            declared_targets: None,
            next_target_expiry: start,
            superseded: false,
            settings,
        }
    }

    /// Runs everything that is due; to be called every 50 ms to 100 ms.
    pub fn on_tick(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.detect_pause(now, actions);
        self.last_tick = Some(now);
        self.expire_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.send_due_probes(now, actions);
        self.send_due_reconnect_probes(now, actions);
        self.run_bridge(now, actions);
        self.expire_sync(now, actions);
        self.expire_targets(now);
        self.push_rumors(now, actions);
    }

    /// Handles a pause of this process: drops the pending probes and extends all timeouts, so that
    /// missing messages of that time do not count against peers, and marks the view unconfirmed.
    ///
    /// The table itself detects pauses longer than `pause_threshold` from the gap between two
    /// ticks.
    pub fn on_resume(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.last_tick = Some(now);
        self.pending_probes.clear();
        self.local_health.worsen(2);
        let new_deadline = now + self.local_health.scale(self.settings.suspicion_timeout);
        for (_, deadline) in &mut self.suspicions {
            *deadline = new_deadline;
        }
        for view in self.view.domains_mut() {
            view.sequence_advanced_at = now;
        }
        self.next_probe = now;
        self.next_reconnect = now;
        self.next_sync = now;
        self.current_sync = None;
        self.unconfirmed_since = now;
        self.set_view_state(ViewState::Unconfirmed, actions);
    }

    /// Announces a planned stop to the peers. The table goes on answering messages until the
    /// process exits.
    pub fn announce_leave(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if !self.settings.features.leave_announcement {
            return;
        }
        let mut record = self.own_record();
        if record.state == NodeState::Leaving {
            return;
        }
        record.version += 1;
        record.state = NodeState::Leaving;
        self.set_own_record(now, record);
        for peer in self.running_peers() {
            self.send_gossip(&peer, actions);
        }
    }

    /// Sets the revision of the declaration that this node accepted; a change is pushed to peers.
    pub fn set_revision(&mut self, revision: RevisionNumber, digest: u64) {
        if (revision, digest) == (self.revision, self.revision_digest) {
            return;
        }
        self.revision = revision;
        self.revision_digest = digest;
        self.push_pending = true;
    }

    /// State of this node's view: how far it may be relied on.
    pub fn view_state(&self) -> ViewState {
        self.view_state
    }

    /// Digest of all records; nodes with equal views have equal digests.
    pub fn view_digest(&self) -> u64 {
        self.view.digest()
    }

    /// Snapshot of a node of any domain.
    pub fn node(&self, node: &NodeName) -> Option<NodeSnapshot> {
        let domain = self.view.domain(self.view.domain_of(node)?)?;
        domain
            .node(node)
            .map(|entry| node_snapshot_of(domain, entry))
    }

    /// Snapshots of the nodes of a domain, sorted by name.
    pub fn nodes(&self, domain: &DomainName) -> Vec<NodeSnapshot> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        view.nodes()
            .iter()
            .map(|entry| node_snapshot_of(view, entry))
            .collect()
    }

    /// Known domains, sorted by name, and whether each can be reached.
    pub fn domains(&self) -> Vec<(DomainName, bool)> {
        let views = self.view.domains().iter();
        views
            .map(|view| (view.name().clone(), !view.record.lost))
            .collect()
    }

    /// Revision in effect in a domain, as reported by its bridges.
    pub fn domain_revision(&self, domain: &DomainName) -> Option<RevisionNumber> {
        let view = self.view.domain(domain)?;
        Some(self.summarise(view, SyncScope::Full).revision)
    }

    /// Snapshot of a target. `None` if it is unknown, or if it belongs to another domain and has
    /// accepted new work for long.
    pub fn target(&self, domain: &DomainName, target: &TargetName) -> Option<TargetSnapshot> {
        let entry = self.view.domain(domain)?.target(target)?;
        Some(target_snapshot_of(&entry.record))
    }

    /// Snapshots of the targets held of a domain, sorted by name.
    pub fn targets(&self, domain: &DomainName) -> Vec<TargetSnapshot> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        view.targets(SyncScope::Full)
            .map(target_snapshot_of)
            .collect()
    }

    /// Run of this process.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.settings.incarnation
    }

    pub(super) fn set_view_state(&mut self, state: ViewState, actions: &mut Vec<MemberAction>) {
        if self.view_state == state {
            return;
        }
        self.view_state = state;
        actions.push(MemberAction::ViewStateChanged { state });
    }

    pub(super) fn own_record(&self) -> NodeRecord {
        let known = self.view.node(&self.settings.node);
        known
            .map(|entry| entry.record.clone())
            .unwrap_or_else(|| NodeRecord {
                node: self.settings.node.clone(),
                incarnation: self.settings.incarnation,
                version: 0,
                state: NodeState::Alive,
            })
    }

    /// Handles a gap between ticks that is longer than `pause_threshold` as a pause.
    fn detect_pause(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let Some(last) = self.last_tick else {
            self.unconfirmed_since = now;
            return;
        };
        let paused = now - last > self.settings.pause_threshold;
        if paused && self.settings.features.local_health {
            self.on_resume(now, actions);
        }
    }
}

fn node_snapshot_of(domain: &DomainView, entry: &NodeEntry) -> NodeSnapshot {
    NodeSnapshot {
        node: entry.record.node.clone(),
        domain: domain.name().clone(),
        incarnation: entry.record.incarnation,
        state: entry.record.state,
        address: entry.address,
        domain_reachable: !domain.record.lost,
        link_broken: entry.link == LinkState::Broken,
        last_heard: entry.last_heard,
    }
}

fn target_snapshot_of(record: &TargetRecord) -> TargetSnapshot {
    TargetSnapshot {
        target: record.target.clone(),
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        state: target_state(record),
    }
}
