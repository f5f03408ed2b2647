use base::{ClockTime, EventKind, NodeName, RevisionNumber, TargetName, top_owner};
use fleet::FleetDeclaration;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{SmolStr, format_smolstr};

use super::{
    DomainView, MembershipView, MessageBody, OrderMessage, ReconcilerAction, ReconcilerSettings,
};
use crate::{
    ActualState, BlockReason, DomainPlan, FailureSummary, FencingClock, FencingNumber,
    OrderOutcome, PermitHolder, PermitLedger, ReconcileState, RolloutFailures, RolloutKey,
    RolloutState, TargetOrder,
};

/// Reconciles all targets of one domain at one node: sends orders to the targets that the node
/// owns, exchanges permits and failures with the other nodes of the domain, and grants permits if
/// the node is the permit coordinator.
///
/// The caller passes in events with the current time, calls [`DomainReconciler::on_tick`] about
/// every 250 ms and carries out the actions that it returns.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::{ReconcilerSettings, DomainReconciler};
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let settings = ReconcilerSettings::new(node, IncarnationNumber(1), domain);
/// let mut reconciler = DomainReconciler::new(settings, ClockTime::ZERO);
/// assert!(reconciler.on_tick(ClockTime::new(250)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct DomainReconciler {
    pub(super) settings: ReconcilerSettings,
    pub(super) plan: Option<DomainPlan>,
    pub(super) view: MembershipView,
    /// For each target of the plan, the state of its reconciliation.
    pub(super) target_states: Vec<ReconcileState>,
    /// For each target of the plan, its latest observation.
    pub(super) actual_states: Vec<Option<ActualState>>,
    /// For each target, whether a new observation or plan is not reflected in the status yet.
    pub(super) status_outdated: Vec<bool>,
    pub(super) failures: RolloutFailures,
    /// Whether the current failures have been sent to all peers.
    pub(super) failures_sent: bool,
    pub(super) ledger: PermitLedger,
    pub(super) holder: PermitHolder,
    pub(super) clock: FencingClock,
    pub(super) random: Pcg64Mcg,
    pub(super) ticks: u64,
    pub(super) last_tick: Option<ClockTime>,
    pub(super) hello_sent_at: Option<ClockTime>,
    /// For each rollout of the plan, its state and since when it has had it.
    pub(super) rollout_states: Vec<(RolloutState, ClockTime)>,
    pub(super) was_converged: bool,
    /// Actions to return from the next tick.
    pub(super) actions: Vec<ReconcilerAction>,
}

impl DomainReconciler {
    /// Creates a reconciler without a declaration or any observation.
    pub fn new(settings: ReconcilerSettings, now: ClockTime) -> Self {
        let view = MembershipView {
            resumed_at: now,
            ..MembershipView::default()
        };
        Self {
            clock: FencingClock::new(settings.incarnation),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            plan: None,
            view,
            target_states: Vec::new(),
            actual_states: Vec::new(),
            status_outdated: Vec::new(),
            failures: RolloutFailures::default(),
            failures_sent: true,
            ledger: PermitLedger::default(),
            holder: PermitHolder::default(),
            ticks: 0,
            last_tick: None,
            hello_sent_at: None,
            rollout_states: Vec::new(),
            was_converged: false,
            actions: Vec::new(),
        }
    }

    /// Applies an accepted declaration. A revision that is not newer than the one in effect is
    /// ignored.
    pub fn on_declaration(
        &mut self,
        now: ClockTime,
        revision: RevisionNumber,
        fleet: &FleetDeclaration,
    ) {
        if self.revision().is_some_and(|known| known >= revision) {
            return;
        }
        let plan = DomainPlan::new(fleet, revision, &self.settings.domain);
        let old = self.plan.take();
        let changed = changed_rollouts(old.as_ref(), &plan);
        self.failures.set_plan(&plan);
        self.ledger.set_plan(&plan);
        let target_states = std::mem::take(&mut self.target_states);
        let actual_states = std::mem::take(&mut self.actual_states);
        let mut known: Vec<_> = target_states.into_iter().zip(actual_states).collect();
        for target in &plan.targets {
            let same = |pair: &(ReconcileState, _)| pair.0.target() == &target.name;
            let (mut state, actual) = match known.iter().position(same) {
                Some(at) => known.swap_remove(at),
                None => (ReconcileState::new(target.name.clone(), now), None),
            };
            let before = old.as_ref().and_then(|old| {
                let at = old.position(&target.name)?;
                Some(&old.targets[at])
            });
            let is_same = before.is_some_and(|before| before.wants_same(target));
            state.on_plan(is_same, &changed);
            self.target_states.push(state);
            self.actual_states.push(actual);
        }
        self.status_outdated = vec![true; plan.targets.len()];
        let states = std::mem::take(&mut self.rollout_states);
        let rollouts = plan.rollouts.iter();
        self.rollout_states = rollouts
            .map(|rollout| {
                let old = old.as_ref()?;
                let at = old
                    .rollouts
                    .iter()
                    .position(|known| known.key == rollout.key)?;
                states.get(at).cloned()
            })
            .map(|state| state.unwrap_or((RolloutState::Pending, now)))
            .collect();
        self.view.highest = self.view.highest.max(revision);
        self.plan = Some(plan);
        self.failures_sent = self.failures.summaries().is_empty();
        self.update_ownership(now);
        self.refresh_observed_statuses(now);
    }

    /// Updates the live nodes of the domain as membership sees them, this node included.
    pub fn on_live_nodes(&mut self, now: ClockTime, mut live: Vec<NodeName>) {
        live.sort_unstable();
        live.dedup();
        self.view.listed_at = Some(now);
        if live == self.view.live {
            return;
        }
        let old = std::mem::replace(&mut self.view.live, live);
        for peer in self.peers() {
            if !old.contains(&peer) {
                self.send(peer, MessageBody::Hello(true));
            }
        }
        self.failures_sent = self.failures.summaries().is_empty();
        self.update_ownership(now);
    }

    /// Handles the end of a pause of the process. The reconciler detects a pause by itself from the
    /// gap between two ticks; the caller may know earlier.
    pub fn on_resume(&mut self, now: ClockTime) {
        if !self.settings.guards.resume_rule {
            return;
        }
        self.view.resumed_at = now;
        self.hello_sent_at = None;
        for state in &mut self.target_states {
            state.on_resume(now);
        }
        self.drop_unused();
        self.ledger.restart(now);
    }

    /// Records the revision that a peer has in effect, however it was learned.
    pub fn on_peer_revision(&mut self, now: ClockTime, revision: RevisionNumber) {
        self.view.heard_at = Some(now);
        self.view.highest = self.view.highest.max(revision);
    }

    /// Records the actual state that a probe found. An observation older than the last one is
    /// ignored.
    pub fn on_actual_state(&mut self, actual: ActualState) {
        if let Some(number) = actual.fencing
            && self.settings.guards.fencing
        {
            self.clock.observe(number);
            self.view.highest = self.view.highest.max(number.revision);
        }
        let Some(at) = self.position(&actual.target) else {
            return;
        };
        let newer = |known: &ActualState| known.observed_at <= actual.observed_at;
        if !self.actual_states[at].as_ref().is_none_or(newer) {
            return;
        }
        self.target_states[at].on_actual_state(&actual);
        self.status_outdated[at] = true;
        self.actual_states[at] = Some(actual);
    }

    /// Handles the outcome of an order.
    pub fn on_outcome(&mut self, now: ClockTime, order: &TargetOrder, outcome: &OrderOutcome) {
        if let OrderOutcome::Refused(Some(number)) = outcome {
            self.clock.observe(*number);
            self.view.highest = self.view.highest.max(number.revision);
        }
        let Some(at) = self.position(&order.target) else {
            return;
        };
        self.target_states[at].on_outcome(now, order, outcome);
        let (kind, detail) = match outcome {
            OrderOutcome::Accepted => (EventKind::OrderDone, format_smolstr!("{order}")),
            OrderOutcome::NotSent => return,
            other => (
                EventKind::OrderFailed,
                format_smolstr!("{order}: {}", outcome_text(other)),
            ),
        };
        self.actions.push(ReconcilerAction::Log { kind, detail });
    }

    /// Handles a message of another reconciler of the domain. The caller has authenticated the
    /// sender.
    pub fn on_message(&mut self, now: ClockTime, from: &NodeName, message: OrderMessage) {
        self.on_peer_revision(now, message.number.revision);
        self.clock.observe(message.number);
        let same = self.revision() == Some(message.number.revision);
        match message.body {
            MessageBody::Hello(true) => self.send(from.clone(), MessageBody::Hello(false)),
            MessageBody::Hello(false) => {}
            MessageBody::Failures(summaries) => self.on_failures(now, &summaries),
            MessageBody::PermitRequest(request) if same => {
                self.handle_permit_request(now, from, message.number, request);
            }
            MessageBody::PermitResponse(response) if same => {
                self.holder.on_response(now, from, response)
            }
            // Permits under another revision would be based on another plan.
            MessageBody::PermitRequest(_) | MessageBody::PermitResponse(_) => {}
        }
    }

    /// Merges failures reported by another node, of this domain or another one.
    pub fn on_failures(&mut self, now: ClockTime, summaries: &[FailureSummary]) {
        let Some(plan) = &self.plan else {
            return;
        };
        for at in self.failures.merge(now, plan, summaries) {
            let detail = halt_text(plan, &self.failures, at);
            let kind = EventKind::RolloutHalted;
            self.actions.push(ReconcilerAction::Log { kind, detail });
        }
    }

    /// Reconciles all targets and returns the actions to carry out; called about every 250 ms.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<ReconcilerAction> {
        let gap = self.last_tick.map(|last| now - last);
        if gap.is_some_and(|gap| gap > self.settings.timing.pause_threshold) {
            self.on_resume(now);
        }
        self.last_tick = Some(now);
        self.ticks += 1;
        if self.plan.is_some() {
            self.update_coordinator(now);
            let blocked = self.order_block_reason();
            self.reconcile_all(now, blocked);
            if blocked.is_none() {
                self.answer_permit_requests(now);
            }
            self.request_revisions(now, blocked);
            self.send_failures();
            self.update_rollout_states(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells whether an order returned by a tick may still be sent. The caller asks right before it
    /// sends the order, since the process may have been paused in between.
    pub fn may_send(&self, now: ClockTime, order: &TargetOrder) -> bool {
        if !self.settings.guards.resume_rule {
            return true;
        }
        let Some(at) = self.position(&order.target) else {
            return false;
        };
        let fresh = now - order.issued_at <= self.settings.timing.reprobe_max_age;
        let current = self.target_states[at].sent() == Some(order);
        fresh && current && self.order_block_reason().is_none()
    }

    /// Revision in effect.
    pub fn revision(&self) -> Option<RevisionNumber> {
        self.plan.as_ref().map(|plan| plan.revision)
    }

    /// Tells whether this node is the owner of a target, which sends it orders.
    pub fn owns(&self, target: &TargetName) -> bool {
        let at = self.position(target);
        at.is_some_and(|at| self.target_states[at].is_owned())
    }

    /// Tells whether this node is the permit coordinator of its domain.
    pub fn is_coordinator(&self) -> bool {
        self.ledger.is_active()
    }

    /// Summaries of the failures that this node knows of, to be sent to other domains.
    pub fn summaries(&self) -> Vec<FailureSummary> {
        self.failures.summaries()
    }

    /// Highest fencing number issued or seen.
    pub fn highest_number(&self) -> FencingNumber {
        self.clock.highest()
    }

    /// Number of orders sent by this node to each target.
    pub fn order_counts(&self) -> impl Iterator<Item = (&TargetName, u64)> {
        let target_states = self.target_states.iter();
        target_states.map(|state| (state.target(), state.orders()))
    }

    /// Position of a target in the plan.
    pub(super) fn position(&self, target: &TargetName) -> Option<usize> {
        self.plan.as_ref()?.position(target)
    }

    /// Determines which targets this node owns: rendezvous hashing selects the owner of each target
    /// among the live nodes.
    fn update_ownership(&mut self, now: ClockTime) {
        let settle_time = self.settings.timing.settle_time;
        for state in &mut self.target_states {
            let live = self.view.live.iter().map(NodeName::as_str);
            let owner = top_owner(state.target().as_str(), live);
            let owned = owner == Some(self.settings.node.as_str());
            state.set_owned(now, owned, settle_time);
        }
    }

    /// Reason that forbids all orders of this node, if there is one.
    pub(super) fn order_block_reason(&self) -> Option<BlockReason> {
        let Some(revision) = self.revision() else {
            return Some(BlockReason::NoDeclaration);
        };
        if self.view.highest > revision {
            return Some(BlockReason::NewerRevision);
        }
        let stale = self.settings.guards.resume_rule && !self.view.is_fresh();
        stale.then_some(BlockReason::StaleView)
    }

    /// This node's view of the domain under `plan`.
    pub(super) fn domain_view<'a>(
        &'a self,
        now: ClockTime,
        plan: &'a DomainPlan,
    ) -> DomainView<'a> {
        DomainView {
            now,
            since: self.view.resumed_at,
            plan,
            actual_states: &self.actual_states,
            failures: &self.failures,
            timing: &self.settings.timing,
        }
    }
}

/// Keys of the rollouts that `plan` adds or changes; they may be tried again.
fn changed_rollouts(old: Option<&DomainPlan>, plan: &DomainPlan) -> Vec<RolloutKey> {
    let Some(old) = old else {
        return Vec::new();
    };
    let keys = plan.rollouts.iter().map(|rollout| &rollout.key);
    let known = |key: &RolloutKey| old.rollouts.iter().any(|rollout| rollout.key == *key);
    keys.filter(|key| !known(key)).cloned().collect()
}

/// Detail of the event that a rollout was halted.
pub(super) fn halt_text(plan: &DomainPlan, failures: &RolloutFailures, at: usize) -> SmolStr {
    let rollout = &plan.rollouts[at];
    let reason = failures.describe(at);
    format_smolstr!("{} version {}: {reason}", rollout.name, rollout.version)
}

/// Text of an outcome in event details.
fn outcome_text(outcome: &OrderOutcome) -> SmolStr {
    match outcome {
        OrderOutcome::Accepted => SmolStr::new_static("taken"),
        OrderOutcome::Refused(_) => SmolStr::new_static("refused, the fencing number is old"),
        OrderOutcome::Failed(reason) => reason.clone(),
        OrderOutcome::Unknown => SmolStr::new_static("no answer"),
        OrderOutcome::NotSent => SmolStr::new_static("not sent"),
    }
}
