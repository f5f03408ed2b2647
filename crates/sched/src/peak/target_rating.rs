use base::ClockTime;

use super::PolicySettings;
use crate::{QueueLane, QueuedItem, TargetState};

/// Rating of a target that is full.
const POINTS_PER_LIMIT: u64 = 1_000;

/// Which part of a target's memory a request may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitClass {
    /// All but the reserve.
    Full,
    /// All but the reserve and the room for quick requests.
    Reduced,
}

/// What is needed to rate targets for one request.
#[derive(Clone, Copy, Debug)]
pub struct TargetRating<'a> {
    /// Parameters of the policy.
    pub settings: &'a PolicySettings,
    /// The present.
    pub now: ClockTime,
    /// The request.
    pub queued: &'a QueuedItem,
    /// Which part of the memory the request may fill.
    pub class: LimitClass,
    /// Growth of sequences of other nodes that sent no digest.
    pub growth: f64,
}

impl TargetRating<'_> {
    /// Whether the request may go to the target at all, leaving its load aside.
    pub fn is_allowed(&self, state: &TargetState) -> bool {
        state.usable
            && state.health.accepts(self.now)
            && !self.queued.item.excluded.contains(&state.target)
    }

    /// Rates a target in the own failure domain, lower is better; `None` if it has no room.
    pub fn rate(&self, state: &TargetState, holds_prefix: bool) -> Option<u64> {
        self.rate_within(state, 1.0, holds_prefix)
    }

    /// Rates a target in another failure domain; `None` if it has no room for guests.
    pub fn rate_remote(&self, state: &TargetState) -> Option<u64> {
        let total = state.view.total();
        let own = state.view.own().peak_with(&self.queued.growth);
        if total > 0 && own as f64 > total as f64 * self.settings.remote_share {
            return None;
        }
        self.rate_within(state, self.settings.remote_limit, false)
    }

    fn rate_within(&self, state: &TargetState, part: f64, holds_prefix: bool) -> Option<u64> {
        let sequences = state.view.sequences();
        if self.queued.item.model.is_none() {
            let room = state.view.own_count() < self.settings.service_streams;
            return room.then(|| u64::from(sequences) * 10);
        }
        let total = state.view.total();
        if total == 0 {
            let room = state.view.own_count() < self.settings.blind_streams;
            return room.then(|| POINTS_PER_LIMIT / 2 + u64::from(sequences) * 10);
        }
        if sequences >= self.settings.sequence_limit {
            return None;
        }
        let prefill = state.view.own_prefill() + u64::from(self.queued.item.prompt_tokens.0);
        if state.view.own_prefill() > 0 && prefill > self.settings.prefill_limit {
            return None;
        }
        let limit = (total as f64 * part * self.limit_share(state)) as u64;
        let peak = state.view.predicted_peak(&self.queued.growth, self.growth);
        if peak > limit && sequences > 0 {
            return None;
        }
        let memory = peak * POINTS_PER_LIMIT / limit.max(1);
        let bonus = if holds_prefix {
            self.settings.prefix_points
        } else {
            0
        };
        let points = memory + u64::from(sequences) * 4 + prefill / 16;
        Some(points.saturating_sub(bonus))
    }

    fn limit_share(&self, state: &TargetState) -> f64 {
        let reserve = match self.class {
            LimitClass::Full => self.settings.memory_reserve,
            LimitClass::Reduced => self.settings.memory_reserve + self.settings.quick_reserve,
        };
        let share = state.health.limit_share(self.now, self.settings.ramp_time);
        share * (1.0 - reserve)
    }
}

impl LimitClass {
    /// Class of a request in `lane`; while a long request starves, classes are exchanged so that
    /// memory drains for it.
    pub fn of_lane(lane: QueueLane, starved: bool) -> Self {
        match (lane, starved) {
            (QueueLane::Quick, false) | (QueueLane::Long, true) => Self::Full,
            (QueueLane::Quick, true) | (QueueLane::Long, false) => Self::Reduced,
        }
    }
}
