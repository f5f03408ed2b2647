use base::{ClockTime, ErrorKind, RequestId, TargetName, TimeSpan, WorkspaceName};

use super::PeakPolicy;
use crate::{QueueHead, QueuedItem, SchedAction};

/// Bounds of the advice when to come back.
const RETRY_BOUNDS: (TimeSpan, TimeSpan) = (TimeSpan::from_secs(1), TimeSpan::from_secs(120));

impl PeakPolicy {
    pub(super) fn refuse(&mut self, request: RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = retry_after.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        self.actions.push(SchedAction::Refuse {
            request,
            kind,
            retry_after,
        });
    }

    pub(super) fn has_target(&self, pool: usize, excluded: &[TargetName]) -> bool {
        let pool = self.pools.pool(pool);
        let mut slots = pool.local.iter().chain(&pool.remote);
        slots.any(|slot| {
            let state = self.targets.state(*slot);
            state.usable && !excluded.contains(&state.target)
        })
    }

    /// Expected wait of a request that waits in a pool already.
    pub(super) fn expected_wait(&self, pool: usize, head: &QueueHead) -> TimeSpan {
        let pool = self.pools.pool(pool);
        let (own, workspaces) = pool.queue.cost_of(&head.workspace);
        let ahead = pool.queue.cost_ahead(head.lane);
        pool.drain.wait_for(ahead.min(own * workspaces as u64))
    }

    /// Refuses a request that has just joined a queue if it would wait too long.
    pub(super) fn check_queue(&mut self, now: ClockTime, request: &RequestId, queue_limit: u32) {
        let Some((pool, head, expiry)) = self.waiting.get(request) else {
            return;
        };
        let wait = self.expected_wait(*pool, head);
        let load = self.workspaces.get(&head.workspace).copied();
        let over = load.is_some_and(|load| load.waiting > queue_limit);
        let late = now + wait > *expiry;
        let kind = match (over, late) {
            (true, _) => ErrorKind::WorkspaceLimit,
            (false, true) => ErrorKind::Overloaded,
            (false, false) => return,
        };
        self.take_waiting(request);
        self.refuse(request.clone(), kind, wait);
    }

    /// Takes a request out of its queue without serving it.
    pub(super) fn take_waiting(&mut self, request: &RequestId) -> Option<QueuedItem> {
        let (pool, head, expiry) = self.waiting.remove(request)?;
        self.expiries.remove(&(expiry, request.clone()));
        self.leave_queue(&head.workspace);
        self.pools.pool_mut(pool).queue.remove(&head)
    }

    pub(super) fn leave_queue(&mut self, workspace: &WorkspaceName) {
        let Some(load) = self.workspaces.get_mut(workspace) else {
            return;
        };
        load.waiting -= 1;
        if load.waiting + load.in_flight == 0 {
            self.workspaces.remove(workspace);
        }
    }

    pub(super) fn refuse_expired(&mut self, now: ClockTime) {
        while let Some((expiry, request)) = self.expiries.first().cloned() {
            if expiry > now {
                return;
            }
            let place = self.waiting.get(&request);
            let wait = place.map(|(pool, head, _)| self.expected_wait(*pool, head));
            let queued = self.take_waiting(&request);
            let deadline = queued.and_then(|queued| queued.item.deadline);
            let kind = match deadline {
                Some(deadline) if deadline <= now => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::Overloaded,
            };
            self.refuse(request, kind, wait.unwrap_or_default());
        }
    }
}
