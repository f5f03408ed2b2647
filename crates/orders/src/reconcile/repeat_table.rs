use base::{ClockTime, TimeSpan};

use super::ReconcileTiming;
use crate::{ActualState, LoadedVersion, OrderAction};

/// Maximum number of actions remembered for one target.
const ENTRY_LIMIT: usize = 32;
/// Maximum exponent of the back-off.
const MAX_DOUBLINGS: u32 = 16;

/// How often and when one action was ordered.
#[derive(Clone, Debug)]
struct RepeatEntry {
    action: OrderAction,
    count: u32,
    sent_at: ClockTime,
    retry_at: ClockTime,
    has_effect: bool,
}

/// Counts the orders sent to one incarnation of a target, in order to delay repetitions that have
/// no lasting effect.
#[derive(Clone, Debug, Default)]
pub struct RepeatTable {
    entries: Vec<RepeatEntry>,
}

impl RepeatTable {
    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Adds an order. The second order with an action is not delayed, since a single lost order is
    /// common.
    pub fn add(
        &mut self,
        now: ClockTime,
        action: &OrderAction,
        jitter: f64,
        timing: &ReconcileTiming,
    ) {
        let known = self
            .entries
            .iter()
            .position(|entry| entry.action == *action);
        let mut entry = match known {
            Some(at) => self.entries.remove(at),
            None => RepeatEntry {
                action: action.clone(),
                count: 0,
                sent_at: now,
                retry_at: now,
                has_effect: false,
            },
        };
        let reset_after = timing.backoff_max * 10;
        if now - entry.sent_at > reset_after {
            entry.count = 0;
        }
        entry.count += 1;
        entry.sent_at = now;
        entry.retry_at = now + backoff_after(entry.count, jitter, timing);
        if self.entries.len() == ENTRY_LIMIT {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }

    /// Removes one order that was not sent from the count.
    pub fn undo(&mut self, action: &OrderAction) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.action == *action) {
            entry.count = entry.count.saturating_sub(1);
            entry.retry_at = entry.sent_at;
        }
    }

    /// Earliest time of the next order with this action.
    pub fn retry_at(&self, action: &OrderAction) -> Option<ClockTime> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.action == *action)?;
        Some(entry.retry_at)
    }

    /// Marks loads whose effect is visible. The mark stays even if the effect is undone later.
    pub fn note_effects(&mut self, actual: &ActualState) {
        for entry in &mut self.entries {
            entry.has_effect |= is_effect_visible(actual, &entry.action);
        }
    }

    /// Largest count among the actions that `selects` accepts and whose effect was never visible.
    pub fn count_ineffective(&self, selects: impl Fn(&OrderAction) -> bool) -> u32 {
        let entries = self.entries.iter().filter(|entry| !entry.has_effect);
        let entries = entries.filter(|entry| selects(&entry.action));
        entries.map(|entry| entry.count).max().unwrap_or(0)
    }

    /// Largest count among the actions that `selects` accepts.
    pub fn count(&self, selects: impl Fn(&OrderAction) -> bool) -> u32 {
        let entries = self.entries.iter().filter(|entry| selects(&entry.action));
        entries.map(|entry| entry.count).max().unwrap_or(0)
    }
}

/// Delay after `count` orders: none after the first, then doubling with each order up to the
/// maximum; one half is fixed and the other is scaled by `jitter`.
fn backoff_after(count: u32, jitter: f64, timing: &ReconcileTiming) -> TimeSpan {
    let Some(doublings) = count.checked_sub(2) else {
        return TimeSpan::ZERO;
    };
    let factor = 1_u64 << doublings.min(MAX_DOUBLINGS);
    let full = (timing.backoff_initial * factor).min(timing.backoff_max);
    let half = full / 2;
    half + TimeSpan::new((half.as_millis() as f64 * jitter) as u64)
}

/// Tells whether the observed state shows the effect of a load.
fn is_effect_visible(actual: &ActualState, action: &OrderAction) -> bool {
    let find = |model, version| actual.version(model, version);
    match action {
        OrderAction::Load { model, version } => {
            let is_started = |entry: &LoadedVersion| entry.is_ready() || entry.is_loading();
            find(model, version).is_some_and(is_started)
        }
        OrderAction::LoadAdapter {
            model,
            version,
            adapter,
        } => find(model, version).is_some_and(|entry| entry.has_adapter(adapter)),
        _ => false,
    }
}
