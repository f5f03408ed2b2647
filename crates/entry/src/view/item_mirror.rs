use std::cmp::Ordering;

use base::ClockTime;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{HistoryRules, KeptItem, RemovalLog, StorePosition};

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

/// Rules of a copy whose lists all come from the store: of one revision, all contents are equal.
struct RevisionRules;

impl HistoryRules for RevisionRules {
    fn compare(&self, _listed: &PublishedItem, _known: &PublishedItem) -> Option<Ordering> {
        None
    }

    fn keeps_absent(&self, _known: &PublishedItem) -> bool {
        false
    }

    fn keep_until(&self) -> Option<ClockTime> {
        None
    }
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
    /// Removals to report to peers.
    removals: RemovalLog,
    /// Items of the list that began the era against which newer content is kept, sorted by key.
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

    /// Items of the list that began the era against which newer content is kept.
    pub fn kept(&self) -> &[KeptItem] {
        &self.kept
    }

    /// Whether a position is in a later era than this copy.
    pub fn precedes_era_of(&self, position: StorePosition) -> bool {
        self.position.is_some_and(|known| known.era < position.era)
    }

    /// Replaces the copy by all items as of a position of the same era; returns `false` and changes
    /// nothing if they are not newer than the copy. For a list of a later era, see
    /// [`Self::replace_history`].
    pub fn replace(
        &mut self,
        position: impl Into<StorePosition>,
        items: Vec<PublishedItem>,
    ) -> bool {
        self.replace_by(position, items, &RevisionRules)
    }

    /// Replaces the copy like [`Self::replace`] by a list that may come from a peer. A peer that was there
    /// before the era began keeps newer content against items of its first list, at their revisions;
    /// `rules` tell which content of one revision is newer.
    pub fn replace_by(
        &mut self,
        position: impl Into<StorePosition>,
        mut items: Vec<PublishedItem>,
        rules: &dyn HistoryRules,
    ) -> bool {
        let position = position.into();
        items.sort_by(|left, right| left.key.cmp(&right.key));
        let Some(known) = self.position else {
            self.removals.restart(position.revision);
            self.items = items;
            self.position = Some(position);
            return true;
        };
        if known >= position || known.era != position.era {
            return false;
        }
        self.keep_newer(&mut items, rules);
        self.removals
            .record_skipped(known.revision, position.revision);
        for item in std::mem::replace(&mut self.items, items) {
            if self.find(&item.key).is_err() {
                self.removals
                    .record(position.revision, item.key.clone(), Some(item));
            }
        }
        self.position = Some(position);
        true
    }

    /// Replaces the copy by all items as of a position in a later era. What is newer by its content
    /// stays: of what the list has, what `rules` calls newer, also removals; and what it lacks, if
    /// `rules` says so. Returns `false` and changes nothing if the era is not a later one.
    pub fn replace_history(
        &mut self,
        position: StorePosition,
        mut items: Vec<PublishedItem>,
        rules: &dyn HistoryRules,
    ) -> bool {
        if !self.precedes_era_of(position) {
            return false;
        }
        items.sort_by(|left, right| left.key.cmp(&right.key));
        let mut merged = Vec::with_capacity(items.len());
        let mut kept = Vec::new();
        for listed in items {
            let known = self.item(&listed.key);
            let removed = self.removals.last(&listed.key).filter(|_| known.is_none());
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
        let is_listed = |item: &PublishedItem| {
            let in_merged = merged.binary_search_by(|one| one.key.cmp(&item.key));
            let in_kept = kept.binary_search_by(|one| one.key().cmp(&item.key));
            in_merged.is_ok() || in_kept.is_ok()
        };
        let mut absent = std::mem::take(&mut self.items);
        absent.retain(|item| !is_listed(item));
        for item in absent {
            if rules.keeps_absent(&item) {
                // No change for other copies either.
                merged.push(PublishedItem {
                    revision: 0,
                    ..item
                });
            } else {
                self.removals
                    .record(position.revision, item.key.clone(), Some(item));
            }
        }
        merged.sort_by(|left, right| left.key.cmp(&right.key));
        self.removals.restart(position.revision);
        self.items = merged;
        self.kept = kept;
        self.position = Some(position);
        true
    }

    /// Takes over the items that are newer by their content than those of this copy, from a copy at an
    /// older position: a node that started from the list of an era knows less than one that was there
    /// before. Returns whether there were any.
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

    /// Takes over the items of the list of the era against which newer content was kept for long enough,
    /// as nothing newer was written; returns whether there were any.
    pub fn expire_kept(&mut self, now: ClockTime) -> bool {
        let over = self.kept.extract_if(.., |kept| kept.is_over(now));
        let expired: Vec<_> = over.map(KeptItem::into_item).collect();
        let changed = !expired.is_empty();
        for item in expired {
            self.write(item);
        }
        changed
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
        let is_same_era = self.position.is_some_and(|known| known.era == era);
        if !is_same_era || !self.removals.covers(revision) {
            return None;
        }
        let items = self.items.iter().filter(|item| item.revision > revision);
        let written = items.cloned().map(ItemChange::Written);
        // Removals come first, since a removed key may have been written again.
        Some(self.removals.after(revision).chain(written).collect())
    }

    /// Whether changes after a revision were skipped. [`Self::changes_since`] then suits a copy as of that
    /// very revision only, not a later one.
    pub fn has_skipped_after(&self, after: u64) -> bool {
        self.removals.has_skipped_after(after)
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
                self.removals.record(revision, key, last);
                found.is_ok()
            }
            _ => false,
        }
    }

    /// Keeps newer content against the items of a sorted list that were not written since the list that
    /// began the era.
    fn keep_newer(&mut self, items: &mut Vec<PublishedItem>, rules: &dyn HistoryRules) {
        let mut kept = std::mem::take(&mut self.kept);
        kept.retain(|kept| {
            let found = items.binary_search_by(|item| item.key.cmp(kept.key()));
            let unchanged = found
                .ok()
                .filter(|at| items[*at].revision == kept.listed().revision);
            let is_removed = self.item(kept.key()).is_none();
            if let Some(at) = unchanged.filter(|_| is_removed) {
                items.remove(at);
            }
            unchanged.is_some()
        });
        self.kept = kept;
        for item in items {
            // A peer may keep other content against an item of the list. Of one revision, what this copy
            // has stays unless that is older.
            let known = self.item(&item.key);
            let Some(known) = known.filter(|known| known.revision == item.revision) else {
                continue;
            };
            if rules.compare(item, known) != Some(Ordering::Greater) {
                *item = known.clone();
                continue;
            }
            let kept = KeptItem::new(known.clone(), rules.keep_until());
            if self.kept.iter().all(|other| other.key() != kept.key()) {
                self.kept.push(kept);
            }
        }
        self.kept.sort_by(|left, right| left.key().cmp(right.key()));
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

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.key.as_str().cmp(key))
    }
}
