use std::collections::{BTreeMap, BTreeSet};

use base::{ClockTime, DomainName, EventKind, NodeName, TargetName, TimeSpan};
use calls::ProcessId;
use fleet::{RevisionSettings, RevisionSync};
use member::{MemberSettings, MemberTable};
use orders::{DomainReconciler, ReconcilerSettings};
use sched::{TargetDigest, TargetInfo};
use tokio::task::{AbortHandle, JoinHandle};
use xtra::{Handler, WeakAddress};

use super::FleetParts;
use super::prober_table::ProberTable;
use crate::TargetUpdate;

/// Number of nodes of a failure domain that watch the platform.
const PLATFORM_READERS: usize = 2;
/// Time between two ticks above which the process is taken to have been paused.
pub const PAUSE_LIMIT: TimeSpan = TimeSpan::from_secs(1);

/// Probe schedule of a target and its failed probes in a row.
pub struct ProbeState {
    /// When the next probe is due.
    pub due: ClockTime,
    /// Whether a probe is in progress.
    pub running: bool,
    /// Failed probes in a row.
    pub failures: u32,
}

/// Actor that tracks the other nodes, the declaration and the targets of this node's failure
/// domain.
///
/// Owns the membership table, the revision view, the probe schedules and the reconciler, and
/// publishes the result as a [`NodeView`](crate::NodeView).
pub struct FleetActor {
    pub(super) parts: FleetParts,
    pub(super) membership: MemberTable,
    pub(super) revision_view: RevisionSync,
    /// Tasks that read the declaration from the platform, by call number.
    pub(super) platform_calls: BTreeMap<u64, AbortHandle>,
    pub(super) probes: BTreeMap<TargetName, ProbeState>,
    /// Load of targets that was read since the last load update.
    pub(super) pending_reports: Vec<TargetUpdate>,
    /// When the health of a target was last sent to the peers; absent if it changed since.
    pub(super) health_sent_at: BTreeMap<TargetName, ClockTime>,
    /// Peers of the domain at the last load update, sorted.
    pub(super) last_update_peers: Vec<NodeName>,
    /// Work in flight of this node, as last published by the routing policy.
    pub(super) in_flight: Vec<TargetDigest>,
    /// Peers whose last load update listed work in flight.
    pub(super) in_flight_recipients: BTreeSet<NodeName>,
    pub(super) prober_table: ProberTable,
    /// Sequence number of the last load update.
    pub(super) update_sequence: u64,
    pub(super) next_update_at: ClockTime,
    /// Task that watches the platform's list of node VMs.
    pub(super) node_list_watch: Option<JoinHandle<()>>,
    /// Platform index of the node list that was read last.
    pub(super) node_list_index: u64,
    pub(super) node_list_read: bool,
    pub(super) next_node_list_at: ClockTime,
    /// Task that watches the platform's list of target VMs.
    pub(super) target_list_watch: Option<JoinHandle<()>>,
    /// Platform index of the target list that was read last.
    pub(super) target_list_index: u64,
    pub(super) next_target_list_at: ClockTime,
    /// Nodes that answered at a seed address, with their domains.
    pub(super) seeds: BTreeMap<NodeName, DomainName>,
    /// Processes that imported a ticket window, by the former owner of the window.
    pub(super) successors: BTreeMap<ProcessId, ProcessId>,
    pub(super) last_tick_at: Option<ClockTime>,
    /// When this process was last found to have been paused.
    pub(super) resumed_at: Option<ClockTime>,
    /// Targets as they were last sent to the scheduling actor.
    pub(super) published_targets: Vec<TargetInfo>,
    pub(super) ready: bool,
    pub(super) reconciler: DomainReconciler,
    pub(super) next_reconciler_tick: ClockTime,
    pub(super) next_failures_at: ClockTime,
    pub(super) next_keepalive: ClockTime,
    /// Address of this actor, for tasks that report back; set once it has started.
    pub(super) own_address: Option<WeakAddress<Self>>,
}

impl FleetActor {
    /// Creates the actor for one incarnation of a node.
    pub fn new(parts: FleetParts, revision: RevisionSettings) -> Self {
        let identity = &parts.identity;
        let seed = identity.incarnation.0;
        let (node, domain) = (identity.node.clone(), identity.domain.clone());
        let settings = MemberSettings::new(node.clone(), domain.clone(), identity.incarnation);
        let now = parts.clock.now();
        let offset = parts.clock.unix_millis().saturating_sub(now.as_millis());
        let reconciler_settings =
            ReconcilerSettings::new(node.clone(), identity.incarnation, domain.clone());
        Self {
            reconciler: DomainReconciler::new(reconciler_settings.with_wall_offset(offset), now),
            next_reconciler_tick: now,
            next_failures_at: now,
            next_keepalive: now,
            membership: MemberTable::new(settings, seed),
            revision_view: RevisionSync::new(node, domain, revision, seed),
            platform_calls: BTreeMap::new(),
            probes: BTreeMap::new(),
            pending_reports: Vec::new(),
            health_sent_at: BTreeMap::new(),
            last_update_peers: Vec::new(),
            in_flight: Vec::new(),
            in_flight_recipients: BTreeSet::new(),
            prober_table: ProberTable::default(),
            update_sequence: 0,
            next_update_at: ClockTime::ZERO,
            node_list_watch: None,
            node_list_index: 0,
            node_list_read: false,
            next_node_list_at: ClockTime::ZERO,
            target_list_watch: None,
            target_list_index: 0,
            next_target_list_at: ClockTime::ZERO,
            seeds: BTreeMap::new(),
            successors: BTreeMap::new(),
            last_tick_at: None,
            resumed_at: None,
            published_targets: Vec::new(),
            ready: false,
            own_address: None,
            parts,
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.parts.clock.now()
    }

    pub(super) fn record_event(&self, kind: EventKind, detail: impl AsRef<str>) {
        self.parts.journal.record(kind, detail);
    }

    /// Spawns `work` as a task and sends its result to this actor as a message.
    pub(super) fn spawn_and_report<M, F>(&self, work: F) -> Option<AbortHandle>
    where
        M: Send + 'static,
        F: Future<Output = M> + Send + 'static,
        Self: Handler<M, Return = ()>,
    {
        let address = self.own_address.clone()?;
        let task = tokio::spawn(async move {
            let message = work.await;
            // Sending fails only once the node, and with it the actor, has stopped.
            let _ = address.send(message).detach().await;
        });
        Some(task.abort_handle())
    }

    /// Runs the periodic work: membership, revisions, platform lists, probes, load updates and
    /// orders.
    pub(super) fn tick(&mut self) {
        let now = self.now();
        if self
            .last_tick_at
            .is_some_and(|last| now - last > PAUSE_LIMIT)
        {
            self.resumed_at = Some(now);
            self.record_event(
                EventKind::NodeResumed,
                "membership and revision are compared afresh",
            );
        }
        self.last_tick_at = Some(now);
        let mut actions = Vec::new();
        self.membership.on_tick(now, &mut actions);
        self.execute_member_actions(actions);
        self.update_revision_peers();
        let reader = self.is_reader();
        let mut actions = self.revision_view.on_reader_role(now, reader);
        actions.extend(self.revision_view.on_tick(now));
        self.execute_revision_actions(actions);
        self.watch_node_list(reader);
        self.watch_target_list(reader);
        self.probe_due_targets();
        self.send_load_update();
        self.tick_reconciler();
        self.publish_ready();
    }

    /// Copies to the view whether the node is ready.
    pub(super) fn publish_ready(&mut self) {
        let ready = self.revision_view.is_ready();
        if self.ready != ready {
            self.ready = ready;
            self.parts.view.update(|view| view.ready = ready);
        }
    }

    /// Tells whether this node is one of the `PLATFORM_READERS` nodes of its domain that watch the
    /// platform. A node that is not ready yet reads the platform in any case.
    pub(super) fn is_reader(&self) -> bool {
        let identity = &self.parts.identity;
        let readers = self
            .membership
            .elect_platform_readers(&identity.domain, PLATFORM_READERS);
        readers.contains(&identity.node)
    }
}
