use std::sync::Arc;

use base::{ClockTime, DomainName, TargetName};

use super::TargetTable;
use crate::{DrainRate, WorkQueue};

/// Requests with the same candidates and the slots of these.
#[derive(Debug)]
pub struct TargetPool {
    /// Candidates that the requests share.
    pub candidates: Arc<[TargetName]>,
    /// Slots of candidates in the own failure domain.
    pub local: Vec<usize>,
    /// Slots of candidates in other failure domains.
    pub remote: Vec<usize>,
    /// Requests that wait.
    pub queue: WorkQueue,
    /// How fast waiting requests leave.
    pub drain: DrainRate,
    /// When a request last joined.
    pub used_at: ClockTime,
    version: u64,
}

impl TargetPool {
    /// Creates a pool without waiting requests.
    pub fn new(candidates: Arc<[TargetName]>) -> Self {
        Self {
            candidates,
            local: Vec::new(),
            remote: Vec::new(),
            queue: WorkQueue::default(),
            drain: DrainRate::default(),
            used_at: ClockTime::ZERO,
            version: 0,
        }
    }

    /// Looks up the slots again if the list of targets changed.
    pub fn resolve(&mut self, table: &TargetTable, domain: &DomainName) {
        if self.version == table.version() {
            return;
        }
        self.version = table.version();
        self.local.clear();
        self.remote.clear();
        for slot in self.candidates.iter().filter_map(|name| table.slot(name)) {
            if table.state(slot).domain == *domain {
                self.local.push(slot);
            } else {
                self.remote.push(slot);
            }
        }
    }
}
