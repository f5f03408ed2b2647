use std::collections::HashMap;
use std::sync::Arc;

use base::{ClockTime, TargetName, TimeSpan};

use crate::TargetPool;

/// Idle time after which a pool is dropped.
const IDLE_TIME: TimeSpan = TimeSpan::from_secs(60);

/// The pools of a node, found by their candidates.
#[derive(Debug, Default)]
pub struct PoolTable {
    pools: Vec<TargetPool>,
    index: HashMap<Arc<[TargetName]>, usize>,
    last: Option<usize>,
}

impl PoolTable {
    /// Returns the pool of these candidates and creates it if needed.
    pub fn find(&mut self, now: ClockTime, candidates: &Arc<[TargetName]>) -> usize {
        let found = self.find_known(candidates);
        let pool = found.unwrap_or_else(|| self.create(candidates));
        self.pools[pool].used_at = now;
        self.last = Some(pool);
        pool
    }

    /// Requests in a row mostly share the very same list, which saves hashing it.
    fn find_known(&self, candidates: &Arc<[TargetName]>) -> Option<usize> {
        let is_last = |pool: &usize| Arc::ptr_eq(&self.pools[*pool].candidates, candidates);
        let last = self.last.filter(is_last);
        let known = || {
            self.pools
                .iter()
                .position(|pool| Arc::ptr_eq(&pool.candidates, candidates))
        };
        last.or_else(known)
            .or_else(|| self.index.get(candidates).copied())
    }

    fn create(&mut self, candidates: &Arc<[TargetName]>) -> usize {
        self.pools.push(TargetPool::new(candidates.clone()));
        let pool = self.pools.len() - 1;
        self.index.insert(candidates.clone(), pool);
        pool
    }

    /// A pool by its number.
    pub fn pool(&self, pool: usize) -> &TargetPool {
        &self.pools[pool]
    }

    /// A pool by its number, to be changed.
    pub fn pool_mut(&mut self, pool: usize) -> &mut TargetPool {
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

    /// Drops the idle pools at the end of the table, so that the others keep their numbers.
    pub fn prune(&mut self, now: ClockTime) {
        while let Some(pool) = self.pools.last() {
            if !pool.queue.is_empty() || now.since(pool.used_at) < IDLE_TIME {
                return;
            }
            self.index.remove(&pool.candidates);
            self.pools.pop();
            self.last = None;
        }
    }
}
