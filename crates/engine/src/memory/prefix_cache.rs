use std::collections::{BTreeMap, HashMap};

/// One cached prefix; `users` counts the sequences that use it.
#[derive(Clone, Debug)]
struct CacheEntry {
    pages: u32,
    users: u32,
    last_used: u64,
}

/// Reference-counted cache of prompt prefixes; idle ones, which no sequence uses, are evicted in
/// LRU order.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: HashMap<u64, CacheEntry>,
    idle: BTreeMap<u64, u64>,
    pages: u32,
    idle_pages: u32,
    use_count: u64,
}

impl PrefixCache {
    /// Pages of all cached prefixes.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Pages of the idle prefixes.
    pub fn idle_pages(&self) -> u32 {
        self.idle_pages
    }

    /// Pages of a prefix; `None` if it is not cached.
    pub fn find(&self, fingerprint: u64) -> Option<u32> {
        self.entries.get(&fingerprint).map(|entry| entry.pages)
    }

    /// Tells whether a cached prefix has no users, so that its pages count as idle.
    pub fn is_idle(&self, fingerprint: u64) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|entry| entry.users == 0)
    }

    /// Adds a user to a cached prefix.
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

    /// Removes a user from a cached prefix; without users it becomes idle.
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

    /// Adds a prefix that is not cached yet, with one user.
    pub fn store(&mut self, fingerprint: u64, pages: u32) {
        let entry = CacheEntry {
            pages,
            users: 1,
            last_used: 0,
        };
        self.entries.insert(fingerprint, entry);
        self.pages += pages;
    }

    /// Evicts the least recently used idle prefix and returns its fingerprint.
    pub fn evict_least_recent(&mut self) -> Option<u64> {
        let (_, fingerprint) = self.idle.pop_first()?;
        let entry = self.entries.remove(&fingerprint)?;
        self.pages -= entry.pages;
        self.idle_pages -= entry.pages;
        Some(fingerprint)
    }
}
