use super::PrefixCache;

/// Counts the memory pages of an engine that weights, sequences and cached prefixes hold.
#[derive(Clone, Debug)]
pub struct PageAllocator {
    total: u32,
    weights: u32,
    sequences: u32,
    cache: PrefixCache,
    evicted: Vec<u64>,
}

impl PageAllocator {
    /// Creates an allocator of `total` pages, all unused.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            weights: 0,
            sequences: 0,
            cache: PrefixCache::default(),
            evicted: Vec::new(),
        }
    }

    /// Pages for sequences and prefixes, which is all but those of weights.
    pub fn usable(&self) -> u32 {
        self.total - self.weights
    }

    /// Pages that running sequences hold; a prefix that several of them share is counted once.
    pub fn used(&self) -> u32 {
        self.sequences + self.cache.pages() - self.cache.idle_pages()
    }

    /// Pages of idle prefixes, which no sequence uses.
    pub fn cached(&self) -> u32 {
        self.cache.idle_pages()
    }

    /// Pages that can be allocated, including those of idle prefixes, which can be evicted.
    pub fn available(&self) -> u32 {
        self.usable() - self.used()
    }

    /// Allocates pages to a sequence, evicting idle prefixes; false if there are too few.
    pub fn allocate(&mut self, pages: u32) -> bool {
        if !self.make_room(pages) {
            return false;
        }
        self.sequences += pages;
        true
    }

    /// Frees pages of a sequence.
    pub fn free(&mut self, pages: u32) {
        self.sequences -= pages;
    }

    /// Allocates pages to weights, evicting idle prefixes; false if there are too few.
    pub fn allocate_weights(&mut self, pages: u32) -> bool {
        if !self.make_room(pages) {
            return false;
        }
        self.weights += pages;
        true
    }

    /// Frees pages of weights.
    pub fn free_weights(&mut self, pages: u32) {
        self.weights -= pages;
    }

    /// Returns the pages of a cached prefix and whether it is idle; `None` if it is not cached.
    pub fn find_prefix(&self, fingerprint: u64) -> Option<(u32, bool)> {
        let pages = self.cache.find(fingerprint)?;
        Some((pages, self.cache.is_idle(fingerprint)))
    }

    /// Adds a user to a cached prefix.
    pub fn acquire_prefix(&mut self, fingerprint: u64) {
        self.cache.acquire(fingerprint);
    }

    /// Removes a user from a cached prefix.
    pub fn release_prefix(&mut self, fingerprint: u64) {
        self.cache.release(fingerprint);
    }

    /// Moves pages of a sequence into the cache as a prefix that the sequence keeps using.
    pub fn share_prefix(&mut self, fingerprint: u64, pages: u32) {
        self.sequences -= pages;
        self.cache.store(fingerprint, pages);
    }

    /// Returns the fingerprints evicted since the last call and clears the list.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    fn unused(&self) -> u32 {
        self.available() - self.cached()
    }

    fn make_room(&mut self, pages: u32) -> bool {
        if pages > self.available() {
            return false;
        }
        while self.unused() < pages {
            let Some(fingerprint) = self.cache.evict_least_recent() else {
                return false;
            };
            self.evicted.push(fingerprint);
        }
        true
    }
}
