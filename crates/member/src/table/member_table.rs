use base::{ClockTime, DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::member::{NodeRecord, NodeState, PayloadRecord, TargetRecord};

use super::{MemberAction, NodeView, TargetView, ViewState};
use crate::gossip::RumorQueue;
use crate::probe::{LocalHealth, PendingProbe, ProbeRing};
use crate::settings::MemberSettings;
use crate::target_state;
use crate::view::{DomainView, FleetView, LinkState, NodeEntry, TableScope};

/// Membership as one node sees it: messages and time in, actions out.
///
/// Call `on_tick` every 50 ms to 100 ms and carry out the actions in their order.
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
///     .map(|place| {
///         let node = declared[place].node.clone();
///         let run = IncarnationNumber(1);
///         let settings = MemberSettings::new(node, declared[place].domain.clone(), run);
///         MemberTable::new(settings, place as u64)
///     })
///     .collect();
/// let mut now = ClockTime::ZERO;
/// for table in &mut tables {
///     table.on_declared(now, &declared, &mut Vec::new());
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
    pub(super) view_since: ClockTime,
    pub(super) digest_changed: ClockTime,
    pub(super) mismatch_since: Option<ClockTime>,
    pub(super) health: LocalHealth,
    pub(super) ring: ProbeRing,
    pub(super) recheck: Option<NodeName>,
    pub(super) turn: u32,
    pub(super) pending: Vec<PendingProbe>,
    pub(super) suspicions: Vec<(NodeName, ClockTime)>,
    pub(super) rumors: RumorQueue,
    pub(super) payloads: Vec<PayloadRecord>,
    pub(super) sequence: u64,
    pub(super) revision: RevisionNumber,
    pub(super) revision_digest: u64,
    pub(super) last_tick: Option<ClockTime>,
    pub(super) next_probe: ClockTime,
    pub(super) next_reconnect: ClockTime,
    pub(super) next_push: ClockTime,
    pub(super) push_wanted: bool,
    pub(super) next_sync: ClockTime,
    pub(super) sync: Option<(u64, ClockTime)>,
    pub(super) answers_since: ClockTime,
    pub(super) answers: u32,
    pub(super) next_bridge: ClockTime,
    pub(super) next_sequence: ClockTime,
    pub(super) bridge_rank: Option<usize>,
    pub(super) bridge_round: Vec<DomainName>,
    pub(super) known_targets: Option<Vec<TargetName>>,
    pub(super) next_expiry: ClockTime,
    pub(super) superseded: bool,
}

impl MemberTable {
    /// Creates a table that knows only its own node; equal seeds give equal actions.
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
            view_since: start,
            digest_changed: start,
            mismatch_since: None,
            health: LocalHealth::default(),
            ring: ProbeRing::default(),
            recheck: None,
            turn: seed as u32,
            pending: Vec::new(),
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
            push_wanted: false,
            next_sync: start,
            sync: None,
            answers_since: start,
            answers: 0,
            next_bridge: start,
            next_sequence: start,
            bridge_rank: Some(0),
            bridge_round: Vec::new(),
            known_targets: None,
            next_expiry: start,
            superseded: false,
            settings,
        }
    }

    /// Lets time pass; to be called every 50 ms to 100 ms.
    pub fn on_tick(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.find_pause(now, actions);
        self.last_tick = Some(now);
        self.expire_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.send_probes(now, actions);
        self.send_reconnects(now, actions);
        self.tick_bridge(now, actions);
        self.expire_sync(now, actions);
        self.expire_targets(now);
        self.push_rumors(now, actions);
    }

    /// Notes that this process was paused: what it waited for counts as neither lost nor late.
    ///
    /// The table finds pauses longer than `pause_limit` itself from the gap between two ticks.
    pub fn on_resume(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.last_tick = Some(now);
        self.pending.clear();
        self.health.worsen(2);
        let fresh = now + self.health.scale(self.settings.suspicion_time);
        for (_, deadline) in &mut self.suspicions {
            *deadline = fresh;
        }
        for view in self.view.domains_mut() {
            view.advanced_at = now;
        }
        self.next_probe = now;
        self.next_reconnect = now;
        self.next_sync = now;
        self.sync = None;
        self.view_since = now;
        self.set_view_state(ViewState::Unconfirmed, actions);
    }

    /// Announces a planned stop; the process goes on answering until it exits.
    pub fn leave(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if !self.settings.mechanisms.leave_announcement {
            return;
        }
        let mut record = self.own_record();
        if record.state == NodeState::Leaving {
            return;
        }
        record.version += 1;
        record.state = NodeState::Leaving;
        self.set_own(now, record);
        for peer in self.running_peers() {
            self.send_gossip(&peer, actions);
        }
    }

    /// Tells the table which declaration this node accepted; a newer one is pushed to peers.
    pub fn set_revision(&mut self, revision: RevisionNumber, digest: u64) {
        if (revision, digest) == (self.revision, self.revision_digest) {
            return;
        }
        self.revision = revision;
        self.revision_digest = digest;
        self.push_wanted = true;
    }

    /// How far this node may rely on its view.
    pub fn view_state(&self) -> ViewState {
        self.view_state
    }

    /// Digest of all records; equal views have equal digests.
    pub fn view_digest(&self) -> u64 {
        self.view.digest()
    }

    /// What is known of a node in any domain.
    pub fn node(&self, node: &NodeName) -> Option<NodeView> {
        let domain = self.view.domain(self.view.place(node)?)?;
        domain.node(node).map(|entry| show_node(domain, entry))
    }

    /// What is known of the nodes of a domain, sorted by name.
    pub fn nodes(&self, domain: &DomainName) -> Vec<NodeView> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        view.nodes()
            .iter()
            .map(|entry| show_node(view, entry))
            .collect()
    }

    /// Known domains, sorted by name, and whether each can be reached.
    pub fn domains(&self) -> Vec<(DomainName, bool)> {
        let views = self.view.domains().iter();
        views
            .map(|view| (view.name().clone(), !view.record.lost))
            .collect()
    }

    /// Revision that a domain's bridges reported as in effect there.
    pub fn domain_revision(&self, domain: &DomainName) -> Option<RevisionNumber> {
        let view = self.view.domain(domain)?;
        Some(self.summarise(view, TableScope::Full).revision)
    }

    /// What is known of a target; `None` if no source told of it, or if it belongs to another
    /// domain and was not in trouble lately.
    pub fn target(&self, domain: &DomainName, target: &TargetName) -> Option<TargetView> {
        let entry = self.view.domain(domain)?.target(target)?;
        Some(show_target(&entry.record))
    }

    /// What is known of the targets of a domain, sorted by name.
    pub fn targets(&self, domain: &DomainName) -> Vec<TargetView> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        view.targets(TableScope::Full).map(show_target).collect()
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
        actions.push(MemberAction::ViewChanged { state });
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

    fn find_pause(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let Some(last) = self.last_tick else {
            self.view_since = now;
            return;
        };
        let paused = now - last > self.settings.pause_limit;
        if paused && self.settings.mechanisms.local_health {
            self.on_resume(now, actions);
        }
    }
}

fn show_node(domain: &DomainView, entry: &NodeEntry) -> NodeView {
    NodeView {
        node: entry.record.node.clone(),
        domain: domain.name().clone(),
        incarnation: entry.record.incarnation,
        state: entry.record.state,
        address: entry.address,
        domain_reachable: !domain.record.lost,
        link_broken: entry.link == LinkState::Broken,
        heard: entry.heard,
    }
}

fn show_target(record: &TargetRecord) -> TargetView {
    TargetView {
        target: record.target.clone(),
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        state: target_state(record),
    }
}
