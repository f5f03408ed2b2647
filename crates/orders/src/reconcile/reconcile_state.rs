use base::{ClockTime, IncarnationNumber, ModelName, TargetName, TimeSpan, VersionName};

use super::repeat_table::RepeatTable;
use super::{BlockReason, ReconcileTiming};
use crate::{
    ActualState, LoadState, OrderAction, OrderOutcome, RolloutKey, TargetOrder, WantedVersion,
};

/// Maximum number of rollouts remembered as retryable.
const RETRY_LIMIT: usize = 16;

/// Order in flight and the time until which its outcome is awaited.
#[derive(Clone, Debug)]
struct SentOrder {
    order: TargetOrder,
    timeout_at: ClockTime,
}

/// Progress of the probe that must precede each order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReprobeState {
    Idle,
    Requested(ClockTime),
    Done,
}

/// State of the reconciliation of one target at one node: ownership, the order in flight (at most
/// one), repetitions and status.
#[derive(Clone, Debug)]
pub struct ReconcileState {
    target: TargetName,
    owned_since: Option<ClockTime>,
    /// Only observations made after this time count.
    observe_after: ClockTime,
    reprobe: ReprobeState,
    probed_at: Option<ClockTime>,
    /// Order in flight.
    sent: Option<SentOrder>,
    /// Number of orders sent.
    orders: u64,
    repeats: RepeatTable,
    incarnation: Option<IncarnationNumber>,
    /// Versions that failed to load due to insufficient memory, by the latest observation.
    out_of_memory: Vec<(ModelName, VersionName)>,
    /// Rollouts that changed since their version was last ordered.
    retryable: Vec<RolloutKey>,
    status: Option<BlockReason>,
    since: ClockTime,
}

impl ReconcileState {
    /// Creates the state of a target that this node does not own yet.
    pub fn new(target: TargetName, now: ClockTime) -> Self {
        Self {
            target,
            owned_since: None,
            observe_after: now,
            reprobe: ReprobeState::Idle,
            probed_at: None,
            sent: None,
            orders: 0,
            repeats: RepeatTable::default(),
            incarnation: None,
            out_of_memory: Vec::new(),
            retryable: Vec::new(),
            status: Some(BlockReason::NotObserved),
            since: now,
        }
    }

    /// Name of the target.
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Number of orders sent by this node to the target.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// Tells whether this node is the owner of the target, which sends it orders.
    pub fn is_owned(&self) -> bool {
        self.owned_since.is_some()
    }

    /// Sets whether this node owns the target. A new owner waits for `settle_time` and acts only on
    /// observations made after that.
    pub fn set_owned(&mut self, now: ClockTime, owned: bool, settle_time: TimeSpan) {
        if owned == self.is_owned() {
            return;
        }
        self.sent = None;
        self.reprobe = ReprobeState::Idle;
        self.repeats.clear();
        self.owned_since = owned.then_some(now);
        self.observe_after = now + settle_time;
    }

    /// Discards the order in flight and the probe after a pause of the process; only observations
    /// made after `now` count.
    pub fn on_resume(&mut self, now: ClockTime) {
        self.observe_after = self.observe_after.max(now);
        self.sent = None;
        self.reprobe = ReprobeState::Idle;
    }

    /// Handles a new observation of the target.
    pub fn on_actual_state(&mut self, actual: &ActualState) {
        self.repeats.note_effects(actual);
        if matches!(self.reprobe, ReprobeState::Requested(from) if actual.observed_at >= from) {
            self.reprobe = ReprobeState::Done;
        }
        if self.incarnation != Some(actual.incarnation) {
            self.incarnation = Some(actual.incarnation);
            self.repeats.clear();
            self.retryable.clear();
        }
        let failed = actual.versions.iter().filter(|entry| {
            matches!(
                entry.state,
                LoadState::Failed {
                    memory_full: true,
                    ..
                }
            )
        });
        self.out_of_memory = failed
            .map(|entry| (entry.model.clone(), entry.version.clone()))
            .collect();
    }

    /// Handles a new plan: clears the repetitions if the declared state of the target changed, and
    /// marks the changed rollouts as retryable.
    pub fn on_plan(&mut self, is_same: bool, changed: &[RolloutKey]) {
        if !is_same {
            self.repeats.clear();
        }
        let free = RETRY_LIMIT.saturating_sub(self.retryable.len());
        self.retryable.extend(changed.iter().take(free).cloned());
    }

    /// Handles the outcome of an order; ignored unless the order is the one in flight.
    pub fn on_outcome(&mut self, now: ClockTime, order: &TargetOrder, outcome: &OrderOutcome) {
        let is_in_flight = self.sent.as_ref().is_some_and(|sent| sent.order == *order);
        if !is_in_flight {
            return;
        }
        self.sent = None;
        self.reprobe = ReprobeState::Idle;
        if *outcome == OrderOutcome::NotSent {
            self.repeats.undo(&order.action);
            return;
        }
        self.observe_after = self.observe_after.max(now);
    }

    /// Tells whether an observation is recent enough to base a decision on.
    pub fn accepts(&self, actual: &ActualState) -> bool {
        actual.observed_at > self.observe_after
    }

    /// Only observations made after this time count.
    pub fn observe_after(&self) -> ClockTime {
        self.observe_after
    }

    /// Tells whether an order is in flight. An order whose outcome is overdue is discarded first.
    pub fn has_order_in_flight(&mut self, now: ClockTime) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        if now < sent.timeout_at {
            return true;
        }
        self.sent = None;
        self.reprobe = ReprobeState::Idle;
        self.observe_after = self.observe_after.max(now);
        false
    }

    /// Order in flight.
    pub fn sent(&self) -> Option<&TargetOrder> {
        self.sent.as_ref().map(|sent| &sent.order)
    }

    /// Tells whether the target was probed for the next order and the result is recent enough.
    pub fn is_reprobed(
        &self,
        now: ClockTime,
        actual: &ActualState,
        timing: &ReconcileTiming,
    ) -> bool {
        self.reprobe == ReprobeState::Done && now - actual.observed_at <= timing.reprobe_max_age
    }

    /// Requires an observation made from now on, unless one has been requested recently.
    pub fn begin_reprobe(&mut self, now: ClockTime, timing: &ReconcileTiming) {
        let waiting = |from| now - from <= timing.reprobe_max_age;
        if !matches!(self.reprobe, ReprobeState::Requested(from) if waiting(from)) {
            self.reprobe = ReprobeState::Requested(now);
            self.probed_at = None;
        }
    }

    /// Tells whether to probe the target now; returns `true` at most once per probe interval.
    pub fn claim_probe(&mut self, now: ClockTime, timing: &ReconcileTiming) -> bool {
        if self
            .probed_at
            .is_some_and(|at| now - at < timing.probe_interval)
        {
            return false;
        }
        self.probed_at = Some(now);
        true
    }

    /// Earliest time at which an order with this action may be sent again.
    pub fn retry_at(&self, action: &OrderAction) -> Option<ClockTime> {
        self.repeats.retry_at(action)
    }

    /// Records an order that is sent; `jitter` in 0..1 spreads its repetitions over time.
    pub fn record_order(
        &mut self,
        now: ClockTime,
        order: TargetOrder,
        jitter: f64,
        timing: &ReconcileTiming,
    ) {
        self.repeats.add(now, &order.action, jitter, timing);
        self.orders += 1;
        self.observe_after = self.observe_after.max(now);
        self.reprobe = ReprobeState::Idle;
        let timeout_at = now + timing.order_timeout;
        self.sent = Some(SentOrder { order, timeout_at });
    }

    /// Marks a rollout as no longer retryable, since its version is being loaded again.
    pub fn consume_retry(&mut self, key: &RolloutKey) {
        self.retryable.retain(|known| known != key);
    }

    /// Tells whether the rollout changed since its version was last ordered on the target, so that
    /// a failure shown by the target is older than the rollout and the version may be loaded again.
    pub fn may_retry(&self, key: &RolloutKey) -> bool {
        self.retryable.contains(key)
    }

    /// Tells whether the target failed to load the version due to insufficient memory.
    pub fn lacks_memory(&self, wanted: &WantedVersion) -> bool {
        let mut entries = self.out_of_memory.iter();
        entries.any(|(model, version)| wanted.model == *model && wanted.version == *version)
    }

    /// Number of times that a load for the version was ordered: the largest count of one action.
    pub fn load_count(&self, wanted: &WantedVersion) -> u32 {
        self.repeats.count(|action| wanted.is_loaded_by(action))
    }

    /// Number of times that a load for the version was ordered without any effect.
    pub fn ineffective_load_count(&self, wanted: &WantedVersion) -> u32 {
        self.repeats
            .count_ineffective(|action| wanted.is_loaded_by(action))
    }

    /// Sets why the target is not in its declared state; `None` means that it is.
    pub fn set_status(&mut self, now: ClockTime, status: Option<BlockReason>) {
        if status != self.status {
            self.status = status;
            self.since = now;
        }
    }

    /// Why the target is not in its declared state; `None` means that it is.
    pub fn status(&self) -> Option<BlockReason> {
        self.status
    }

    /// Since when the status has had its value.
    pub fn since(&self) -> ClockTime {
        self.since
    }
}
