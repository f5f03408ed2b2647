use std::collections::{BTreeMap, HashMap};

/// One cached prefix.
#[derive(Clone, Debug)]
struct CacheEntry {
    pages: u32,
    users: u32,
    last_used: u64,
}

/// Prefixes in memory; those that no sequence uses are evicted in LRU order.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: HashMap<u64, CacheEntry>,
    idle: BTreeMap<u64, u64>,
    pages: u32,
    idle_pages: u32,
    use_count: u64,
}

impl PrefixCache {
    /// Pages of all prefixes.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Pages of the prefixes that no sequence uses.
    pub fn idle_pages(&self) -> u32 {
        self.idle_pages
    }

    /// Pages of a prefix, if it is held.
    pub fn find(&self, fingerprint: u64) -> Option<u32> {
        self.entries.get(&fingerprint).map(|entry| entry.pages)
    }

    /// Tells whether a held prefix has no users, so that its pages count as idle.
    pub fn is_idle(&self, fingerprint: u64) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|entry| entry.users == 0)
    }

    /// Adds a user to a held prefix.
    pub fn acquire(&mut self, fingerprint: u64) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if entry.users == 0 {
            self.idle.remove(&entry.last_used);
            self.idle_pages -= entry.pages;
        }
        entry.users += 1;
    }

    /// Removes a user from a held prefix; the last one leaves it idle.
    pub fn release(&mut self, fingerprint: u64) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        entry.users -= 1;
        if entry.users > 0 {
            return;
        }
        self.use_count += 1;
        entry.last_used = self.use_count;
        self.idle.insert(entry.last_used, fingerprint);
        self.idle_pages += entry.pages;
    }

    /// Stores a prefix that is not held yet, with one user.
    pub fn store(&mut self, fingerprint: u64, pages: u32) {
        let entry = CacheEntry {
            pages,
            users: 1,
            last_used: 0,
        };
        self.entries.insert(fingerprint, entry);
        self.pages += pages;
    }

    /// Drops the idle prefix that was used least recently and returns its fingerprint.
    pub fn evict_oldest(&mut self) -> Option<u64> {
        let (_, fingerprint) = self.idle.pop_first()?;
        let entry = self.entries.remove(&fingerprint)?;
        self.pages -= entry.pages;
        self.idle_pages -= entry.pages;
        Some(fingerprint)
    }
}
