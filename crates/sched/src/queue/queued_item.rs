use base::ClockTime;

use super::QueueLane;
use crate::{GrowthCurve, LengthCurve, LengthModel, PolicySettings, WorkItem};

/// Longest output that is reckoned with.
const LENGTH_CAP: u32 = (1 << 17) - 1;
/// Prompt tokens that cost as much as one output token.
const PROMPT_PER_COST: u64 = 16;

/// A waiting request with its prediction.
#[derive(Clone, Debug)]
pub struct QueuedItem {
    /// The request.
    pub item: WorkItem,
    /// Distribution of its output length.
    pub curve: LengthCurve,
    /// Expected memory from its start on.
    pub growth: GrowthCurve,
    /// Longest possible output.
    pub cap: u32,
    /// Expected work in tokens.
    pub cost: u64,
    /// Lane in which it waits.
    pub lane: QueueLane,
    /// When it is refused if it still waits.
    pub expiry: ClockTime,
    /// Order within its workspace and lane: arrival plus a delay for each expected token.
    ///
    /// The delay is fixed at arrival, so that a long request overtakes every request that arrives
    /// late enough and finishes at last.
    pub rank: u64,
}

impl QueuedItem {
    /// Predicts length, memory and work of a request and decides how long it may wait.
    pub fn predict(item: WorkItem, lengths: &LengthModel, settings: &PolicySettings) -> Self {
        let most = item.max_tokens.map(|most| most.0);
        let cap = most.map_or(LENGTH_CAP, |most| most.min(LENGTH_CAP));
        let model = item.model.as_ref();
        let curve = lengths.curve(&item.workspace, model, item.kind, cap);
        let mean = curve.mean_remaining(0, cap);
        let prompt = item.prompt_tokens.0;
        let growth = match item.model {
            Some(_) => GrowthCurve::of_stream(&curve, prompt, 0, cap),
            None => GrowthCurve::default(),
        };
        let quick = mean <= f64::from(settings.quick_tokens);
        let lane = if quick {
            QueueLane::Quick
        } else {
            QueueLane::Long
        };
        let cost = 1 + mean as u64 + u64::from(prompt) / PROMPT_PER_COST;
        let patience = match lane {
            QueueLane::Quick => settings.quick_wait,
            QueueLane::Long => settings.long_wait,
        };
        let expiry = item.arrival + patience;
        Self {
            curve,
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
