use base::{ByteRate, ClockTime, IncarnationNumber, NodeName, TimeSpan};
use smol_str::SmolStr;

use super::slot_entry::SlotEntry;
use super::{HeldSlot, SlotAnswer, SlotAsk, SlotWant};

use crate::{BlockReason, DomainPlan, DomainView, GuardSwitches, WaveGate};

/// Loads that a loader lets run at the same time.
const SLOT_COUNT: u64 = 2;
/// Loaders whose loads may run at the same time: the present one and its predecessor.
const LOADER_COUNT: u64 = 2;

#[derive(Clone, Debug)]
struct NodeAsk {
    node: NodeName,
    run: IncarnationNumber,
    ask: SlotAsk,
    answered: bool,
}

/// The loader's record of what it granted.
#[derive(Clone, Debug, Default)]
pub struct SlotLedger {
    since: Option<ClockTime>,
    looks_since: Option<ClockTime>,
    asked_at: Option<ClockTime>,
    entries: Vec<SlotEntry>,
    asks: Vec<NodeAsk>,
}

impl SlotLedger {
    /// Starts as loader at `now`, or stops with `None`; what was granted before is forgotten only
    /// when another loader has taken over.
    pub fn set_active(&mut self, now: Option<ClockTime>) {
        if self.since.is_some() == now.is_some() {
            return;
        }
        *self = Self {
            since: now,
            ..Self::default()
        };
    }

    /// Starts again at `now` after a pause, in which another loader may have granted slots.
    pub fn restart(&mut self, now: ClockTime) {
        if self.since.is_some() {
            self.since = None;
            self.set_active(Some(now));
        }
    }

    /// Takes over a new plan: positions change, asks made under the old one are void.
    pub fn set_plan(&mut self, plan: &DomainPlan) {
        self.asks.clear();
        self.entries.retain_mut(|entry| {
            let position = plan.position(&entry.slot.target);
            entry.position = position.unwrap_or_default();
            position.is_some()
        });
    }

    /// Tells whether this node is the loader.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Tells whether asks wait for an answer.
    pub fn has_asks(&self) -> bool {
        let mut asks = self.asks.iter();
        asks.any(|known| !known.answered && !known.ask.wants.is_empty())
    }

    /// When the view of a new loader is complete enough to grant, before the observations.
    pub fn opens_at(&self, settle: TimeSpan) -> Option<ClockTime> {
        Some(self.since? + settle)
    }

    /// Takes note of an ask; an earlier one than the latest of the same run is void.
    pub fn on_ask(
        &mut self,
        view: &DomainView<'_>,
        node: &NodeName,
        run: IncarnationNumber,
        ask: SlotAsk,
    ) {
        if self.since.is_none() {
            return;
        }
        let found = self.asks.iter().position(|known| known.node == *node);
        if let Some(at) = found {
            let known = &self.asks[at];
            if known.run > run || known.run == run && known.ask.number >= ask.number {
                return;
            }
            self.asks.remove(at);
        }
        self.note_need(view, &ask);
        self.take_back(view.now, node, run, &ask);
        self.learn_held(view, node, run, &ask);
        self.asks.push(NodeAsk {
            node: node.clone(),
            run,
            ask,
            answered: false,
        });
        self.asks.sort_by(|left, right| left.node.cmp(&right.node));
    }

    /// Positions of targets whose leave was given back and that have not been looked at since.
    pub fn take_unsettled(&mut self, now: ClockTime) -> Vec<usize> {
        let due = |at: ClockTime| at < now;
        let entries = self.entries.iter_mut();
        let entries = entries.filter(|entry| entry.returned_at.is_some_and(due) && !entry.probed);
        entries
            .map(|entry| {
                entry.probed = true;
                entry.position
            })
            .collect()
    }

    /// Answers the asks that wait.
    pub fn answer(
        &mut self,
        view: &DomainView<'_>,
        live: &[NodeName],
        guards: &GuardSwitches,
    ) -> Vec<(NodeName, SlotAnswer)> {
        self.asks.retain(|known| live.contains(&known.node));
        self.retire(view, live);
        if !self.is_open(view) {
            return Vec::new();
        }
        let mut answers: Vec<(usize, SlotAnswer)> = Vec::new();
        let mut wants: Vec<(SlotWant, usize)> = Vec::new();
        for (at, known) in self.asks.iter_mut().enumerate() {
            if std::mem::replace(&mut known.answered, true) || known.ask.wants.is_empty() {
                continue;
            }
            wants.extend(known.ask.wants.iter().map(|want| (want.clone(), at)));
            let answer = SlotAnswer {
                ask: known.ask.number,
                grants: Vec::new(),
                refused: Vec::new(),
            };
            answers.push((at, answer));
        }
        wants.sort_by(|left, right| left.0.target.cmp(&right.0.target));
        for (want, at) in wants {
            let result = self.grant(view, at, &want, guards);
            let Some((_, answer)) = answers.iter_mut().find(|(asker, _)| *asker == at) else {
                continue;
            };
            match result {
                Ok(slot) => answer.grants.push(slot),
                Err(reason) => answer.refused.push((want.target, reason)),
            }
        }
        let named = |(at, answer): (usize, SlotAnswer)| (self.asks[at].node.clone(), answer);
        answers.into_iter().map(named).collect()
    }

    /// Rate of all loads that may be running: those granted and those seen at targets.
    pub fn used_rate(&self, view: &DomainView<'_>) -> ByteRate {
        let rate = slot_rate(view.plan);
        let mut sum = 0_u64;
        for position in 0..view.actuals.len() {
            let entry = self.entries.iter().find(|entry| entry.position == position);
            let granted = entry.and_then(|entry| entry.slot.rate);
            let seen = seen_rate(view, position, rate);
            let both = granted.into_iter().chain(seen).max();
            sum = sum.saturating_add(both.map_or(0, |rate| rate.0));
        }
        ByteRate(sum)
    }

    /// After a time without needs the view of the domain may have aged.
    fn note_need(&mut self, view: &DomainView<'_>, ask: &SlotAsk) {
        if ask.wants.is_empty() {
            return;
        }
        let quiet = |at| view.now - at > view.timing.absent_after;
        if self.asked_at.is_none_or(quiet) {
            self.looks_since = Some(view.now);
        }
        self.asked_at = Some(view.now);
    }

    /// A new loader waits until its predecessor's grants are in use, and visible, or dropped. Any
    /// loader looks at all targets first; those that do not answer hold nothing up, since what
    /// they may still load is the predecessor's half.
    fn is_open(&self, view: &DomainView<'_>) -> bool {
        let Some(opens_at) = self.opens_at(view.timing.settle) else {
            return false;
        };
        if view.now < opens_at {
            return false;
        }
        let looks_since = self.looks_since.unwrap_or(opens_at).max(opens_at);
        let looked = view.now - looks_since > view.timing.capacity_age;
        let mut positions = 0..view.actuals.len();
        positions.all(|position| match view.actual(position) {
            Some(actual) => actual.observed_at >= opens_at,
            None => looked,
        })
    }

    fn take_back(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        run: IncarnationNumber,
        ask: &SlotAsk,
    ) {
        for entry in &mut self.entries {
            let held = ask.held.iter().any(|slot| slot.target == entry.slot.target);
            let earlier = entry.run != run || entry.ask < ask.number;
            if entry.node == *node && earlier && !held && entry.returned_at.is_none() {
                entry.returned_at = Some(now);
            }
        }
    }

    /// A new loader learns from the asks what its predecessor granted.
    fn learn_held(
        &mut self,
        view: &DomainView<'_>,
        node: &NodeName,
        run: IncarnationNumber,
        ask: &SlotAsk,
    ) {
        for slot in &ask.held {
            let known = self.entries.iter_mut();
            let mut same = known.filter(|entry| entry.slot.target == slot.target);
            if let Some(entry) = same.find(|entry| entry.node == *node && entry.run == run) {
                entry.returned_at = None;
                entry.probed = false;
                continue;
            }
            let Some(position) = view.plan.position(&slot.target) else {
                continue;
            };
            let entry = SlotEntry {
                position,
                node: node.clone(),
                run,
                ask: ask.number,
                until: load_end(view, slot),
                returned_at: None,
                probed: false,
                slot: slot.clone(),
            };
            self.entries.push(entry);
        }
    }

    fn retire(&mut self, view: &DomainView<'_>, live: &[NodeName]) {
        for entry in &mut self.entries {
            if entry.returned_at.is_none() && !live.contains(&entry.node) {
                entry.returned_at = Some(view.now + view.timing.settle);
            }
        }
        self.entries.retain(|entry| {
            let Some(returned_at) = entry.returned_at else {
                return true;
            };
            match view.actual(entry.position) {
                Some(actual) => actual.observed_at <= returned_at || actual.is_loading(),
                None => view.now < entry.until,
            }
        });
    }

    fn grant(
        &mut self,
        view: &DomainView<'_>,
        at: usize,
        want: &SlotWant,
        guards: &GuardSwitches,
    ) -> Result<HeldSlot, BlockReason> {
        let position = view.plan.position(&want.target);
        let position = position.ok_or(BlockReason::NoDeclaration)?;
        if self.entries.iter().any(|entry| entry.position == position) {
            return Err(BlockReason::NoSlot);
        }
        if let Some(rollout) = &want.rollout {
            self.check_rollout(view, rollout, position, guards)?;
        }
        if guards.capacity_rule {
            self.check_capacity(view, position, want)?;
        }
        let rate = want.loads.then(|| slot_rate(view.plan));
        if let Some(rate) = rate {
            let limit = view.plan.rate_share.0 / LOADER_COUNT;
            let after = self.used_rate(view).0.saturating_add(rate.0);
            if rate.0 == 0 || after > limit {
                return Err(BlockReason::NoSlot);
            }
        }
        let slot = HeldSlot {
            target: want.target.clone(),
            rate,
            lost: want.lost.clone(),
            rollout: want.rollout.clone(),
        };
        let known = &self.asks[at];
        self.entries.push(SlotEntry {
            position,
            node: known.node.clone(),
            run: known.run,
            ask: known.ask.number,
            until: load_end(view, &slot),
            returned_at: None,
            probed: false,
            slot: slot.clone(),
        });
        Ok(slot)
    }

    /// Loads under way count as failures to come, so that no more targets fail than are allowed.
    fn check_rollout(
        &self,
        view: &DomainView<'_>,
        name: &SmolStr,
        position: usize,
        guards: &GuardSwitches,
    ) -> Result<(), BlockReason> {
        let rollout = view.plan.rollout(name).ok_or(BlockReason::NoDeclaration)?;
        let plan = &view.plan.rollouts[rollout];
        if guards.halt_rule {
            let mine = |entry: &&SlotEntry| entry.slot.rollout.as_ref() == Some(name);
            let pending = self.entries.iter().filter(mine).count();
            if view.failures.halted_since(rollout).is_some() {
                return Err(BlockReason::RolloutHalted);
            }
            if view.failures.failed(rollout) + pending >= plan.failure_limit {
                return Err(BlockReason::NoSlot);
            }
        }
        if WaveGate::new(*view).is_open(rollout, position) {
            Ok(())
        } else {
            Err(BlockReason::EarlierWave)
        }
    }

    fn check_capacity(
        &self,
        view: &DomainView<'_>,
        position: usize,
        want: &SlotWant,
    ) -> Result<(), BlockReason> {
        let Some(model) = &want.lost else {
            return Ok(());
        };
        let taking = |entry: &&SlotEntry| entry.slot.lost.as_ref() == Some(model);
        if self.entries.iter().any(|entry| taking(&entry)) {
            return Err(BlockReason::LeastCapacity);
        }
        if view.count_ready(model, &[position]) < view.plan.least_ready(model) {
            return Err(BlockReason::LeastCapacity);
        }
        Ok(())
    }
}

/// Rate of one load.
fn slot_rate(plan: &DomainPlan) -> ByteRate {
    ByteRate(plan.rate_share.0 / (LOADER_COUNT * SLOT_COUNT))
}

/// Rate of a load seen at a target; a target that does not report it runs at the granted one.
fn seen_rate(view: &DomainView<'_>, position: usize, default: ByteRate) -> Option<ByteRate> {
    let actual = view.actual(position)?;
    let mut loading = actual.versions.iter().filter(|entry| entry.is_loading());
    loading
        .next()
        .map(|entry| entry.load_rate.unwrap_or(default))
}

/// Twice the time of the load, and the time in which a target is found absent.
fn load_end(view: &DomainView<'_>, slot: &HeldSlot) -> ClockTime {
    let rollout = slot
        .rollout
        .as_ref()
        .and_then(|name| view.plan.rollout(name));
    let bytes = rollout.map_or(0, |at| view.plan.rollouts[at].weight_bytes.0);
    let rate = slot.rate.map_or(u64::MAX, |rate| rate.0.max(1));
    let span = TimeSpan::new(bytes.saturating_mul(2_000) / rate);
    view.now + span + view.timing.absent_after
}
