use base::{ClockTime, ErrorKind, RequestId, TargetName, TimeSpan, WorkspaceName};

use super::PeakPolicy;
use crate::{QueuePosition, QueuedItem, SchedAction};

/// Smallest and largest retry time that a refusal reports.
const RETRY_AFTER_RANGE: (TimeSpan, TimeSpan) = (TimeSpan::from_secs(1), TimeSpan::from_secs(120));

impl PeakPolicy {
    /// Refuses a request with a retry time within bounds.
    pub(super) fn refuse(&mut self, request: RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        self.actions.push(SchedAction::Refuse {
            request,
            kind,
            retry_after,
        });
    }

    /// Whether the pool has a usable target that is not excluded.
    pub(super) fn has_usable_target(&self, pool: usize, excluded: &[TargetName]) -> bool {
        let pool = self.pools.pool(pool);
        let mut slots = pool.local.iter().chain(&pool.remote);
        slots.any(|slot| {
            let state = self.targets.state(*slot);
            state.usable && !excluded.contains(&state.target)
        })
    }

    /// Expected waiting time of a request that is in the queue of a pool.
    pub(super) fn expected_wait(&self, pool: usize, position: &QueuePosition) -> TimeSpan {
        let pool = self.pools.pool(pool);
        let (own, workspaces) = pool.queue.workspace_cost_and_count(&position.workspace);
        let ahead = pool.queue.cost_ahead(position.lane);
        pool.drain.time_to_drain(ahead.min(own * workspaces as u64))
    }

    /// Refuses a request that was just queued if its workspace has too many waiting requests or if
    /// it is expected to wait past its expiry.
    pub(super) fn check_admission(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        queue_limit: u32,
    ) {
        let Some((pool, position, expiry)) = self.waiting.get(request) else {
            return;
        };
        let wait = self.expected_wait(*pool, position);
        let load = self.workspaces.get(&position.workspace).copied();
        let over = load.is_some_and(|load| load.waiting > queue_limit);
        let late = now + wait > *expiry;
        let kind = match (over, late) {
            (true, _) => ErrorKind::WorkspaceLimit,
            (false, true) => ErrorKind::Overloaded,
            (false, false) => return,
        };
        self.remove_waiting(request);
        self.refuse(request.clone(), kind, wait);
    }

    /// Removes a request from its queue without charging its workspace.
    pub(super) fn remove_waiting(&mut self, request: &RequestId) -> Option<QueuedItem> {
        let (pool, position, expiry) = self.waiting.remove(request)?;
        self.expiries.remove(&(expiry, request.clone()));
        self.decrement_waiting(&position.workspace);
        self.pools.pool_mut(pool).queue.remove(&position)
    }

    /// Counts one waiting request of a workspace less.
    pub(super) fn decrement_waiting(&mut self, workspace: &WorkspaceName) {
        let Some(load) = self.workspaces.get_mut(workspace) else {
            return;
        };
        load.waiting -= 1;
        if load.waiting + load.in_flight == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Refuses the requests that have waited until their expiry.
    pub(super) fn refuse_expired(&mut self, now: ClockTime) {
        while let Some((expiry, request)) = self.expiries.first().cloned() {
            if expiry > now {
                return;
            }
            let entry = self.waiting.get(&request);
            let wait = entry.map(|(pool, position, _)| self.expected_wait(*pool, position));
            let queued = self.remove_waiting(&request);
            let deadline = queued.and_then(|queued| queued.item.deadline);
            let kind = match deadline {
                Some(deadline) if deadline <= now => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::Overloaded,
            };
            self.refuse(request, kind, wait.unwrap_or_default());
        }
    }
}
