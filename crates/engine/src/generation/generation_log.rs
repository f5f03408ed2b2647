use std::collections::VecDeque;

use base::GenerationId;

use super::GenerationView;
use crate::EngineTime;

/// Ended generations, oldest first, for a retention time.
#[derive(Clone, Debug)]
pub struct GenerationLog {
    retention_micros: u64,
    limit: usize,
    views: VecDeque<GenerationView>,
}

impl GenerationLog {
    /// Creates a log that holds `limit` generations at most.
    pub fn new(retention_micros: u64, limit: usize) -> Self {
        Self {
            retention_micros,
            limit,
            views: VecDeque::new(),
        }
    }

    /// Adds an ended generation.
    pub fn push(&mut self, view: GenerationView) {
        if self.views.len() >= self.limit {
            self.views.pop_front();
        }
        self.views.push_back(view);
    }

    /// Drops what ended longer ago than the retention time.
    pub fn expire(&mut self, now: EngineTime) {
        while let Some(view) = self.views.front() {
            let ended = view.ended_at.unwrap_or_default();
            if ended.plus_micros(self.retention_micros) > now {
                return;
            }
            self.views.pop_front();
        }
    }

    /// Finds an ended generation.
    pub fn find(&self, generation: &GenerationId) -> Option<&GenerationView> {
        self.views
            .iter()
            .find(|view| &view.generation == generation)
    }
}
