use std::collections::VecDeque;

use base::GenerationId;

use super::GenerationSnapshot;
use crate::EngineTime;

/// Snapshots of ended generations, oldest first, kept for a retention time.
#[derive(Clone, Debug)]
pub struct GenerationHistory {
    retention_micros: u64,
    limit: usize,
    snapshots: VecDeque<GenerationSnapshot>,
}

impl GenerationHistory {
    /// Creates an empty history of at most `limit` generations.
    pub fn new(retention_micros: u64, limit: usize) -> Self {
        Self {
            retention_micros,
            limit,
            snapshots: VecDeque::new(),
        }
    }

    /// Adds an ended generation; drops the oldest one if the limit is reached.
    pub fn push(&mut self, snapshot: GenerationSnapshot) {
        if self.snapshots.len() >= self.limit {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(snapshot);
    }

    /// Drops generations that ended longer ago than the retention time.
    pub fn expire(&mut self, now: EngineTime) {
        while let Some(snapshot) = self.snapshots.front() {
            let ended = snapshot.ended_at.unwrap_or_default();
            if ended.plus_micros(self.retention_micros) > now {
                return;
            }
            self.snapshots.pop_front();
        }
    }

    /// Returns an ended generation that is still retained.
    pub fn find(&self, generation: &GenerationId) -> Option<&GenerationSnapshot> {
        self.snapshots
            .iter()
            .find(|snapshot| &snapshot.generation == generation)
    }
}
