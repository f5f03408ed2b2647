use base::ClockTime;

use super::PolicySettings;
use crate::{GrowthEstimate, QueueLane, QueuedItem, TargetState};

/// Score of a target that is filled up to its memory limit.
const FULL_TARGET_SCORE: u64 = 1_000;
/// Factor on the prefix bonus for quick requests, since the prompt is most of their work.
const QUICK_PREFIX_BONUS_FACTOR: u64 = 4;

/// How much of a target's memory a request may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitClass {
    /// The whole memory share.
    Full,
    /// The memory share without the part reserved for quick requests.
    Reduced,
}

/// Scores targets for one request.
#[derive(Clone, Copy, Debug)]
pub struct TargetScorer<'a> {
    /// Parameters of the policy.
    pub settings: &'a PolicySettings,
    /// Current time.
    pub now: ClockTime,
    /// The request.
    pub queued: &'a QueuedItem,
    /// How much of the memory the request may fill.
    pub class: LimitClass,
    /// Average growth of sequences, estimated from the running streams of this node.
    pub growth_estimate: GrowthEstimate,
}

impl TargetScorer<'_> {
    /// Whether the request may be dispatched to the target, regardless of its load.
    pub fn is_allowed(&self, state: &TargetState) -> bool {
        state.usable
            && state.health.is_available(self.now)
            && !self.queued.item.excluded.contains(&state.target)
    }

    /// Scores a target in the failure domain of this node; lower is better, `None` if it has no room.
    pub fn score(&self, state: &TargetState, holds_prefix: bool) -> Option<u64> {
        let score = self.score_within(state, 1.0)?;
        if !holds_prefix || self.queued.item.model.is_none() {
            return Some(score);
        }
        let factor = match self.queued.lane {
            QueueLane::Quick => QUICK_PREFIX_BONUS_FACTOR,
            QueueLane::Long => 1,
        };
        Some(score.saturating_sub(self.settings.prefix_bonus * factor))
    }

    /// Scores a target in another failure domain; `None` if it has no room within the limits for
    /// remote requests.
    pub fn score_remote(&self, state: &TargetState) -> Option<u64> {
        let total = state.view.total();
        let own = state.view.own().peak_with(&self.queued.growth);
        if total > 0 && own as f64 > total as f64 * self.settings.remote_own_share {
            return None;
        }
        self.score_within(state, self.settings.remote_load_limit)
    }

    /// Scores a target with its memory limit multiplied by `limit_factor`; `None` if it has no room.
    fn score_within(&self, state: &TargetState, limit_factor: f64) -> Option<u64> {
        let sequences = state.view.sequences();
        if self.queued.item.model.is_none() {
            let room = state.view.own_count() < self.settings.service_stream_limit;
            return room.then(|| u64::from(sequences) * 10);
        }
        let total = state.view.total();
        if total == 0 {
            let room = state.view.own_count() < self.settings.unreported_stream_limit;
            return room.then(|| FULL_TARGET_SCORE / 2 + u64::from(sequences) * 10);
        }
        if sequences >= self.settings.sequence_limit {
            return None;
        }
        let prefill = state.view.own_prefill() + u64::from(self.queued.item.prompt_tokens.0);
        if state.view.own_prefill() > 0 && prefill > self.settings.prefill_limit {
            return None;
        }
        let limit = (total as f64 * limit_factor * self.limit_share(state)) as u64;
        let peak = state
            .view
            .predicted_peak(&self.queued.growth, self.growth_estimate.factor);
        let deviation = (peak as f64 * self.growth_estimate.variance).sqrt();
        let needed = peak + (deviation * self.settings.deviation_reserve) as u64;
        if needed > limit && sequences > 0 {
            return None;
        }
        Some(match self.queued.lane {
            // In units of 20 µs of step time, the time to prefill one token.
            QueueLane::Quick => u64::from(sequences) * 14 + prefill + peak / 500,
            QueueLane::Long => {
                let memory = needed * FULL_TARGET_SCORE / limit.max(1);
                memory + u64::from(sequences) * 4 + prefill / 16
            }
        })
    }

    /// Share of the target's memory that the request may fill.
    fn limit_share(&self, state: &TargetState) -> f64 {
        let share = match self.class {
            LimitClass::Full => self.settings.memory_share,
            LimitClass::Reduced => self.settings.memory_share - self.settings.quick_reserve,
        };
        share
            * state
                .health
                .limit_share(self.now, self.settings.slow_start_time)
    }
}

impl LimitClass {
    /// Returns the class of a request in `lane`. While a long request is starved, the classes are
    /// swapped, so that quick requests leave memory free for it.
    pub fn of_lane(lane: QueueLane, starved: bool) -> Self {
        match (lane, starved) {
            (QueueLane::Quick, false) | (QueueLane::Long, true) => Self::Full,
            (QueueLane::Quick, true) | (QueueLane::Long, false) => Self::Reduced,
        }
    }
}
