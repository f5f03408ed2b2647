use std::collections::HashMap;

use base::{ClockTime, TargetName};

use super::TargetState;
use crate::TargetInfo;

/// The targets of a node; a slot keeps its number as long as its target is listed or has streams.
///
/// ```
/// let table = sched::TargetTable::default();
/// assert_eq!(table.slot(&"runner-1".parse().unwrap()), None);
/// ```
#[derive(Debug, Default)]
pub struct TargetTable {
    slots: Vec<TargetState>,
    free: Vec<usize>,
    index: HashMap<TargetName, usize>,
    version: u64,
}

impl TargetTable {
    /// Replaces the list of targets. Targets that join a list or become usable start slowly, but
    /// for those of the first list.
    ///
    /// Returns whether slots became free, so that other targets may get their numbers.
    pub fn replace(&mut self, now: ClockTime, targets: &[TargetInfo]) -> bool {
        let first = self.version == 0;
        self.version += 1;
        for info in targets {
            self.update(now, info, first);
        }
        let free = self.free.len();
        for slot in 0..self.slots.len() {
            if !is_listed(targets, &self.slots[slot].target) {
                self.slots[slot].usable = false;
                self.release(slot);
            }
        }
        self.free.len() != free
    }

    fn update(&mut self, now: ClockTime, info: &TargetInfo, first: bool) {
        if let Some(slot) = self.slot(&info.target) {
            let state = &mut self.slots[slot];
            if info.usable && !state.usable {
                state.health.start_ramp(now);
            }
            state.usable = info.usable;
            state.domain = info.domain.clone();
            return;
        }
        let mut state = TargetState::new(info);
        if !first {
            state.health.start_ramp(now);
        }
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot] = state;
                slot
            }
            None => {
                self.slots.push(state);
                self.slots.len() - 1
            }
        };
        self.index.insert(info.target.clone(), slot);
    }

    fn release(&mut self, slot: usize) {
        let state = &self.slots[slot];
        let known = self.index.get(&state.target) == Some(&slot);
        if !known || state.view.own_count() > 0 {
            return;
        }
        self.index.remove(&state.target);
        self.free.push(slot);
    }

    /// Slot of a target.
    pub fn slot(&self, target: &TargetName) -> Option<usize> {
        self.index.get(target).copied()
    }

    /// State in a slot.
    pub fn state(&self, slot: usize) -> &TargetState {
        &self.slots[slot]
    }

    /// State in a slot, to be changed.
    pub fn state_mut(&mut self, slot: usize) -> &mut TargetState {
        &mut self.slots[slot]
    }

    /// All slots, also free ones.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Rises with every new list.
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn is_listed(targets: &[TargetInfo], name: &TargetName) -> bool {
    targets
        .binary_search_by(|info| info.target.cmp(name))
        .is_ok()
}
