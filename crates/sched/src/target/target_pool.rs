use std::sync::Arc;

use base::{ClockTime, DomainName, TargetName, rank_score};

use super::TargetTable;
use crate::{DrainRate, WorkQueue};

/// Key by which nodes agree on the targets for quick requests.
const EXPRESS_KEY: &str = "express";

/// Requests with the same candidates and the slots of these.
#[derive(Debug)]
pub struct TargetPool {
    /// Candidates that the requests share.
    pub candidates: Arc<[TargetName]>,
    /// Slots of candidates in the own failure domain.
    pub local: Vec<usize>,
    /// Slots of candidates in other failure domains.
    pub remote: Vec<usize>,
    /// Slots of candidates that are kept lightly loaded for quick requests.
    ///
    /// Rendezvous hashing makes all nodes choose the same ones.
    pub express: Vec<bool>,
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
            express: Vec::new(),
            queue: WorkQueue::default(),
            drain: DrainRate::default(),
            used_at: ClockTime::ZERO,
            version: 0,
        }
    }

    /// Looks up the slots again if the list of targets changed.
    pub fn resolve(&mut self, table: &TargetTable, domain: &DomainName, express_share: f64) {
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
        self.mark_express(table, express_share);
    }

    fn mark_express(&mut self, table: &TargetTable, share: f64) {
        let usable = self.local.iter().filter(|slot| table.state(**slot).usable);
        let score = |slot: &usize| rank_score(EXPRESS_KEY, table.state(*slot).target.as_str());
        let mut ranked: Vec<_> = usable.map(|slot| (score(slot), *slot)).collect();
        ranked.sort_unstable();
        let count = (ranked.len() as f64 * share).round() as usize;
        self.express.clear();
        self.express.resize(table.len(), false);
        for (_, slot) in ranked.into_iter().take(count) {
            self.express[slot] = true;
        }
    }
}
