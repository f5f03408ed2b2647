use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::ByteCount;

/// Share of the process's memory that bodies may take. The rest is for the state of the node, its
/// connections, and the buffers through which bodies pass.
const MEMORY_SHARE_PERCENT: u64 = 40;
/// Largest body that counts as small.
const SMALL_BODY: ByteCount = ByteCount(64 << 10);
/// Share of the budget that large bodies leave to small ones.
const SMALL_SHARE_PERCENT: u64 = 25;

/// Budget of the memory for bodies that are held as a whole, those of calls in progress and of buffered
/// responses; clones share it.
///
/// ```
/// use base::ByteCount;
/// let budget = entry::BodyBudget::new(ByteCount(100 << 20));
/// let (mut first, mut second) = (budget.new_lease(), budget.new_lease());
/// assert!(first.try_grow_to(ByteCount(30 << 20)));
/// assert!(!second.try_grow_to(ByteCount(30 << 20)));
/// drop(first);
/// assert!(second.try_grow_to(ByteCount(30 << 20)));
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limit: u64,
    used: Arc<AtomicU64>,
}

/// Bytes of a [`BodyBudget`] that one body takes; returned when dropped.
#[derive(Debug)]
pub struct BodyLease {
    bytes: u64,
    budget: BodyBudget,
}

impl BodyBudget {
    /// Creates the budget of a process that may use `memory`.
    pub fn new(memory: ByteCount) -> Self {
        Self {
            limit: memory.0 * MEMORY_SHARE_PERCENT / 100,
            used: Arc::default(),
        }
    }

    /// Creates the lease of a body of which nothing has been read.
    pub fn new_lease(&self) -> BodyLease {
        BodyLease {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

impl BodyLease {
    /// Takes what the body needs to have `bytes`; `false` if that does not fit. Large bodies leave
    /// a part of the budget to small ones.
    pub fn try_grow_to(&mut self, bytes: ByteCount) -> bool {
        let more = bytes.0.saturating_sub(self.bytes);
        let limit = match bytes <= SMALL_BODY {
            true => self.budget.limit,
            false => self.budget.limit * (100 - SMALL_SHARE_PERCENT) / 100,
        };
        let add = |used: u64| {
            let sum = used.checked_add(more)?;
            (more == 0 || sum <= limit).then_some(sum)
        };
        let used = &self.budget.used;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if taken.is_ok() {
            self.bytes += more;
        }
        taken.is_ok()
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
