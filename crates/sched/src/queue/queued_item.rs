use base::ClockTime;

use super::QueueLane;
use crate::{GrowthCurve, LengthDistribution, LengthPredictor, PolicySettings, WorkItem};

/// Upper bound of the output length; replaces a missing or larger `max_tokens`.
const LENGTH_CAP: u32 = (1 << 17) - 1;
/// Number of prompt tokens that cost as much as one output token.
const PROMPT_PER_COST: u64 = 16;

/// A waiting request with its predicted length, memory and cost.
#[derive(Clone, Debug)]
pub struct QueuedItem {
    /// The request.
    pub item: WorkItem,
    /// Predicted distribution of the output length.
    pub distribution: LengthDistribution,
    /// Expected memory use, from the start of the request on.
    pub growth: GrowthCurve,
    /// Longest possible output, in tokens.
    pub cap: u32,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Lane in which the request waits.
    pub lane: QueueLane,
    /// When the request is refused if it still waits.
    pub expiry: ClockTime,
    /// Order within its workspace and lane: arrival plus a delay for each expected token.
    ///
    /// The delay is fixed at arrival, so that a long request is ahead of every request that arrives
    /// late enough. This prevents starvation.
    pub rank: u64,
}

impl QueuedItem {
    /// Predicts length, memory and cost of a request and derives its lane, rank and expiry.
    pub fn predict(item: WorkItem, lengths: &LengthPredictor, settings: &PolicySettings) -> Self {
        let max_tokens = item.max_tokens.map(|max| max.0);
        let cap = max_tokens.map_or(LENGTH_CAP, |max| max.min(LENGTH_CAP));
        let model = item.model.as_ref();
        let distribution = lengths.distribution(&item.workspace, model, item.kind, cap);
        let mean = distribution.mean_remaining(0, cap);
        let prompt = item.prompt_tokens.0;
        let growth = match item.model {
            Some(_) => GrowthCurve::for_stream(&distribution, prompt, 0, cap),
            None => GrowthCurve::default(),
        };
        let quick = mean <= f64::from(settings.quick_tokens);
        let lane = if quick {
            QueueLane::Quick
        } else {
            QueueLane::Long
        };
        let cost = 1 + mean as u64 + u64::from(prompt) / PROMPT_PER_COST;
        let max_wait = match lane {
            QueueLane::Quick => settings.quick_max_wait,
            QueueLane::Long => settings.long_max_wait,
        };
        let expiry = item.arrival + max_wait;
        Self {
            distribution,
            growth,
            cap,
            cost,
            lane,
            expiry: item
                .deadline
                .map_or(expiry, |deadline| deadline.min(expiry)),
            rank: item.arrival.as_millis() + cost * settings.token_delay_ms,
            item,
        }
    }
}
