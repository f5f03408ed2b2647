use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One item of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Key of the item.
    pub key: SmolStr,
    /// Revision of its last change.
    pub revision: u64,
    /// Bytes as they were written.
    pub value: Vec<u8>,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// Copy of the items under one prefix; never goes back to an older revision.
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

    /// Takes all items as of `revision`; `false` if they are not newer than the copy.
    pub fn replace(&mut self, revision: u64, mut items: Vec<PublishedItem>) -> bool {
        if self.revision.is_some_and(|known| known >= revision) {
            return false;
        }
        items.sort_by(|left, right| left.key.cmp(&right.key));
        self.items = items;
        self.revision = Some(revision);
        true
    }

    /// Takes changes up to `revision`; `false` if none of them is new.
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
            ItemChange::Removed { key, revision } if revision > known => match self.find(&key) {
                Ok(at) => {
                    self.items.remove(at);
                    true
                }
                Err(_) => false,
            },
            _ => false,
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.key.as_str().cmp(key))
    }
}
