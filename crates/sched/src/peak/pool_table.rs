use std::collections::HashMap;
use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};

use crate::CandidatePool;

/// Time without new requests after which a pool is removed.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// The candidate pools of a node, found by their list of candidates.
#[derive(Debug, Default)]
pub struct PoolTable {
    pools: Vec<CandidatePool>,
    index: HashMap<Arc<[TargetName]>, usize>,
    last_found: Option<usize>,
}

impl PoolTable {
    /// Returns the number of the pool of these candidates and creates it if needed.
    pub fn find(&mut self, now: ClockTime, candidates: &Arc<[TargetName]>) -> usize {
        let found = self.find_known(candidates);
        let pool = found.unwrap_or_else(|| self.create(candidates));
        self.pools[pool].last_used_at = now;
        self.last_found = Some(pool);
        pool
    }

    /// Compares pointers before hashing, since consecutive requests mostly share the same list.
    fn find_known(&self, candidates: &Arc<[TargetName]>) -> Option<usize> {
        let is_last = |pool: &usize| Arc::ptr_eq(&self.pools[*pool].candidates, candidates);
        let last = self.last_found.filter(is_last);
        let known = || {
            self.pools
                .iter()
                .position(|pool| Arc::ptr_eq(&pool.candidates, candidates))
        };
        last.or_else(known)
            .or_else(|| self.index.get(candidates).copied())
    }

    fn create(&mut self, candidates: &Arc<[TargetName]>) -> usize {
        self.pools.push(CandidatePool::new(candidates.clone()));
        let pool = self.pools.len() - 1;
        self.index.insert(candidates.clone(), pool);
        pool
    }

    /// Returns a pool by its number.
    pub fn pool(&self, pool: usize) -> &CandidatePool {
        &self.pools[pool]
    }

    /// Returns a pool by its number, mutably.
    pub fn pool_mut(&mut self, pool: usize) -> &mut CandidatePool {
        &mut self.pools[pool]
    }

    /// Number of pools.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Whether there is no pool.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Removes idle pools from the end of the table only, so that the others keep their numbers.
    pub fn prune(&mut self, now: ClockTime) {
        while let Some(pool) = self.pools.last() {
            if !pool.queue.is_empty() || now.since(pool.last_used_at) < IDLE_TIMEOUT {
                return;
            }
            self.index.remove(&pool.candidates);
            self.pools.pop();
            self.last_found = None;
        }
    }
}
