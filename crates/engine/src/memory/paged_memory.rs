use super::PrefixCache;

/// Pages of an engine, shared by weights, sequences and cached prefixes.
#[derive(Clone, Debug)]
pub struct PagedMemory {
    total: u32,
    weights: u32,
    sequences: u32,
    cache: PrefixCache,
    evicted: Vec<u64>,
}

impl PagedMemory {
    /// Creates an empty memory of `total` pages.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            weights: 0,
            sequences: 0,
            cache: PrefixCache::default(),
            evicted: Vec::new(),
        }
    }

    /// Pages that weights leave for sequences and prefixes.
    pub fn usable(&self) -> u32 {
        self.total - self.weights
    }

    /// Pages that running sequences hold, shared prefixes in use counted once.
    pub fn used(&self) -> u32 {
        self.sequences + self.cache.pages() - self.cache.idle_pages()
    }

    /// Pages that hold prefixes which no sequence uses.
    pub fn cached(&self) -> u32 {
        self.cache.idle_pages()
    }

    /// Pages that can be taken, idle prefixes included.
    pub fn available(&self) -> u32 {
        self.usable() - self.used()
    }

    /// Takes pages for a sequence, evicting idle prefixes; false if there are too few.
    pub fn take(&mut self, pages: u32) -> bool {
        if !self.make_room(pages) {
            return false;
        }
        self.sequences += pages;
        true
    }

    /// Gives back pages of a sequence.
    pub fn give_back(&mut self, pages: u32) {
        self.sequences -= pages;
    }

    /// Takes pages for weights, evicting idle prefixes; false if there are too few.
    pub fn take_for_weights(&mut self, pages: u32) -> bool {
        if !self.make_room(pages) {
            return false;
        }
        self.weights += pages;
        true
    }

    /// Gives back pages of weights.
    pub fn give_back_weights(&mut self, pages: u32) {
        self.weights -= pages;
    }

    /// Pages of a cached prefix and whether it is idle.
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

    /// Turns pages of a sequence into a cached prefix that the sequence uses.
    pub fn share_prefix(&mut self, fingerprint: u64, pages: u32) {
        self.sequences -= pages;
        self.cache.store(fingerprint, pages);
    }

    /// Moves the fingerprints evicted since the last call to the caller.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    fn free(&self) -> u32 {
        self.available() - self.cached()
    }

    fn make_room(&mut self, pages: u32) -> bool {
        if pages > self.available() {
            return false;
        }
        while self.free() < pages {
            let Some(fingerprint) = self.cache.evict_oldest() else {
                return false;
            };
            self.evicted.push(fingerprint);
        }
        true
    }
}
