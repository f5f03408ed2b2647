use base::{ClockTime, IncarnationNumber, ModelName, TargetName, TimeSpan, VersionName};

use super::repeat_table::RepeatTable;
use super::{BlockReason, LoopTiming};
use crate::{
    LoadState, OrderAction, OrderOutcome, RolloutKey, TargetActual, TargetOrder, WantedVersion,
};

/// Most rollouts remembered as free to be tried again.
const RETRY_LIMIT: usize = 16;

#[derive(Clone, Debug)]
struct SentOrder {
    order: TargetOrder,
    until: ClockTime,
}

/// Whether the target was observed anew for the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RereadState {
    Idle,
    Asked(ClockTime),
    Done,
}

/// State of the reconciliation of one target: at most one order is under way.
#[derive(Clone, Debug)]
pub struct OrderLoop {
    target: TargetName,
    owned_since: Option<ClockTime>,
    need_after: ClockTime,
    reread: RereadState,
    probed_at: Option<ClockTime>,
    sent: Option<SentOrder>,
    orders: u64,
    repeats: RepeatTable,
    run: Option<IncarnationNumber>,
    short_of: Vec<(ModelName, VersionName)>,
    retries: Vec<RolloutKey>,
    status: Option<BlockReason>,
    since: ClockTime,
}

impl OrderLoop {
    /// Creates the loop of a target that is not owned yet.
    pub fn new(target: TargetName, now: ClockTime) -> Self {
        Self {
            target,
            owned_since: None,
            need_after: now,
            reread: RereadState::Idle,
            probed_at: None,
            sent: None,
            orders: 0,
            repeats: RepeatTable::default(),
            run: None,
            short_of: Vec::new(),
            retries: Vec::new(),
            status: Some(BlockReason::NotObserved),
            since: now,
        }
    }

    /// Target of the loop.
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Orders sent by this node to the target.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// Tells whether this node gives the orders.
    pub fn is_owned(&self) -> bool {
        self.owned_since.is_some()
    }

    /// Sets the ownership; a new owner waits for `settle` and observes the target after it.
    pub fn set_owned(&mut self, now: ClockTime, owned: bool, settle: TimeSpan) {
        if owned == self.is_owned() {
            return;
        }
        self.sent = None;
        self.reread = RereadState::Idle;
        self.repeats.clear();
        self.owned_since = owned.then_some(now);
        self.need_after = now + settle;
    }

    /// Ends what was under way before a pause; only later observations count.
    pub fn on_resume(&mut self, now: ClockTime) {
        self.need_after = self.need_after.max(now);
        self.sent = None;
        self.reread = RereadState::Idle;
    }

    /// Takes note of an observation.
    pub fn on_actual(&mut self, actual: &TargetActual) {
        self.repeats.note_effects(actual);
        if matches!(self.reread, RereadState::Asked(from) if actual.observed_at >= from) {
            self.reread = RereadState::Done;
        }
        if self.run != Some(actual.incarnation) {
            self.run = Some(actual.incarnation);
            self.repeats.clear();
            self.retries.clear();
        }
        let short = actual.versions.iter().filter(|entry| {
            matches!(
                entry.state,
                LoadState::Failed {
                    memory_full: true,
                    ..
                }
            )
        });
        self.short_of = short
            .map(|entry| (entry.model.clone(), entry.version.clone()))
            .collect();
    }

    /// Forgets the repetitions if the revision wants another state of this target; a rollout that
    /// changed may be tried again.
    pub fn on_plan(&mut self, is_same: bool, changed: &[RolloutKey]) {
        if !is_same {
            self.repeats.clear();
        }
        let free = RETRY_LIMIT.saturating_sub(self.retries.len());
        self.retries.extend(changed.iter().take(free).cloned());
    }

    /// Takes note of what became of an order.
    pub fn on_outcome(&mut self, now: ClockTime, order: &TargetOrder, outcome: &OrderOutcome) {
        let current = self.sent.as_ref().is_some_and(|sent| sent.order == *order);
        if !current {
            return;
        }
        self.sent = None;
        self.reread = RereadState::Idle;
        if *outcome == OrderOutcome::NotSent {
            self.repeats.take_back(&order.action);
            return;
        }
        self.need_after = self.need_after.max(now);
    }

    /// Tells whether an observation is new enough to decide by.
    pub fn accepts(&self, actual: &TargetActual) -> bool {
        actual.observed_at > self.need_after
    }

    /// Observations at this moment or before do not count.
    pub fn need_after(&self) -> ClockTime {
        self.need_after
    }

    /// Ends an order whose answer is overdue; tells whether one is still under way.
    pub fn has_order(&mut self, now: ClockTime) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        if now < sent.until {
            return true;
        }
        self.sent = None;
        self.reread = RereadState::Idle;
        self.need_after = self.need_after.max(now);
        false
    }

    /// Order under way.
    pub fn sent(&self) -> Option<&TargetOrder> {
        self.sent.as_ref().map(|sent| &sent.order)
    }

    /// Tells whether the target was probed for the next order and the result is new enough.
    pub fn is_reread(&self, now: ClockTime, actual: &TargetActual, timing: &LoopTiming) -> bool {
        self.reread == RereadState::Done && now - actual.observed_at <= timing.reread_age
    }

    /// Asks for an observation from now on.
    pub fn begin_reread(&mut self, now: ClockTime, timing: &LoopTiming) {
        let waiting = |from| now - from <= timing.reread_age;
        if !matches!(self.reread, RereadState::Asked(from) if waiting(from)) {
            self.reread = RereadState::Asked(now);
            self.probed_at = None;
        }
    }

    /// Tells whether to probe the target now, at most once in a probe gap.
    pub fn take_probe(&mut self, now: ClockTime, timing: &LoopTiming) -> bool {
        if self.probed_at.is_some_and(|at| now - at < timing.probe_gap) {
            return false;
        }
        self.probed_at = Some(now);
        true
    }

    /// Earliest time at which an order with this action may be sent again.
    pub fn open_at(&self, action: &OrderAction) -> Option<ClockTime> {
        self.repeats.open_at(action)
    }

    /// Takes note of an order that is sent; `jitter` in 0..1 spreads its repetitions.
    pub fn begin(&mut self, now: ClockTime, order: TargetOrder, jitter: f64, timing: &LoopTiming) {
        self.repeats.add(now, &order.action, jitter, timing);
        self.orders += 1;
        self.need_after = self.need_after.max(now);
        self.reread = RereadState::Idle;
        let until = now + timing.order_timeout;
        self.sent = Some(SentOrder { order, until });
    }

    /// Uses up the leave to try a rollout again.
    pub fn use_retry(&mut self, key: &RolloutKey) {
        self.retries.retain(|known| known != key);
    }

    /// Tells whether a failure shown by the target is older than the rollout.
    pub fn may_retry(&self, key: &RolloutKey) -> bool {
        self.retries.contains(key)
    }

    /// Tells whether the target failed to load the version for lack of memory.
    pub fn lacks_memory(&self, wanted: &WantedVersion) -> bool {
        let mut entries = self.short_of.iter();
        entries.any(|(model, version)| wanted.model == *model && wanted.version == *version)
    }

    /// How often loads for the version were ordered.
    pub fn repeats_load(&self, wanted: &WantedVersion) -> u32 {
        self.repeats.count(|action| wanted.is_object_of(action))
    }

    /// How often loads for the version were ordered without any effect.
    pub fn vain_loads(&self, wanted: &WantedVersion) -> u32 {
        self.repeats
            .count_vain(|action| wanted.is_object_of(action))
    }

    /// Sets what stands in the way; `None` means that the target is in its declared state.
    pub fn set_status(&mut self, now: ClockTime, status: Option<BlockReason>) {
        if status != self.status {
            self.status = status;
            self.since = now;
        }
    }

    /// What stands in the way.
    pub fn status(&self) -> Option<BlockReason> {
        self.status
    }

    /// Since when the status holds.
    pub fn since(&self) -> ClockTime {
        self.since
    }
}
