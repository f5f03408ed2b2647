use std::collections::HashMap;

use base::{ClockTime, TargetName};

use super::TargetState;
use crate::TargetInfo;

/// The targets of a node by slot number.
///
/// A target keeps its slot while it is listed or has streams of this node; then the slot is reused.
///
/// ```
/// let table = sched::TargetTable::default();
/// assert_eq!(table.slot(&"runner-1".parse().unwrap()), None);
/// ```
#[derive(Debug, Default)]
pub struct TargetTable {
    slots: Vec<TargetState>,
    /// Slots that may be reused.
    free: Vec<usize>,
    index: HashMap<TargetName, usize>,
    version: u64,
}

impl TargetTable {
    /// Replaces the list of targets. A target that is added or becomes usable begins a slow start,
    /// except for the targets of the first list.
    ///
    /// Returns whether slots became free, which means that other targets may get their numbers.
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

    /// Updates a listed target or gives it a slot.
    fn update(&mut self, now: ClockTime, info: &TargetInfo, first: bool) {
        if let Some(slot) = self.slot(&info.target) {
            let state = &mut self.slots[slot];
            if info.usable && !state.usable {
                state.health.begin_slow_start(now);
            }
            state.usable = info.usable;
            state.domain = info.domain.clone();
            return;
        }
        let mut state = TargetState::new(info);
        if !first {
            state.health.begin_slow_start(now);
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

    /// Frees the slot of a target that is not listed, unless it has streams of this node.
    fn release(&mut self, slot: usize) {
        let state = &self.slots[slot];
        let indexed = self.index.get(&state.target) == Some(&slot);
        if !indexed || state.view.own_count() > 0 {
            return;
        }
        self.index.remove(&state.target);
        self.free.push(slot);
    }

    /// Slot of a target.
    pub fn slot(&self, target: &TargetName) -> Option<usize> {
        self.index.get(target).copied()
    }

    /// State of the target in a slot.
    pub fn state(&self, slot: usize) -> &TargetState {
        &self.slots[slot]
    }

    /// Mutable state of the target in a slot.
    pub fn state_mut(&mut self, slot: usize) -> &mut TargetState {
        &mut self.slots[slot]
    }

    /// Number of slots, including free ones.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Version of the target list; incremented by every `replace`.
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn is_listed(targets: &[TargetInfo], name: &TargetName) -> bool {
    targets
        .binary_search_by(|info| info.target.cmp(name))
        .is_ok()
}
