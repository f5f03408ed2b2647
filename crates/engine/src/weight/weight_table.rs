use crate::{EngineTime, WeightKey};

/// State of the weights of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WeightState {
    Loading {
        done: EngineTime,
    },
    Loaded,
    /// To be removed once no sequence uses them.
    Unloading,
}

#[derive(Clone, Debug)]
struct WeightEntry {
    key: WeightKey,
    pages: u32,
    state: WeightState,
    users: u32,
}

/// Weights in the memory of an engine, sorted by key; loads run one after the other.
#[derive(Clone, Debug, Default)]
pub struct WeightTable {
    entries: Vec<WeightEntry>,
    busy_until: EngineTime,
}

impl WeightTable {
    /// Starts a load and returns when it ends; `None` if the table contains the weights already.
    pub fn begin_load(
        &mut self,
        now: EngineTime,
        key: WeightKey,
        pages: u32,
        micros: u64,
    ) -> Option<EngineTime> {
        let at = self.find(&key).err()?;
        let done = self.busy_until.max(now).plus_micros(micros);
        self.busy_until = done;
        let entry = WeightEntry {
            key,
            pages,
            state: WeightState::Loading { done },
            users: 0,
        };
        self.entries.insert(at, entry);
        Some(done)
    }

    /// Tells whether the weights are loaded, loading or unloading.
    pub fn contains(&self, key: &WeightKey) -> bool {
        self.find(key).is_ok()
    }

    /// Cancels an unload that is still pending.
    pub fn cancel_unload(&mut self, key: &WeightKey) {
        if let Ok(at) = self.find(key) {
            let entry = &mut self.entries[at];
            if entry.state == WeightState::Unloading {
                entry.state = WeightState::Loaded;
            }
        }
    }

    /// Marks weights for unloading once the last sequence that uses them has ended; false if the
    /// table does not contain them.
    pub fn begin_unload(&mut self, key: &WeightKey) -> bool {
        let Ok(at) = self.find(key) else {
            return false;
        };
        self.entries[at].state = WeightState::Unloading;
        true
    }

    /// Tells whether requests can use the weights.
    pub fn is_loaded(&self, key: &WeightKey) -> bool {
        self.find(key)
            .is_ok_and(|at| self.entries[at].state == WeightState::Loaded)
    }

    /// Adds a sequence that uses the weights.
    pub fn acquire(&mut self, key: &WeightKey) {
        if let Ok(at) = self.find(key) {
            self.entries[at].users += 1;
        }
    }

    /// Removes a sequence that used the weights.
    pub fn release(&mut self, key: &WeightKey) {
        if let Ok(at) = self.find(key) {
            self.entries[at].users -= 1;
        }
    }

    /// Removes weights that are marked for unloading and not in use; returns their key and pages.
    pub fn remove_unused(&mut self) -> Option<(WeightKey, u32)> {
        let unused =
            |entry: &WeightEntry| entry.state == WeightState::Unloading && entry.users == 0;
        let at = self.entries.iter().position(unused)?;
        let entry = self.entries.remove(at);
        Some((entry.key, entry.pages))
    }

    /// When the next load ends; `None` if nothing is being loaded.
    pub fn next_load_end(&self) -> Option<EngineTime> {
        let done = |entry: &WeightEntry| match entry.state {
            WeightState::Loading { done } => Some(done),
            _ => None,
        };
        self.entries.iter().filter_map(done).min()
    }

    /// When the load of these weights ends; `None` if they are not being loaded.
    pub fn load_end(&self, key: &WeightKey) -> Option<EngineTime> {
        let at = self.find(key).ok()?;
        match self.entries[at].state {
            WeightState::Loading { done } => Some(done),
            _ => None,
        }
    }

    /// Marks weights whose load has ended by `now` as loaded and returns their key.
    pub fn finish_load(&mut self, now: EngineTime) -> Option<WeightKey> {
        let over = |entry: &&mut WeightEntry| match entry.state {
            WeightState::Loading { done } => done <= now,
            _ => false,
        };
        let entry = self.entries.iter_mut().find(over)?;
        entry.state = WeightState::Loaded;
        Some(entry.key.clone())
    }

    /// Keys of the weights that requests can use, sorted.
    pub fn loaded(&self) -> Vec<WeightKey> {
        let loaded = |entry: &&WeightEntry| entry.state == WeightState::Loaded;
        let entries = self.entries.iter().filter(loaded);
        entries.map(|entry| entry.key.clone()).collect()
    }

    fn find(&self, key: &WeightKey) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }
}
