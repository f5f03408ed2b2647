use std::collections::{BTreeMap, HashMap};

/// Number of prefixes kept; the least recently recorded one is evicted.
const PREFIX_LIMIT: usize = 8_192;
/// Number of targets kept for one prefix.
const HOLDER_LIMIT: usize = 4;

/// Records which targets probably have a prompt prefix in their cache.
///
/// This is only a hint, since cache events are late and incomplete.
///
/// The fingerprint 0 stands for a prompt without a known prefix.
///
/// ```
/// let mut table = sched::PrefixTable::default();
/// table.record(7, 2, true);
/// assert!(table.holders(7).contains(&2));
/// table.record(7, 2, false);
/// assert!(table.holders(7).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct PrefixTable {
    entries: HashMap<u64, PrefixEntry>,
    /// Prefixes in the order in which they were last recorded.
    by_age: BTreeMap<u64, u64>,
    next_age: u64,
}

/// Targets that probably hold one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    age: u64,
    /// Slots of the targets, the least recently recorded one first.
    holders: Vec<usize>,
}

impl PrefixTable {
    /// Records whether the target in `slot` holds a prefix.
    pub fn record(&mut self, prefix: u64, slot: usize, held: bool) {
        if prefix == 0 {
            return;
        }
        if !held {
            if let Some(entry) = self.entries.get_mut(&prefix) {
                entry.holders.retain(|holder| *holder != slot);
            }
            return;
        }
        self.next_age += 1;
        let entry = self.entries.entry(prefix).or_default();
        self.by_age.remove(&entry.age);
        entry.age = self.next_age;
        entry.holders.retain(|holder| *holder != slot);
        if entry.holders.len() == HOLDER_LIMIT {
            entry.holders.remove(0);
        }
        entry.holders.push(slot);
        self.by_age.insert(self.next_age, prefix);
        self.evict();
    }

    /// Slots of the targets that probably hold a prefix.
    pub fn holders(&self, prefix: u64) -> &[usize] {
        let entry = self.entries.get(&prefix);
        entry.map_or(&[], |entry| entry.holders.as_slice())
    }

    /// Removes all entries; needed when slots are reassigned to other targets.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_age.clear();
    }

    fn evict(&mut self) {
        if self.entries.len() <= PREFIX_LIMIT {
            return;
        }
        if let Some((_, prefix)) = self.by_age.pop_first() {
            self.entries.remove(&prefix);
        }
    }
}
