use base::{ByteCount, ByteRate};

use super::EngineSimulator;
use crate::{EngineTime, EventDetail, WeightError, WeightKey};

impl EngineSimulator {
    /// Changes the rate of loads that start from now on.
    pub fn set_weight_rate(&mut self, rate: ByteRate) {
        self.profile.weight_rate = rate;
    }

    /// Starts to load weights and returns when they will be ready. Idempotent: weights that are
    /// present or loading are not loaded again, and a pending unload is cancelled.
    ///
    /// # Errors
    /// `MemoryFull` if running sequences and other weights leave too little memory.
    pub fn load_weights(
        &mut self,
        now: impl Into<EngineTime>,
        key: WeightKey,
        size: ByteCount,
    ) -> Result<EngineTime, WeightError> {
        let now = now.into();
        self.run_until(now);
        if self.weights.contains(&key) {
            self.weights.cancel_unload(&key);
            return Ok(self.weights.load_end(&key).unwrap_or(now));
        }
        let needed = size.0.div_ceil(self.profile.page_bytes.0.max(1));
        let needed = u32::try_from(needed).unwrap_or(u32::MAX);
        if !self.memory.allocate_weights(needed) {
            let available = self.memory.available();
            return Err(WeightError::MemoryFull { needed, available });
        }
        self.record_evictions(now);
        let micros = size.0.saturating_mul(1_000_000) / self.profile.weight_rate.0.max(1);
        let done = self.weights.begin_load(now, key, needed, micros);
        Ok(done.unwrap_or(now))
    }

    /// Unloads weights as soon as no sequence uses them; until then new requests for them are
    /// refused.
    ///
    /// # Errors
    /// `NotLoaded` if the weights are neither loaded nor loading.
    pub fn unload_weights(
        &mut self,
        now: impl Into<EngineTime>,
        key: &WeightKey,
    ) -> Result<(), WeightError> {
        let now = now.into();
        self.run_until(now);
        if !self.weights.begin_unload(key) {
            return Err(WeightError::NotLoaded);
        }
        self.unload_unused_weights(now);
        Ok(())
    }

    /// Returns the keys of the weights that requests can use, sorted.
    pub fn loaded_weights(&self) -> Vec<WeightKey> {
        self.weights.loaded()
    }

    pub(super) fn end_load(&mut self, at: EngineTime) {
        if let Some(key) = self.weights.finish_load(at) {
            self.record(at, EventDetail::WeightsLoaded(key));
        }
    }

    pub(super) fn unload_unused_weights(&mut self, at: EngineTime) {
        while let Some((key, pages)) = self.weights.remove_unused() {
            self.memory.free_weights(pages);
            self.record(at, EventDetail::WeightsUnloaded(key));
        }
    }
}
