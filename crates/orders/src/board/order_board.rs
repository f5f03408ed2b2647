use base::{ClockTime, EventKind, NodeName, RevisionNumber, TargetName, top_owner};
use fleet::FleetDeclaration;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{SmolStr, format_smolstr};

use super::rollout_gates::RolloutGates;
use super::{BoardAction, BoardSettings, BoardView, DomainView, MessageBody, OrderMessage};
use crate::reconcile::find_victim;
use crate::{
    BlockReason, ConvergenceReport, DomainPlan, FailureCount, FencingClock, FencingNumber,
    LoadState, NeededStep, OrderAction, OrderLoop, OrderOutcome, RolloutKey, RolloutRow,
    RolloutState, RolloutSummary, SlotAsk, SlotHolder, SlotLedger, SlotWant, StepNeed,
    TargetActual, TargetOrder, TargetRow, WantedVersion, loader_of, next_step,
};

/// Ticks between two messages that repeat the failures to one peer.
const REPEAT_TICKS: u64 = 40;

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
    settings: BoardSettings,
    plan: Option<DomainPlan>,
    view: BoardView,
    loops: Vec<OrderLoop>,
    actuals: Vec<Option<TargetActual>>,
    stale_rows: Vec<bool>,
    failures: FailureCount,
    told_failures: bool,
    ledger: SlotLedger,
    holder: SlotHolder,
    clock: FencingClock,
    random: Pcg64Mcg,
    ticks: u64,
    last_tick: Option<ClockTime>,
    hello_at: Option<ClockTime>,
    rollout_since: Vec<(RolloutState, ClockTime)>,
    was_converged: bool,
    actions: Vec<BoardAction>,
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
            state.on_plan(&changed);
            self.loops.push(state);
            self.actuals.push(actual);
        }
        self.stale_rows = vec![true; plan.targets.len()];
        self.rollout_since = vec![(RolloutState::Pending, now); plan.rollouts.len()];
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

    /// What a target needs next by its last observation, whoever gives the orders.
    pub fn next_step(&self, target: &TargetName) -> Option<NeededStep> {
        self.step_of(self.plan.as_ref()?, self.position(target)?)
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

    /// State of a rollout in this domain.
    pub fn rollout_state(&self, now: ClockTime, name: &str) -> Option<RolloutState> {
        let at = self.plan.as_ref()?.rollout(name)?;
        Some(self.rollout_row(now, at)?.state)
    }

    /// Declared and actual state of the domain as this node sees it.
    pub fn report(&self, now: ClockTime) -> ConvergenceReport {
        let mut report = ConvergenceReport {
            now,
            ..ConvergenceReport::default()
        };
        let Some(plan) = &self.plan else {
            report.missing.push(self.settings.domain.clone());
            return report;
        };
        for (at, target) in plan.targets.iter().enumerate() {
            let actual = self.actuals[at].as_ref();
            report.targets.push(TargetRow {
                domain: plan.domain.clone(),
                target: target.name.clone(),
                revision: plan.revision,
                declared: format_smolstr!("{target}"),
                actual: actual.map(actual_text).unwrap_or_default(),
                blocked: self.loops[at].status(),
                since: self.loops[at].since(),
                owned: self.loops[at].is_owned(),
            });
        }
        let rows = (0..plan.rollouts.len()).filter_map(|at| self.rollout_row(now, at));
        report.rollouts = rows.filter(|row| row.selected > 0).collect();
        report
    }

    fn position(&self, target: &TargetName) -> Option<usize> {
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

    fn set_loader(&mut self, now: ClockTime) {
        let Some(plan) = &self.plan else {
            return;
        };
        let loader = loader_of(plan, &self.view.live, &self.settings.guards);
        let mine = loader.as_ref() == Some(&self.settings.node);
        self.ledger.set_active(mine.then_some(now));
        if self.holder.loader() != loader.as_ref() {
            let used = self.used_slots();
            let in_use = |target: &TargetName| used.contains(target);
            self.holder.set_loader(loader, in_use);
        }
    }

    fn drop_unused(&mut self) {
        let used = self.used_slots();
        self.holder.drop_unused(|target| used.contains(target));
    }

    /// Targets that load or are being told to.
    fn used_slots(&self) -> Vec<TargetName> {
        let pairs = self.loops.iter().zip(&self.actuals);
        let used = pairs.filter(|(state, actual)| {
            let loading = actual.as_ref().is_some_and(TargetActual::is_loading);
            let ordered = state.sent().is_some_and(|order| order.action.is_load());
            state.is_owned() && (loading || ordered)
        });
        used.map(|(state, _)| state.target().clone()).collect()
    }

    /// What forbids all orders of this node.
    fn board_block(&self) -> Option<BlockReason> {
        let Some(revision) = self.revision() else {
            return Some(BlockReason::NoDeclaration);
        };
        if self.view.highest > revision {
            return Some(BlockReason::NewerRevision);
        }
        let stale = self.settings.guards.resume_rule && !self.view.is_fresh();
        stale.then_some(BlockReason::StaleView)
    }

    fn domain_view<'a>(&'a self, now: ClockTime, plan: &'a DomainPlan) -> DomainView<'a> {
        DomainView {
            now,
            since: self.view.resumed_at,
            plan,
            actuals: &self.actuals,
            failures: &self.failures,
            timing: &self.settings.timing,
        }
    }

    fn drive_all(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        self.holder.drop_aged(now, &self.settings.timing);
        let mut wants = Vec::new();
        for at in 0..self.loops.len() {
            if !self.loops[at].is_owned() {
                self.watch(now, &plan, at);
                continue;
            }
            let status = match blocked {
                Some(reason) => Some(reason),
                None => self.drive(now, &plan, at, &mut wants),
            };
            self.loops[at].set_status(now, status);
        }
        self.plan = Some(plan);
        if blocked.is_none() {
            self.ask_loader(now, wants);
        }
    }

    /// Without this a report between a new plan and the next tick would show the old verdict.
    fn watch_all(&mut self, now: ClockTime) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        for at in 0..self.loops.len() {
            self.watch(now, &plan, at);
        }
        self.plan = Some(plan);
    }

    /// Keeps the status of a target that another node gives orders to.
    fn watch(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let absent = self.domain_view(now, plan).actual(at).is_none();
        if absent {
            self.stale_rows[at] = true;
            self.loops[at].set_status(now, Some(BlockReason::NotObserved));
            return;
        }
        if !std::mem::take(&mut self.stale_rows[at]) {
            return;
        }
        let status = match self.step_of(plan, at) {
            Some(NeededStep::Converged) => None,
            Some(NeededStep::Blocked(reason)) => Some(reason),
            _ => Some(BlockReason::OrderDue),
        };
        self.loops[at].set_status(now, status);
    }

    fn step_of(&self, plan: &DomainPlan, at: usize) -> Option<NeededStep> {
        let gates = RolloutGates {
            plan,
            failures: &self.failures,
            state: &self.loops[at],
            halt_rule: self.settings.guards.halt_rule,
            repeat_limit: self.settings.timing.repeat_limit,
        };
        let actual = self.actuals[at].as_ref()?;
        Some(next_step(&plan.targets[at], actual, &gates))
    }

    /// Takes one target forward and returns what stands in its way.
    fn drive(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        wants: &mut Vec<SlotWant>,
    ) -> Option<BlockReason> {
        if self.loops[at].has_order(now) {
            return Some(BlockReason::OrderPending);
        }
        if let Some(reason) = self.check_observed(now, plan, at) {
            return Some(reason);
        }
        self.note_failures(now, plan, at);
        let step = self.step_of(plan, at)?;
        let target = &plan.targets[at].name;
        let (action, need, rollout) = match step {
            NeededStep::Converged => {
                self.holder.give_back(target);
                return None;
            }
            NeededStep::Blocked(reason) => {
                if reason != BlockReason::Loading {
                    self.holder.give_back(target);
                }
                return Some(reason);
            }
            NeededStep::Order(action, need, rollout) => (action, need, rollout),
        };
        let open_at = self.loops[at].open_at(&action);
        if self.settings.guards.backoff && open_at.is_some_and(|open_at| now < open_at) {
            self.holder.give_back(target);
            return Some(BlockReason::BackingOff);
        }
        let name = rollout.map(|position| plan.rollouts[position].name.clone());
        if !self.is_covered(target, &need) {
            let reason = self.holder.refusal(target);
            wants.extend(SlotWant::new(target.clone(), &need, name));
            return Some(reason);
        }
        if self.settings.guards.reread && !self.is_reread(now, at) {
            return Some(BlockReason::OrderDue);
        }
        self.send_order(now, plan, at, action, rollout);
        Some(BlockReason::OrderPending)
    }

    fn check_observed(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
    ) -> Option<BlockReason> {
        let timing = &self.settings.timing;
        let view = self.domain_view(now, plan);
        let seen = view.actual(at);
        let state = &self.loops[at];
        if seen.is_some_and(|actual| state.accepts(actual)) {
            return None;
        }
        if seen.is_none() {
            self.holder.give_back(&plan.targets[at].name);
        }
        let state = &mut self.loops[at];
        if now <= state.need_after() {
            return Some(BlockReason::Settling);
        }
        if state.take_probe(now, timing) {
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        Some(BlockReason::NotObserved)
    }

    fn is_covered(&mut self, target: &TargetName, need: &StepNeed) -> bool {
        if *need == StepNeed::Free {
            return true;
        }
        match self.holder.find(target) {
            Some(slot) if slot.covers(need) => true,
            Some(_) => {
                self.holder.give_back(target);
                false
            }
            None => false,
        }
    }

    fn is_reread(&mut self, now: ClockTime, at: usize) -> bool {
        let timing = &self.settings.timing;
        let state = &mut self.loops[at];
        let actual = self.actuals[at].as_ref();
        if actual.is_some_and(|actual| state.is_reread(now, actual, timing)) {
            return true;
        }
        state.begin_reread(now, timing);
        if state.take_probe(now, timing) {
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        false
    }

    fn send_order(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        action: OrderAction,
        rollout: Option<usize>,
    ) {
        let target = &plan.targets[at].name;
        let wall = self.settings.wall_offset + now.as_millis();
        let fencing = match self.settings.guards.fencing {
            true => self.clock.issue(plan.revision, wall),
            false => FencingNumber::default(),
        };
        let slot = self.holder.find(target);
        let rate = slot.and_then(|slot| slot.rate).filter(|_| action.is_load());
        let run = self.actuals[at].as_ref().map(|actual| actual.incarnation);
        if let Some(position) = rollout
            && action.is_load()
        {
            self.loops[at].use_retry(&plan.rollouts[position].key);
        }
        let order = TargetOrder {
            target: target.clone(),
            incarnation: run.unwrap_or_default(),
            fencing,
            action,
            rate,
            issued_at: now,
        };
        self.holder.begin_use(target);
        let jitter = self.random.random();
        self.loops[at].begin(now, order.clone(), jitter, &self.settings.timing);
        let (kind, detail) = (EventKind::OrderSent, format_smolstr!("{order}"));
        self.actions.push(BoardAction::Log { kind, detail });
        self.actions.push(BoardAction::Order(order));
    }

    /// Counts the failures that an owned target shows.
    fn note_failures(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let target = &plan.targets[at];
        for wanted in &target.wanted {
            let Some(reason) = self.failure_of(plan, at, wanted) else {
                continue;
            };
            for rollout in &wanted.rollouts {
                if self.failures.has_failed(*rollout, &target.name) {
                    continue;
                }
                self.told_failures = false;
                let name = target.name.clone();
                let halted = self.failures.add(now, plan, *rollout, name, reason.clone());
                if halted {
                    let detail = halt_text(plan, &self.failures, *rollout);
                    let kind = EventKind::RolloutHalted;
                    self.actions.push(BoardAction::Log { kind, detail });
                }
            }
        }
    }

    fn failure_of(&self, plan: &DomainPlan, at: usize, wanted: &WantedVersion) -> Option<SmolStr> {
        let actual = self.actuals[at].as_ref()?;
        let state = &self.loops[at];
        let limit = self.settings.timing.repeat_limit;
        let entry = actual.version(&wanted.model, &wanted.version);
        if let Some(LoadState::Failed {
            reason,
            memory_full,
        }) = entry.map(|entry| &entry.state)
        {
            let mut keys = wanted.rollouts.iter();
            let retry = keys.any(|at| state.may_retry(&plan.rollouts[*at].key));
            let room = || find_victim(&plan.targets[at], wanted, actual).is_some();
            let tried = state.repeats_load(wanted) >= limit;
            let failed = !retry && (!memory_full || tried && !room());
            return failed.then(|| reason.clone());
        }
        let vain = !wanted.is_served(actual) && state.vain_loads(wanted) >= limit;
        vain.then(|| format_smolstr!("no effect after {limit} orders"))
    }

    fn ask_loader(&mut self, now: ClockTime, wants: Vec<SlotWant>) {
        let Some(ask) = self.holder.next_ask(now, wants, &self.settings.timing) else {
            return;
        };
        let Some(loader) = self.holder.loader().cloned() else {
            return;
        };
        if loader == self.settings.node {
            let number = self.number();
            self.take_ask(now, &loader, number, ask);
        } else {
            self.send(loader, MessageBody::Ask(ask));
        }
    }

    fn take_ask(&mut self, now: ClockTime, from: &NodeName, number: FencingNumber, ask: SlotAsk) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let view = self.domain_view(now, &plan);
        ledger.on_ask(&view, from, number.incarnation, ask);
        self.ledger = ledger;
        self.plan = Some(plan);
    }

    fn answer_asks(&mut self, now: ClockTime) {
        if !self.ledger.is_active() {
            return;
        }
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let has_asks = ledger.has_asks();
        let view = self.domain_view(now, &plan);
        let answers = ledger.answer(&view, &self.view.live, &self.settings.guards);
        self.ledger = ledger;
        if has_asks {
            self.probe_domain(now);
        }
        self.plan = Some(plan);
        for (to, answer) in answers {
            if to == self.settings.node {
                self.holder.on_answer(now, &to, answer);
            } else {
                self.send(to, MessageBody::Answer(answer));
            }
        }
    }

    /// A loader with work needs a fresh view of all targets of its domain.
    fn probe_domain(&mut self, now: ClockTime) {
        let timing = &self.settings.timing;
        for (state, actual) in self.loops.iter_mut().zip(&self.actuals) {
            let fresh = |actual: &TargetActual| now - actual.observed_at <= timing.reread_age;
            if actual.as_ref().is_some_and(fresh) || !state.take_probe(now, timing) {
                continue;
            }
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
    }

    fn ask_hello(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let gap = self.settings.timing.message_gap;
        let waiting = self.hello_at.is_some_and(|at| now - at < gap);
        if blocked != Some(BlockReason::StaleView) || waiting {
            return;
        }
        self.hello_at = Some(now);
        for peer in self.peers() {
            self.send(peer, MessageBody::Hello(true));
        }
    }

    /// News go to all peers, then to one after the other in case a message was lost.
    fn tell_failures(&mut self) {
        let peers = self.peers();
        let news = !std::mem::replace(&mut self.told_failures, true);
        let repeat = self.ticks.is_multiple_of(REPEAT_TICKS);
        if peers.is_empty() || !news && !repeat {
            return;
        }
        let summaries = self.failures.summaries();
        if summaries.is_empty() {
            return;
        }
        let turn = (self.ticks / REPEAT_TICKS) as usize % peers.len();
        for (at, peer) in peers.into_iter().enumerate() {
            if news || at == turn {
                self.send(peer, MessageBody::Failures(summaries.clone()));
            }
        }
    }

    fn peers(&self) -> Vec<NodeName> {
        let others = self
            .view
            .live
            .iter()
            .filter(|node| **node != self.settings.node);
        others.cloned().collect()
    }

    fn number(&self) -> FencingNumber {
        let revision = self.revision().unwrap_or_default();
        FencingNumber::new(revision, self.clock.time(), self.settings.incarnation)
    }

    fn send(&mut self, to: NodeName, body: MessageBody) {
        let number = self.number();
        let message = OrderMessage { number, body };
        self.actions.push(BoardAction::Send { to, message });
    }

    fn note_rollouts(&mut self, now: ClockTime) {
        for at in 0..self.rollout_since.len() {
            let Some(row) = self.rollout_row(now, at) else {
                continue;
            };
            if self.rollout_since[at].0 != row.state {
                self.rollout_since[at] = (row.state, now);
            }
        }
        let converged = self.loops.iter().all(|state| state.status().is_none());
        if converged && !self.was_converged {
            let (kind, detail) = (EventKind::FleetConverged, SmolStr::default());
            self.actions.push(BoardAction::Log { kind, detail });
        }
        self.was_converged = converged;
    }

    fn rollout_row(&self, now: ClockTime, at: usize) -> Option<RolloutRow> {
        let plan = self.plan.as_ref()?;
        let rollout = &plan.rollouts[at];
        let view = self.domain_view(now, plan);
        let (mut ready, mut begun) = (0, 0);
        for position in &rollout.selected {
            let Some(actual) = view.actual(*position) else {
                continue;
            };
            let wanted = plan.targets[*position].wanted.iter();
            let mut mine = wanted.filter(|wanted| wanted.rollouts.contains(&at));
            ready += usize::from(mine.any(|wanted| wanted.is_served(actual)));
            begun += usize::from(actual.version(&rollout.model, &rollout.version).is_some());
        }
        let state = match self.failures.halted_since(at) {
            Some(since) => RolloutState::Halted {
                reason: self.failures.describe(at),
                since,
            },
            None if ready == rollout.selected.len() => RolloutState::Done,
            None if begun > 0 => RolloutState::Progressing,
            None => RolloutState::Pending,
        };
        Some(RolloutRow {
            domain: plan.domain.clone(),
            rollout: rollout.name.clone(),
            version: rollout.version.clone(),
            revision: plan.revision,
            state,
            ready,
            selected: rollout.selected.len(),
            failed: self.failures.failed(at),
            since: self.rollout_since[at].1,
        })
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

fn halt_text(plan: &DomainPlan, failures: &FailureCount, at: usize) -> SmolStr {
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

fn actual_text(actual: &TargetActual) -> SmolStr {
    let role = actual.role.map(|role| role.to_string());
    let versions = actual.versions.iter().map(ToString::to_string);
    let leaving = actual.leaving.then(|| "leaving".to_owned());
    let parts: Vec<String> = role.into_iter().chain(versions).chain(leaving).collect();
    SmolStr::new(parts.join(" "))
}
