use base::{ClockTime, NodeName, TargetName};

use super::{HeldSlot, SlotAnswer, SlotAsk, SlotWant};
use crate::{BlockReason, LoopTiming};

/// Most needs in one ask.
const WANT_LIMIT: usize = 64;
/// Most needs of one rollout in one ask, so that a blocked rollout does not hide the others.
const WANT_ROLLOUT_LIMIT: usize = 8;
/// Empty asks that follow the last one with a need, in case some are lost.
const EMPTY_REPEATS: u32 = 4;

#[derive(Clone, Debug)]
struct HeldEntry {
    slot: HeldSlot,
    since: ClockTime,
    used: bool,
}

/// A node's side of the leave that the loader grants.
#[derive(Clone, Debug, Default)]
pub struct SlotHolder {
    loader: Option<NodeName>,
    number: u64,
    asked_at: Option<ClockTime>,
    empties_due: u32,
    held: Vec<HeldEntry>,
    asked: Vec<SlotWant>,
    refused: Vec<(TargetName, BlockReason)>,
}

impl SlotHolder {
    /// Node that this one takes for the loader.
    pub fn loader(&self) -> Option<&NodeName> {
        self.loader.as_ref()
    }

    /// Sets the loader; leave that is not in use is dropped if the loader is another one.
    pub fn set_loader(&mut self, loader: Option<NodeName>, in_use: impl Fn(&TargetName) -> bool) {
        if self.loader == loader {
            return;
        }
        self.loader = loader;
        self.drop_unused(in_use);
    }

    /// Drops leave that is not in use and voids answers under way.
    pub fn drop_unused(&mut self, in_use: impl Fn(&TargetName) -> bool) {
        self.held.retain(|entry| in_use(&entry.slot.target));
        self.number += 1;
        self.asked.clear();
        self.refused.clear();
        self.asked_at = None;
        self.empties_due = EMPTY_REPEATS;
    }

    /// Leave held for a target.
    pub fn find(&self, target: &TargetName) -> Option<&HeldSlot> {
        let mut entries = self.held.iter().map(|entry| &entry.slot);
        entries.find(|slot| slot.target == *target)
    }

    /// Gives back the leave for a target.
    pub fn give_back(&mut self, target: &TargetName) {
        let before = self.held.len();
        self.held.retain(|entry| entry.slot.target != *target);
        if self.held.len() != before {
            self.asked_at = None;
            self.empties_due = EMPTY_REPEATS;
        }
    }

    /// Takes note of an order that rests on the leave for `target`.
    pub fn begin_use(&mut self, target: &TargetName) {
        for entry in &mut self.held {
            entry.used |= entry.slot.target == *target;
        }
    }

    /// Gives back leave to take capacity away that was not used soon, since the count of ready
    /// targets on which it rests ages.
    pub fn drop_aged(&mut self, now: ClockTime, timing: &LoopTiming) {
        let before = self.held.len();
        self.held.retain(|entry| {
            let fresh = now - entry.since <= timing.capacity_age;
            entry.used || entry.slot.lost.is_none() || fresh
        });
        if self.held.len() != before {
            self.asked_at = None;
        }
    }

    /// Why the loader did not grant what `target` needs.
    pub fn refusal(&self, target: &TargetName) -> BlockReason {
        if self.loader.is_none() {
            return BlockReason::NoMajority;
        }
        let mut refused = self.refused.iter();
        let found = refused.find(|(name, _)| name == target);
        found.map_or(BlockReason::NoSlot, |(_, reason)| *reason)
    }

    /// Returns the next ask if one is due.
    pub fn next_ask(
        &mut self,
        now: ClockTime,
        wants: Vec<SlotWant>,
        timing: &LoopTiming,
    ) -> Option<SlotAsk> {
        self.loader.as_ref()?;
        if self
            .asked_at
            .is_some_and(|at| now - at < timing.message_gap)
        {
            return None;
        }
        if !wants.is_empty() || !self.held.is_empty() {
            self.empties_due = EMPTY_REPEATS;
        } else if self.empties_due == 0 {
            return None;
        } else {
            self.empties_due -= 1;
        }
        self.asked_at = Some(now);
        self.number += 1;
        self.asked = bounded(wants);
        Some(SlotAsk {
            number: self.number,
            wants: self.asked.clone(),
            held: self.held.iter().map(|entry| entry.slot.clone()).collect(),
        })
    }

    /// Takes an answer of the loader; an answer of another node or to an earlier ask is void,
    /// since its leave was taken back when the loader read the later ask.
    pub fn on_answer(&mut self, now: ClockTime, from: &NodeName, answer: SlotAnswer) {
        if self.loader.as_ref() != Some(from) || answer.ask != self.number {
            return;
        }
        for grant in answer.grants {
            let asked = self.asked.iter().any(|want| want.target == grant.target);
            if asked && self.find(&grant.target).is_none() {
                self.held.push(HeldEntry {
                    slot: grant,
                    since: now,
                    used: false,
                });
            }
        }
        self.refused = answer.refused;
    }
}

fn bounded(wants: Vec<SlotWant>) -> Vec<SlotWant> {
    let mut kept: Vec<SlotWant> = Vec::new();
    for want in wants {
        let same = kept.iter().filter(|known| known.rollout == want.rollout);
        if kept.len() < WANT_LIMIT && same.count() < WANT_ROLLOUT_LIMIT {
            kept.push(want);
        }
    }
    kept
}
