use base::{ClockTime, WorkspaceName};

use super::{LimitClass, PeakPolicy, StreamState, TargetScorer, TargetSelector};
use crate::{GrowthEstimate, QueueLane, QueuePosition, SchedAction};

/// Number of workspaces whose first request is tried; the search continues only past a request that
/// excludes targets.
const HEAD_LIMIT: usize = 4;

impl PeakPolicy {
    /// Dispatches requests from the queue of a pool until none fits on a target.
    pub(super) fn dispatch_waiting(&mut self, now: ClockTime, pool: usize) {
        while self.dispatch_next(now, pool) {}
    }

    /// Dispatches the next request of a pool; returns `false` if none fits on a target.
    pub(super) fn dispatch_next(&mut self, now: ClockTime, pool: usize) -> bool {
        let queue = &self.pools.pool(pool).queue;
        if queue.is_empty() {
            return false;
        }
        let starve_after = self.settings.starve_after;
        let starved = queue
            .head(QueueLane::Long)
            .is_some_and(|queued| now >= ClockTime::new(queued.rank) + starve_after);
        let lanes = match starved {
            true => [QueueLane::Long, QueueLane::Quick],
            false => [QueueLane::Quick, QueueLane::Long],
        };
        let found = lanes
            .into_iter()
            .find_map(|lane| self.select_next(now, pool, lane, starved));
        let Some((position, slot)) = found else {
            return false;
        };
        self.dispatch(now, pool, &position, slot);
        true
    }

    /// Selects the next request of a lane that fits on a target, and the slot of the target.
    pub(super) fn select_next(
        &mut self,
        now: ClockTime,
        pool: usize,
        lane: QueueLane,
        starved: bool,
    ) -> Option<(QueuePosition, usize)> {
        let growth_estimate = GrowthEstimate::from_running(&self.running_growth);
        let class = LimitClass::of_lane(lane, starved);
        let pool = self.pools.pool(pool);
        for queued in pool.queue.heads(lane).take(HEAD_LIMIT) {
            let scorer = TargetScorer {
                settings: &self.settings,
                now,
                queued,
                class,
                growth_estimate,
            };
            let selector = TargetSelector {
                pool,
                targets: &self.targets,
                prefixes: &self.prefixes,
                scorer,
            };
            if let Some(slot) = selector.select(&mut self.random) {
                return Some((QueuePosition::of(queued), slot));
            }
            if queued.item.excluded.is_empty() {
                return None;
            }
        }
        None
    }

    /// Moves a request from its queue to a target.
    pub(super) fn dispatch(
        &mut self,
        now: ClockTime,
        pool: usize,
        position: &QueuePosition,
        slot: usize,
    ) {
        let Some((_, _, expiry)) = self.waiting.remove(&position.request) else {
            return;
        };
        self.expiries.remove(&(expiry, position.request.clone()));
        let pool = self.pools.pool_mut(pool);
        let Some(queued) = pool.queue.serve(position) else {
            return;
        };
        match pool.queue.is_empty() {
            true => pool.drain.skip_idle(now),
            false => pool.drain.record(now, queued.cost),
        }
        let load = self
            .workspaces
            .entry(position.workspace.clone())
            .or_default();
        load.waiting -= 1;
        load.in_flight += 1;
        if load.in_flight >= queued.item.stream_limit {
            self.pause_workspace(&position.workspace, true);
        }
        self.prefixes.record(queued.item.prefix, slot, true);
        let stream = StreamState::new(slot, queued);
        let state = self.targets.state_mut(slot);
        state.view.add_stream(&stream.growth);
        state.report_uses += 1;
        self.actions.push(SchedAction::Dispatch {
            request: position.request.clone(),
            target: state.target.clone(),
            priority: stream.priority,
        });
        self.streams.insert(position.request.clone(), stream);
    }

    /// Pauses or resumes a workspace in the queues of all pools.
    pub(super) fn pause_workspace(&mut self, workspace: &WorkspaceName, paused: bool) {
        for pool in 0..self.pools.len() {
            self.pools
                .pool_mut(pool)
                .queue
                .set_paused(workspace, paused);
        }
    }

    /// Dispatches from all pools that have the target in `slot` as a candidate.
    pub(super) fn dispatch_for_slot(&mut self, now: ClockTime, slot: usize) {
        for pool in 0..self.pools.len() {
            let state = self.pools.pool(pool);
            let has_slot = || state.local.contains(&slot) || state.remote.contains(&slot);
            if !state.queue.is_empty() && has_slot() {
                self.dispatch_waiting(now, pool);
            }
        }
    }

    /// Dispatches from all pools.
    pub(super) fn dispatch_all(&mut self, now: ClockTime) {
        for pool in 0..self.pools.len() {
            self.dispatch_waiting(now, pool);
        }
    }
}
