use std::sync::Arc;

use base::{ClockTime, DomainName, TargetName};

use super::TargetTable;
use crate::{DrainRate, WorkQueue};

/// A set of candidate targets and the queue of the requests that share it.
#[derive(Debug)]
pub struct CandidatePool {
    /// Candidate targets that the requests share.
    pub candidates: Arc<[TargetName]>,
    /// Slots of the candidates in the failure domain of this node.
    pub local: Vec<usize>,
    /// Slots of the candidates in other failure domains.
    pub remote: Vec<usize>,
    /// Waiting requests.
    pub queue: WorkQueue,
    /// Rate at which waiting requests are dispatched.
    pub drain: DrainRate,
    /// When a request was last submitted to the pool.
    pub last_used_at: ClockTime,
    /// Version of the target table for which the slots were looked up.
    version: u64,
}

impl CandidatePool {
    /// Creates a pool without waiting requests.
    pub fn new(candidates: Arc<[TargetName]>) -> Self {
        Self {
            candidates,
            local: Vec::new(),
            remote: Vec::new(),
            queue: WorkQueue::default(),
            drain: DrainRate::default(),
            last_used_at: ClockTime::ZERO,
            version: 0,
        }
    }

    /// Looks up the slots of the candidates again if the list of targets has changed.
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
