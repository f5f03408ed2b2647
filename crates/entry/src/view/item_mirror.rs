use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

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

/// Copy of the items under one key prefix; it never returns to an older revision.
///
/// ```
/// let mut mirror = entry::ItemMirror::default();
/// assert!(mirror.replace(5, Vec::new()));
/// assert!(!mirror.replace(4, Vec::new()));
/// assert_eq!(mirror.revision(), Some(5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ItemMirror {
    revision: Option<u64>,
    /// Sorted by key.
    items: Vec<PublishedItem>,
    /// Latest removals, oldest first, each with a revision by which it had happened.
    removals: VecDeque<(u64, SmolStr)>,
    /// Revision after which all removals are in `removals`.
    removals_since: u64,
    /// Changes skipped since then, oldest first. An item that was added and removed in one of these
    /// spans left no trace, so that a copy from within it can't be brought up to date by changes.
    skipped: VecDeque<SkippedSpan>,
}

impl ItemMirror {
    /// Revision of the store up to which the copy is complete; `None` before the first read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Items, sorted by key.
    pub fn items(&self) -> &[PublishedItem] {
        &self.items
    }

    /// Finds an item.
    pub fn item(&self, key: &str) -> Option<&PublishedItem> {
        self.find(key).ok().map(|at| &self.items[at])
    }

    /// Replaces the copy by all items as of `revision`; returns `false` and changes nothing if they
    /// are not newer than the copy.
    pub fn replace(&mut self, revision: u64, mut items: Vec<PublishedItem>) -> bool {
        if self.revision.is_some_and(|known| known >= revision) {
            return false;
        }
        items.sort_by(|left, right| left.key.cmp(&right.key));
        let before = std::mem::replace(&mut self.items, items);
        match self.revision {
            Some(known) => {
                self.record_skipped(known, revision);
                for item in before {
                    if self.find(&item.key).is_err() {
                        self.record_removal(revision, item.key);
                    }
                }
            }
            None => self.removals_since = revision,
        }
        self.revision = Some(revision);
        true
    }

    /// Changes that bring a copy as of revision `after` to the state of this one; `None` if this
    /// copy no longer has all of them.
    ///
    /// ```
    /// let mut mirror = entry::ItemMirror::default();
    /// mirror.replace(5, Vec::new());
    /// assert_eq!(mirror.changes_since(5), Some(Vec::new()));
    /// assert_eq!(mirror.changes_since(4), None);
    /// ```
    pub fn changes_since(&self, after: u64) -> Option<Vec<ItemChange>> {
        let mut skipped = self.skipped.iter();
        let is_hidden = skipped.any(|span| span.after < after && after < span.until);
        if self.revision.is_none() || after < self.removals_since || is_hidden {
            return None;
        }
        let removals = self.removals.iter().filter(|(at, _)| *at > after);
        let removed = removals.map(|(revision, key)| ItemChange::Removed {
            key: key.clone(),
            revision: *revision,
        });
        let items = self.items.iter().filter(|item| item.revision > after);
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

    /// Applies changes up to `revision`; returns `false` if none of them is new.
    pub fn apply(&mut self, revision: u64, changes: Vec<ItemChange>) -> bool {
        let known = self.revision.unwrap_or(0);
        let mut changed = false;
        for change in changes {
            changed |= self.apply_one(known, change);
        }
        self.revision = Some(known.max(revision));
        changed
    }

    fn apply_one(&mut self, known: u64, change: ItemChange) -> bool {
        match change {
            ItemChange::Written(item) if item.revision > known => {
                match self.find(&item.key) {
                    Ok(at) => self.items[at] = item,
                    Err(at) => self.items.insert(at, item),
                }
                true
            }
            ItemChange::Removed { key, revision } if revision > known => {
                let found = self.find(&key);
                if let Ok(at) = found {
                    self.items.remove(at);
                }
                // Also of an unknown item: it may have been removed while the pages of this copy
                // were read, and a peer may have it.
                self.record_removal(revision, key);
                found.is_ok()
            }
            _ => false,
        }
    }

    fn record_removal(&mut self, revision: u64, key: SmolStr) {
        if self.removals.len() >= REMOVAL_LIMIT
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.removals_since = oldest;
        }
        self.removals.push_back((revision, key));
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
