use base::{ClockTime, EventKind, NodeName, RevisionNumber, TargetName, top_owner};
use fleet::FleetDeclaration;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{SmolStr, format_smolstr};

use super::{BoardAction, BoardSettings, BoardView, DomainView, MessageBody, OrderMessage};
use crate::{
    BlockReason, DomainPlan, FailureCount, FencingClock, FencingNumber, OrderLoop, OrderOutcome,
    RolloutKey, RolloutState, RolloutSummary, SlotHolder, SlotLedger, TargetActual, TargetOrder,
};

/// The reconciliation of all targets of one domain at one node.
///
/// The shell passes in events with the present time, calls [`OrderBoard::on_tick`] about every
/// 250 ms and carries out the actions that it returns.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::{BoardSettings, OrderBoard};
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let settings = BoardSettings::new(node, IncarnationNumber(1), domain);
/// let mut board = OrderBoard::new(settings, ClockTime::ZERO);
/// assert!(board.on_tick(ClockTime::new(250)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct OrderBoard {
    pub(super) settings: BoardSettings,
    pub(super) plan: Option<DomainPlan>,
    pub(super) view: BoardView,
    pub(super) loops: Vec<OrderLoop>,
    pub(super) actuals: Vec<Option<TargetActual>>,
    pub(super) stale_rows: Vec<bool>,
    pub(super) failures: FailureCount,
    pub(super) told_failures: bool,
    pub(super) ledger: SlotLedger,
    pub(super) holder: SlotHolder,
    pub(super) clock: FencingClock,
    pub(super) random: Pcg64Mcg,
    pub(super) ticks: u64,
    pub(super) last_tick: Option<ClockTime>,
    pub(super) hello_at: Option<ClockTime>,
    pub(super) rollout_since: Vec<(RolloutState, ClockTime)>,
    pub(super) was_converged: bool,
    pub(super) actions: Vec<BoardAction>,
}

impl OrderBoard {
    /// Creates a board that knows nothing yet.
    pub fn new(settings: BoardSettings, now: ClockTime) -> Self {
        let view = BoardView {
            resumed_at: now,
            ..BoardView::default()
        };
        Self {
            clock: FencingClock::new(settings.incarnation),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            plan: None,
            view,
            loops: Vec::new(),
            actuals: Vec::new(),
            stale_rows: Vec::new(),
            failures: FailureCount::default(),
            told_failures: true,
            ledger: SlotLedger::default(),
            holder: SlotHolder::default(),
            ticks: 0,
            last_tick: None,
            hello_at: None,
            rollout_since: Vec::new(),
            was_converged: false,
            actions: Vec::new(),
        }
    }

    /// Takes over an accepted declaration; an older revision than the one in effect is ignored.
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
        let loops = std::mem::take(&mut self.loops);
        let actuals = std::mem::take(&mut self.actuals);
        let mut known: Vec<_> = loops.into_iter().zip(actuals).collect();
        for target in &plan.targets {
            let same = |pair: &(OrderLoop, _)| pair.0.target() == &target.name;
            let (mut state, actual) = match known.iter().position(same) {
                Some(at) => known.swap_remove(at),
                None => (OrderLoop::new(target.name.clone(), now), None),
            };
            let before = old.as_ref().and_then(|old| {
                let at = old.position(&target.name)?;
                Some(&old.targets[at])
            });
            let is_same = before.is_some_and(|before| before.wants_same(target));
            state.on_plan(is_same, &changed);
            self.loops.push(state);
            self.actuals.push(actual);
        }
        self.stale_rows = vec![true; plan.targets.len()];
        let states = std::mem::take(&mut self.rollout_since);
        let rollouts = plan.rollouts.iter();
        self.rollout_since = rollouts
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
        self.told_failures = self.failures.summaries().is_empty();
        self.set_owners(now);
        self.watch_all(now);
    }

    /// Takes over the live nodes of the domain as membership sees them, this node included.
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
        self.told_failures = self.failures.summaries().is_empty();
        self.set_owners(now);
    }

    /// Takes note that the process was paused until now. The board finds that by itself if ticks
    /// fail to come; the shell may know earlier.
    pub fn on_resume(&mut self, now: ClockTime) {
        if !self.settings.guards.resume_rule {
            return;
        }
        self.view.resumed_at = now;
        self.hello_at = None;
        for state in &mut self.loops {
            state.on_resume(now);
        }
        self.drop_unused();
        self.ledger.restart(now);
    }

    /// Takes note of the revision that a peer has in effect, heard by any means.
    pub fn on_peer_revision(&mut self, now: ClockTime, revision: RevisionNumber) {
        self.view.heard_at = Some(now);
        self.view.highest = self.view.highest.max(revision);
    }

    /// Takes note of what a probe found; an observation older than the last one is ignored.
    pub fn on_actual(&mut self, actual: TargetActual) {
        if let Some(number) = actual.fencing
            && self.settings.guards.fencing
        {
            self.clock.observe(number);
            self.view.highest = self.view.highest.max(number.revision);
        }
        let Some(at) = self.position(&actual.target) else {
            return;
        };
        let newer = |known: &TargetActual| known.observed_at <= actual.observed_at;
        if !self.actuals[at].as_ref().is_none_or(newer) {
            return;
        }
        self.loops[at].on_actual(&actual);
        self.stale_rows[at] = true;
        self.actuals[at] = Some(actual);
    }

    /// Takes note of what became of an order.
    pub fn on_outcome(&mut self, now: ClockTime, order: &TargetOrder, outcome: &OrderOutcome) {
        if let OrderOutcome::Refused(Some(number)) = outcome {
            self.clock.observe(*number);
            self.view.highest = self.view.highest.max(number.revision);
        }
        let Some(at) = self.position(&order.target) else {
            return;
        };
        self.loops[at].on_outcome(now, order, outcome);
        let (kind, detail) = match outcome {
            OrderOutcome::Taken => (EventKind::OrderDone, format_smolstr!("{order}")),
            OrderOutcome::NotSent => return,
            other => (
                EventKind::OrderFailed,
                format_smolstr!("{order}: {}", outcome_text(other)),
            ),
        };
        self.actions.push(BoardAction::Log { kind, detail });
    }

    /// Takes a message of another board of the domain; the shell has authenticated the sender.
    pub fn on_message(&mut self, now: ClockTime, from: &NodeName, message: OrderMessage) {
        self.on_peer_revision(now, message.number.revision);
        self.clock.observe(message.number);
        let same = self.revision() == Some(message.number.revision);
        match message.body {
            MessageBody::Hello(true) => self.send(from.clone(), MessageBody::Hello(false)),
            MessageBody::Hello(false) => {}
            MessageBody::Failures(summaries) => self.on_failures(now, &summaries),
            MessageBody::Ask(ask) if same => {
                self.take_ask(now, from, message.number, ask);
            }
            MessageBody::Answer(answer) if same => self.holder.on_answer(now, from, answer),
            // Leave under another revision would follow another plan.
            MessageBody::Ask(_) | MessageBody::Answer(_) => {}
        }
    }

    /// Takes note of failures that another node, of this domain or another one, knows of.
    pub fn on_failures(&mut self, now: ClockTime, summaries: &[RolloutSummary]) {
        let Some(plan) = &self.plan else {
            return;
        };
        for at in self.failures.merge(now, plan, summaries) {
            let detail = halt_text(plan, &self.failures, at);
            let kind = EventKind::RolloutHalted;
            self.actions.push(BoardAction::Log { kind, detail });
        }
    }

    /// Lets time pass and returns what is to be done, about every 250 ms.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<BoardAction> {
        let gap = self.last_tick.map(|last| now - last);
        if gap.is_some_and(|gap| gap > self.settings.timing.pause_gap) {
            self.on_resume(now);
        }
        self.last_tick = Some(now);
        self.ticks += 1;
        if self.plan.is_some() {
            self.set_loader(now);
            let blocked = self.board_block();
            self.drive_all(now, blocked);
            if blocked.is_none() {
                self.answer_asks(now);
            }
            self.ask_hello(now, blocked);
            self.tell_failures();
            self.note_rollouts(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells whether an order returned by a tick may still go out; the shell asks right before it
    /// sends, since the process may have been paused in between.
    pub fn may_send(&self, now: ClockTime, order: &TargetOrder) -> bool {
        if !self.settings.guards.resume_rule {
            return true;
        }
        let Some(at) = self.position(&order.target) else {
            return false;
        };
        let fresh = now - order.issued_at <= self.settings.timing.reread_age;
        let current = self.loops[at].sent() == Some(order);
        fresh && current && self.board_block().is_none()
    }

    /// Revision in effect.
    pub fn revision(&self) -> Option<RevisionNumber> {
        self.plan.as_ref().map(|plan| plan.revision)
    }

    /// Tells whether this node gives the orders to a target.
    pub fn owns(&self, target: &TargetName) -> bool {
        let at = self.position(target);
        at.is_some_and(|at| self.loops[at].is_owned())
    }

    /// Tells whether this node grants slots in its domain.
    pub fn is_loader(&self) -> bool {
        self.ledger.is_active()
    }

    /// Failures that this node knows of, for nodes of other domains.
    pub fn summaries(&self) -> Vec<RolloutSummary> {
        self.failures.summaries()
    }

    /// Highest fencing number issued or seen.
    pub fn highest_number(&self) -> FencingNumber {
        self.clock.highest()
    }

    /// Orders sent by this node, by target.
    pub fn order_counts(&self) -> impl Iterator<Item = (&TargetName, u64)> {
        let loops = self.loops.iter();
        loops.map(|state| (state.target(), state.orders()))
    }

    pub(super) fn position(&self, target: &TargetName) -> Option<usize> {
        self.plan.as_ref()?.position(target)
    }

    fn set_owners(&mut self, now: ClockTime) {
        let settle = self.settings.timing.settle;
        for state in &mut self.loops {
            let live = self.view.live.iter().map(NodeName::as_str);
            let owner = top_owner(state.target().as_str(), live);
            let owned = owner == Some(self.settings.node.as_str());
            state.set_owned(now, owned, settle);
        }
    }

    /// What forbids all orders of this node.
    pub(super) fn board_block(&self) -> Option<BlockReason> {
        let Some(revision) = self.revision() else {
            return Some(BlockReason::NoDeclaration);
        };
        if self.view.highest > revision {
            return Some(BlockReason::NewerRevision);
        }
        let stale = self.settings.guards.resume_rule && !self.view.is_fresh();
        stale.then_some(BlockReason::StaleView)
    }

    pub(super) fn domain_view<'a>(
        &'a self,
        now: ClockTime,
        plan: &'a DomainPlan,
    ) -> DomainView<'a> {
        DomainView {
            now,
            since: self.view.resumed_at,
            plan,
            actuals: &self.actuals,
            failures: &self.failures,
            timing: &self.settings.timing,
        }
    }
}

/// Rollouts that `plan` changes without naming another version; they may be tried again.
fn changed_rollouts(old: Option<&DomainPlan>, plan: &DomainPlan) -> Vec<RolloutKey> {
    let Some(old) = old else {
        return Vec::new();
    };
    let keys = plan.rollouts.iter().map(|rollout| &rollout.key);
    let known = |key: &RolloutKey| old.rollouts.iter().any(|rollout| rollout.key == *key);
    keys.filter(|key| !known(key)).cloned().collect()
}

pub(super) fn halt_text(plan: &DomainPlan, failures: &FailureCount, at: usize) -> SmolStr {
    let rollout = &plan.rollouts[at];
    let reason = failures.describe(at);
    format_smolstr!("{} version {}: {reason}", rollout.name, rollout.version)
}

fn outcome_text(outcome: &OrderOutcome) -> SmolStr {
    match outcome {
        OrderOutcome::Taken => SmolStr::new_static("taken"),
        OrderOutcome::Refused(_) => SmolStr::new_static("refused, the fencing number is old"),
        OrderOutcome::Failed(reason) => reason.clone(),
        OrderOutcome::Unknown => SmolStr::new_static("no answer"),
        OrderOutcome::NotSent => SmolStr::new_static("not sent"),
    }
}
