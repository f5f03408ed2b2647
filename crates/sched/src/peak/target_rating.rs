use base::ClockTime;

use super::PolicySettings;
use crate::{GrowthOutlook, QueueLane, QueuedItem, TargetState};

/// Rating of a target that is full.
const POINTS_PER_LIMIT: u64 = 1_000;
/// Worth of a held prefix to a quick request over that to others: its prompt is most of its work.
const QUICK_PREFIX_FACTOR: u64 = 4;

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
    /// How sequences on a target will grow, as far as it is learned from own streams.
    pub growth: GrowthOutlook,
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
        let points = self.rate_within(state, 1.0)?;
        if !holds_prefix || self.queued.item.model.is_none() {
            return Some(points);
        }
        let factor = match self.queued.lane {
            QueueLane::Quick => QUICK_PREFIX_FACTOR,
            QueueLane::Long => 1,
        };
        Some(points.saturating_sub(self.settings.prefix_points * factor))
    }

    /// Rates a target in another failure domain; `None` if it has no room for guests.
    pub fn rate_remote(&self, state: &TargetState) -> Option<u64> {
        let total = state.view.total();
        let own = state.view.own().peak_with(&self.queued.growth);
        if total > 0 && own as f64 > total as f64 * self.settings.remote_share {
            return None;
        }
        self.rate_within(state, self.settings.remote_limit)
    }

    fn rate_within(&self, state: &TargetState, part: f64) -> Option<u64> {
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
        let peak = state
            .view
            .predicted_peak(&self.queued.growth, self.growth.factor);
        let spread = (peak as f64 * self.growth.variance).sqrt();
        let wanted = peak + (spread * self.settings.spread_reserve) as u64;
        if wanted > limit && sequences > 0 {
            return None;
        }
        Some(match self.queued.lane {
            // In units of 20 µs of step time, the time to prefill one token.
            QueueLane::Quick => u64::from(sequences) * 14 + prefill + peak / 500,
            QueueLane::Long => {
                let memory = wanted * POINTS_PER_LIMIT / limit.max(1);
                memory + u64::from(sequences) * 4 + prefill / 16
            }
        })
    }

    fn limit_share(&self, state: &TargetState) -> f64 {
        let part = match self.class {
            LimitClass::Full => self.settings.memory_share,
            LimitClass::Reduced => self.settings.memory_share - self.settings.quick_reserve,
        };
        part * state.health.limit_share(self.now, self.settings.ramp_time)
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
