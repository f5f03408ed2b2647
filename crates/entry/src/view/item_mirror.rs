use std::cmp::Ordering;
use std::collections::VecDeque;

use base::ClockTime;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{KeptItem, StorePosition};

/// Largest number of removals that a copy keeps to report to peers; a large release replaces some
/// hundred targets.
const REMOVAL_LIMIT: usize = 1_024;

/// Largest number of spans of skipped changes that a copy keeps.
const SKIPPED_LIMIT: usize = 64;

/// One item of the platform's key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Key of the item.
    pub key: SmolStr,
    /// Revision of its last change.
    pub revision: u64,
    /// Value as it was written.
    pub value: Vec<u8>,
}

/// One change of an item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemChange {
    /// The item was written.
    Written(PublishedItem),
    /// The item was removed.
    Removed {
        /// Key of the item.
        key: SmolStr,
        /// Revision of the removal.
        revision: u64,
    },
}

impl ItemChange {
    /// Revision of the store at which the change was made.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Changes that a copy did not see one by one, as it was replaced by a list of all items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SkippedSpan {
    /// Revision of the copy before the list.
    after: u64,
    /// Revision of the list.
    until: u64,
}

/// An item that was removed.
#[derive(Clone, Debug)]
struct RemovedItem {
    key: SmolStr,
    /// Revision by which it had been removed.
    revision: u64,
    /// The item before, if this copy had it.
    last: Option<PublishedItem>,
}

/// How the items of a list of a new era relate to what a copy knew before.
pub trait HistoryRules {
    /// Compares the content of an item that the list has with what the copy knew under its key;
    /// `None` if nothing tells which one is newer.
    fn compare(&self, listed: &PublishedItem, known: &PublishedItem) -> Option<Ordering>;

    /// Whether an item that the list lacks stays until it is written again.
    fn keeps_absent(&self, known: &PublishedItem) -> bool;

    /// Until when what is newer than its item of the list stays, if that is not written again.
    fn keep_until(&self) -> ClockTime;
}

/// Copy of the items under one key prefix; it never returns to an older position.
///
/// ```
/// let mut mirror = entry::ItemMirror::default();
/// assert!(mirror.replace(5, Vec::new()));
/// assert!(!mirror.replace(4, Vec::new()));
/// assert_eq!(mirror.revision(), Some(5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ItemMirror {
    position: Option<StorePosition>,
    /// Sorted by key.
    items: Vec<PublishedItem>,
    /// Latest removals, oldest first.
    removals: VecDeque<RemovedItem>,
    /// Revision after which all removals are in `removals`.
    removals_since: u64,
    /// Changes skipped since then, oldest first. An item that was added and removed in one of these
    /// spans left no trace, so that a copy from within it can't be brought up to date by changes.
    skipped: VecDeque<SkippedSpan>,
    /// Items of the list that began the era for which newer content was known, sorted by key.
    kept: Vec<KeptItem>,
}

impl ItemMirror {
    /// Position of the store up to which the copy is complete; `None` before the first read.
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Revision of that position.
    pub fn revision(&self) -> Option<u64> {
        self.position.map(|position| position.revision)
    }

    /// Items, sorted by key.
    pub fn items(&self) -> &[PublishedItem] {
        &self.items
    }

    /// Finds an item.
    pub fn item(&self, key: &str) -> Option<&PublishedItem> {
        self.find(key).ok().map(|at| &self.items[at])
    }

    /// Items of the list that began the era that are held back, as newer content was known.
    pub fn kept(&self) -> &[KeptItem] {
        &self.kept
    }

    /// Whether a position is in a later era than this copy.
    pub fn precedes_era_of(&self, position: StorePosition) -> bool {
        self.position.is_some_and(|known| known.era < position.era)
    }

    /// Replaces the copy by all items as of a position; returns `false` and changes nothing if they
    /// are not newer than the copy. For a list of a new era, see [`Self::replace_history`].
    pub fn replace(
        &mut self,
        position: impl Into<StorePosition>,
        mut items: Vec<PublishedItem>,
    ) -> bool {
        let position = position.into();
        if self.position.is_some_and(|known| known >= position) {
            return false;
        }
        items.sort_by(|left, right| left.key.cmp(&right.key));
        match self.position.is_some_and(|known| known.era == position.era) {
            true => self.hold_back(&mut items),
            false => self.kept.clear(),
        }
        let known = self.position.replace(position);
        let before = std::mem::replace(&mut self.items, items);
        match known {
            Some(known) if known.era == position.era => {
                self.record_skipped(known.revision, position.revision);
                for item in before {
                    if self.find(&item.key).is_err() {
                        self.record_removal(position.revision, item.key.clone(), Some(item));
                    }
                }
            }
            Some(_) | None => self.forget_changes(position),
        }
        true
    }

    /// Replaces the copy by all items as of a position in a later era. What is newer by its content
    /// stays: of what the list has, what `rules` calls newer, also removals; and what it lacks, if
    /// `rules` says so. Returns `false` and changes nothing if the era is not a later one.
    pub fn replace_history(
        &mut self,
        position: StorePosition,
        items: Vec<PublishedItem>,
        rules: &dyn HistoryRules,
    ) -> bool {
        if !self.precedes_era_of(position) {
            return false;
        }
        let mut merged = Vec::with_capacity(items.len());
        let mut kept = Vec::new();
        let known_items = std::mem::take(&mut self.items);
        let known_at = |key: &str| known_items.binary_search_by(|item| item.key.as_str().cmp(key));
        for listed in items {
            let known = known_at(&listed.key).ok().map(|at| &known_items[at]);
            let removed = self.last_removed(&listed.key).filter(|_| known.is_none());
            let order = known
                .or(removed)
                .and_then(|item| rules.compare(&listed, item));
            match (known, order) {
                (Some(known), Some(Ordering::Less)) => {
                    // The revision of the list's item, so that it is no change for other copies.
                    merged.push(PublishedItem {
                        revision: listed.revision,
                        ..known.clone()
                    });
                    kept.push(KeptItem::new(listed, rules.keep_until()));
                }
                (None, Some(Ordering::Less | Ordering::Equal)) => {
                    kept.push(KeptItem::new(listed, rules.keep_until()));
                }
                _ => merged.push(listed),
            }
        }
        kept.sort_by(|left, right| left.key().cmp(right.key()));
        merged.sort_by(|left, right| left.key.cmp(&right.key));
        let is_listed = |item: &PublishedItem| {
            let in_merged = merged.binary_search_by(|one| one.key.cmp(&item.key));
            let in_kept = kept.binary_search_by(|one| one.key().cmp(&item.key));
            in_merged.is_ok() || in_kept.is_ok()
        };
        let absent = known_items.iter().filter(|item| !is_listed(item));
        let (absent, gone): (Vec<_>, Vec<_>) = absent.partition(|item| rules.keeps_absent(item));
        let gone: Vec<_> = gone.into_iter().cloned().collect();
        let unlisted = |item: &PublishedItem| PublishedItem {
            revision: 0,
            ..item.clone()
        };
        merged.extend(absent.into_iter().map(unlisted));
        merged.sort_by(|left, right| left.key.cmp(&right.key));
        for item in gone {
            self.record_removal(position.revision, item.key.clone(), Some(item));
        }
        self.items = merged;
        self.kept = kept;
        self.position = Some(position);
        // What was removed is remembered for the next era, but changes are recorded anew.
        self.skipped.clear();
        self.removals_since = position.revision;
        for removal in &mut self.removals {
            removal.revision = position.revision;
        }
        true
    }

    /// Takes over the items that are newer by their content than those of this copy, from a copy at an older
    /// position: a node that started from the list of an era knows less than one that was there before.
    /// Returns whether there were any.
    pub fn adopt_newer(&mut self, items: Vec<PublishedItem>, rules: &dyn HistoryRules) -> bool {
        let Some(revision) = self.revision() else {
            return false;
        };
        let mut changed = false;
        for item in items {
            let is_newer = match self.item(&item.key) {
                Some(known) => rules.compare(&item, known) == Some(Ordering::Greater),
                None => rules.keeps_absent(&item),
            };
            if is_newer {
                self.write(PublishedItem { revision, ..item });
                changed = true;
            }
        }
        changed
    }

    /// Takes over the items of the list of the era whose time is over, as nothing newer was written;
    /// returns whether there were any.
    pub fn expire_kept(&mut self, now: ClockTime) -> bool {
        let expired: Vec<_> = self
            .kept
            .extract_if(.., |kept| kept.until() <= now)
            .collect();
        let Some(revision) = self.revision().filter(|_| !expired.is_empty()) else {
            return false;
        };
        for kept in expired {
            let item = PublishedItem {
                revision,
                ..kept.into_item()
            };
            self.write(item);
        }
        true
    }

    /// Changes that bring a copy as of position `after` to the state of this one; `None` if this
    /// copy no longer has all of them, or if that is in another era.
    ///
    /// ```
    /// let mut mirror = entry::ItemMirror::default();
    /// mirror.replace(5, Vec::new());
    /// assert_eq!(mirror.changes_since(5), Some(Vec::new()));
    /// assert_eq!(mirror.changes_since(4), None);
    /// ```
    pub fn changes_since(&self, after: impl Into<StorePosition>) -> Option<Vec<ItemChange>> {
        let StorePosition { era, revision } = after.into();
        let mut skipped = self.skipped.iter();
        let is_hidden = skipped.any(|span| span.after < revision && revision < span.until);
        let is_other_era = self.position.is_none_or(|known| known.era != era);
        if is_other_era || revision < self.removals_since || is_hidden {
            return None;
        }
        let removals = self.removals.iter().filter(|one| one.revision > revision);
        let removed = removals.map(|one| ItemChange::Removed {
            key: one.key.clone(),
            revision: one.revision,
        });
        let items = self.items.iter().filter(|item| item.revision > revision);
        // Removals come first, since a removed key may have been written again.
        Some(
            removed
                .chain(items.cloned().map(ItemChange::Written))
                .collect(),
        )
    }

    /// Whether changes after a revision were skipped. [`Self::changes_since`] then suits a copy as of that
    /// very revision only, not a later one.
    pub fn has_skipped_after(&self, after: u64) -> bool {
        self.skipped.iter().any(|span| span.until > after)
    }

    /// Applies changes up to a position; returns `false` if none of them is new. Those of another era
    /// than that of the copy are ignored.
    pub fn apply(&mut self, position: impl Into<StorePosition>, changes: Vec<ItemChange>) -> bool {
        let position = position.into();
        let known = self.position.unwrap_or(StorePosition::new(position.era, 0));
        if known.era != position.era {
            return false;
        }
        let mut changed = false;
        for change in changes {
            changed |= self.apply_one(known.revision, change);
        }
        self.position = Some(known.max(position));
        changed
    }

    fn apply_one(&mut self, known: u64, change: ItemChange) -> bool {
        match change {
            ItemChange::Written(item) if item.revision > known => {
                self.drop_kept(&item.key);
                self.write(item);
                true
            }
            ItemChange::Removed { key, revision } if revision > known => {
                self.drop_kept(&key);
                let found = self.find(&key);
                let last = found.ok().map(|at| self.items.remove(at));
                // Also of an unknown item: it may have been removed while the pages of this copy
                // were read, and a peer may have it.
                self.record_removal(revision, key, last);
                found.is_ok()
            }
            _ => false,
        }
    }

    /// Holds back the items of a sorted list that were not written since the list that began the era.
    fn hold_back(&mut self, items: &mut Vec<PublishedItem>) {
        let mut kept = std::mem::take(&mut self.kept);
        kept.retain(|kept| {
            let found = items.binary_search_by(|item| item.key.cmp(kept.key()));
            let revision = kept.listed().revision;
            let unchanged = found.ok().filter(|at| items[*at].revision == revision);
            match (unchanged, self.item(kept.key())) {
                (Some(at), Some(known)) => items[at] = known.clone(),
                (Some(at), None) => {
                    items.remove(at);
                }
                (None, _) => return false,
            }
            true
        });
        self.kept = kept;
        for item in items {
            // A peer may hold back what this copy has, or the other way round: of one revision, what is
            // known stays.
            if let Some(known) = self
                .item(&item.key)
                .filter(|one| one.revision == item.revision)
            {
                *item = known.clone();
            }
        }
    }

    fn write(&mut self, item: PublishedItem) {
        match self.find(&item.key) {
            Ok(at) => self.items[at] = item,
            Err(at) => self.items.insert(at, item),
        }
    }

    fn drop_kept(&mut self, key: &str) {
        self.kept.retain(|kept| kept.key() != key);
    }

    /// What an item was when it was removed last.
    fn last_removed(&self, key: &str) -> Option<&PublishedItem> {
        let mut latest = self.removals.iter().rev();
        latest.find(|one| one.key == key)?.last.as_ref()
    }

    /// Starts to record changes anew, at the position of a list.
    fn forget_changes(&mut self, position: StorePosition) {
        self.removals.clear();
        self.skipped.clear();
        self.removals_since = position.revision;
    }

    fn record_removal(&mut self, revision: u64, key: SmolStr, last: Option<PublishedItem>) {
        if self.removals.len() >= REMOVAL_LIMIT
            && let Some(oldest) = self.removals.pop_front()
        {
            self.removals_since = oldest.revision;
        }
        self.removals.push_back(RemovedItem {
            key,
            revision,
            last,
        });
    }

    fn record_skipped(&mut self, after: u64, until: u64) {
        if self.skipped.len() >= SKIPPED_LIMIT
            && let Some(oldest) = self.skipped.pop_front()
        {
            self.removals_since = self.removals_since.max(oldest.until);
        }
        self.skipped.push_back(SkippedSpan { after, until });
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.key.as_str().cmp(key))
    }
}
