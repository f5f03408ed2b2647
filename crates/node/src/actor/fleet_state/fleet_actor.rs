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
use crate::TargetNote;

/// Nodes of a domain that watch the platform.
const READERS: usize = 2;
/// A tick that comes later than this finds that the process was paused.
pub const PAUSE_LIMIT: TimeSpan = TimeSpan::from_secs(1);

/// When a target is probed next, and how that went so far.
pub struct ProbeState {
    pub due: ClockTime,
    pub running: bool,
    pub failures: u32,
}

/// Owns membership, revisions and the state of the targets.
pub struct FleetActor {
    pub(super) parts: FleetParts,
    pub(super) member: MemberTable,
    pub(super) revision: RevisionSync,
    pub(super) calls: BTreeMap<u64, AbortHandle>,
    pub(super) probes: BTreeMap<TargetName, ProbeState>,
    pub(super) fresh_reports: Vec<TargetNote>,
    /// When the peers were last told the health of a target; absent after a change.
    pub(super) told_health: BTreeMap<TargetName, ClockTime>,
    /// Peers that the last note went to.
    pub(super) note_peers: Vec<NodeName>,
    /// Work in flight of this node, as the policy published it last.
    pub(super) flight: Vec<TargetDigest>,
    /// Peers that were told work in flight with the last note.
    pub(super) told_flight: BTreeSet<NodeName>,
    pub(super) probers: ProberTable,
    pub(super) notes: u64,
    pub(super) next_note: ClockTime,
    pub(super) list_watch: Option<JoinHandle<()>>,
    pub(super) list_index: u64,
    pub(super) list_read: bool,
    pub(super) next_list: ClockTime,
    pub(super) target_watch: Option<JoinHandle<()>>,
    pub(super) target_index: u64,
    pub(super) next_targets: ClockTime,
    pub(super) seeds: BTreeMap<NodeName, DomainName>,
    pub(super) successors: BTreeMap<ProcessId, ProcessId>,
    pub(super) ticked_at: Option<ClockTime>,
    pub(super) resumed_at: Option<ClockTime>,
    pub(super) published: Vec<TargetInfo>,
    pub(super) ready: bool,
    pub(super) board: DomainReconciler,
    pub(super) next_board: ClockTime,
    pub(super) next_failures: ClockTime,
    pub(super) next_reminder: ClockTime,
    pub(super) own: Option<WeakAddress<Self>>,
}

impl FleetActor {
    /// Creates the actor of one run of a node.
    pub fn new(parts: FleetParts, revision: RevisionSettings) -> Self {
        let identity = &parts.identity;
        let seed = identity.incarnation.0;
        let (node, domain) = (identity.node.clone(), identity.domain.clone());
        let settings = MemberSettings::new(node.clone(), domain.clone(), identity.incarnation);
        let now = parts.clock.now();
        let offset = parts.clock.wall().saturating_sub(now.as_millis());
        let board = ReconcilerSettings::new(node.clone(), identity.incarnation, domain.clone());
        Self {
            board: DomainReconciler::new(board.with_wall_offset(offset), now),
            next_board: now,
            next_failures: now,
            next_reminder: now,
            member: MemberTable::new(settings, seed),
            revision: RevisionSync::new(node, domain, revision, seed),
            calls: BTreeMap::new(),
            probes: BTreeMap::new(),
            fresh_reports: Vec::new(),
            told_health: BTreeMap::new(),
            note_peers: Vec::new(),
            flight: Vec::new(),
            told_flight: BTreeSet::new(),
            probers: ProberTable::default(),
            notes: 0,
            next_note: ClockTime::ZERO,
            list_watch: None,
            list_index: 0,
            list_read: false,
            next_list: ClockTime::ZERO,
            target_watch: None,
            target_index: 0,
            next_targets: ClockTime::ZERO,
            seeds: BTreeMap::new(),
            successors: BTreeMap::new(),
            ticked_at: None,
            resumed_at: None,
            published: Vec::new(),
            ready: false,
            own: None,
            parts,
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.parts.clock.now()
    }

    pub(super) fn note(&self, kind: EventKind, detail: impl AsRef<str>) {
        self.parts.journal.note(kind, detail);
    }

    /// Runs `work` in a task and sends its result to this actor.
    pub(super) fn spawn_for<M, F>(&self, work: F) -> Option<AbortHandle>
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

    pub(super) fn tick(&mut self) {
        let now = self.now();
        if self.ticked_at.is_some_and(|last| now - last > PAUSE_LIMIT) {
            self.resumed_at = Some(now);
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
        let mut actions = self.revision.on_reader_role(now, reader);
        actions.extend(self.revision.on_tick(now));
        self.carry_out_revision(actions);
        self.watch_list(reader);
        self.watch_targets(reader);
        self.probe_targets();
        self.send_note();
        self.tick_board();
        self.publish_ready();
    }

    pub(super) fn publish_ready(&mut self) {
        let ready = self.revision.is_ready();
        if self.ready != ready {
            self.ready = ready;
            self.parts.view.edit(|view| view.ready = ready);
        }
    }

    /// Two readers a domain; a node that is not yet ready reads the platform for itself.
    pub(super) fn is_reader(&self) -> bool {
        let identity = &self.parts.identity;
        let readers = self
            .member
            .elect_platform_readers(&identity.domain, READERS);
        readers.contains(&identity.node)
    }
}
