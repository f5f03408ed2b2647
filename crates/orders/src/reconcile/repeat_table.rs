use base::{ClockTime, TimeSpan};

use super::LoopTiming;
use crate::{LoadedVersion, OrderAction, TargetActual};

/// Most actions remembered for one target.
const ENTRY_LIMIT: usize = 32;
/// Largest exponent of the back-off.
const DOUBLING_LIMIT: u32 = 16;

#[derive(Clone, Debug)]
struct RepeatEntry {
    action: OrderAction,
    count: u32,
    sent_at: ClockTime,
    open_at: ClockTime,
    has_effect: bool,
}

/// Orders sent to one run of a target, to slow down those that have no lasting effect.
#[derive(Clone, Debug, Default)]
pub struct RepeatTable {
    entries: Vec<RepeatEntry>,
}

impl RepeatTable {
    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Adds an order. The second one follows at once, since one lost order is common.
    pub fn add(&mut self, now: ClockTime, action: &OrderAction, jitter: f64, timing: &LoopTiming) {
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
                open_at: now,
                has_effect: false,
            },
        };
        let quiet = timing.backoff_last * 10;
        if now - entry.sent_at > quiet {
            entry.count = 0;
        }
        entry.count += 1;
        entry.sent_at = now;
        entry.open_at = now + wait_after(entry.count, jitter, timing);
        if self.entries.len() == ENTRY_LIMIT {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }

    /// Takes back one order that was not sent.
    pub fn take_back(&mut self, action: &OrderAction) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.action == *action) {
            entry.count = entry.count.saturating_sub(1);
            entry.open_at = entry.sent_at;
        }
    }

    /// Earliest time of the next order with this action.
    pub fn open_at(&self, action: &OrderAction) -> Option<ClockTime> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.action == *action)?;
        Some(entry.open_at)
    }

    /// Takes note of loads whose effect shows, even if it is undone later.
    pub fn note_effects(&mut self, actual: &TargetActual) {
        for entry in &mut self.entries {
            entry.has_effect |= shows(actual, &entry.action);
        }
    }

    /// Largest count of the actions that `selects` names and whose effect never showed.
    pub fn count_vain(&self, selects: impl Fn(&OrderAction) -> bool) -> u32 {
        let entries = self.entries.iter().filter(|entry| !entry.has_effect);
        let entries = entries.filter(|entry| selects(&entry.action));
        entries.map(|entry| entry.count).max().unwrap_or(0)
    }

    /// Largest count among the actions that `selects` names.
    pub fn count(&self, selects: impl Fn(&OrderAction) -> bool) -> u32 {
        let entries = self.entries.iter().filter(|entry| selects(&entry.action));
        entries.map(|entry| entry.count).max().unwrap_or(0)
    }
}

/// Doubles with each order after the second, half of it at random.
fn wait_after(count: u32, jitter: f64, timing: &LoopTiming) -> TimeSpan {
    let Some(doublings) = count.checked_sub(2) else {
        return TimeSpan::ZERO;
    };
    let factor = 1_u64 << doublings.min(DOUBLING_LIMIT);
    let full = (timing.backoff_first * factor).min(timing.backoff_last);
    let half = full / 2;
    half + TimeSpan::new((half.as_millis() as f64 * jitter) as u64)
}

fn shows(actual: &TargetActual, action: &OrderAction) -> bool {
    let find = |model, version| actual.version(model, version);
    match action {
        OrderAction::Load { model, version } => {
            let under_way = |entry: &LoadedVersion| entry.is_ready() || entry.is_loading();
            find(model, version).is_some_and(under_way)
        }
        OrderAction::LoadAdapter {
            model,
            version,
            adapter,
        } => find(model, version).is_some_and(|entry| entry.has_adapter(adapter)),
        _ => false,
    }
}
