use base::{ClockTime, WorkspaceName};

use super::{LimitClass, PeakPolicy, StreamState, TargetChoice, TargetRating};
use crate::{GrowthOutlook, QueueHead, QueueLane, SchedAction};

/// Requests at the head of workspaces that are tried when the first ones exclude targets.
const HEAD_TRIES: usize = 4;

impl PeakPolicy {
    /// Dispatches from a queue until nothing fits.
    pub(super) fn serve(&mut self, now: ClockTime, pool: usize) {
        while self.serve_next(now, pool) {}
    }

    pub(super) fn serve_next(&mut self, now: ClockTime, pool: usize) -> bool {
        let queue = &self.pools.pool(pool).queue;
        if queue.is_empty() {
            return false;
        }
        let patience = self.settings.starve_after;
        let starved = queue
            .head(QueueLane::Long)
            .is_some_and(|queued| now >= ClockTime::new(queued.rank) + patience);
        let lanes = match starved {
            true => [QueueLane::Long, QueueLane::Quick],
            false => [QueueLane::Quick, QueueLane::Long],
        };
        let found = lanes
            .into_iter()
            .find_map(|lane| self.find_next(now, pool, lane, starved));
        let Some((head, slot)) = found else {
            return false;
        };
        self.dispatch(now, pool, &head, slot);
        true
    }

    pub(super) fn find_next(
        &mut self,
        now: ClockTime,
        pool: usize,
        lane: QueueLane,
        starved: bool,
    ) -> Option<(QueueHead, usize)> {
        let growth = GrowthOutlook::of_running(&self.running);
        let class = LimitClass::of_lane(lane, starved);
        let pool = self.pools.pool(pool);
        for queued in pool.queue.heads(lane).take(HEAD_TRIES) {
            let rating = TargetRating {
                settings: &self.settings,
                now,
                queued,
                class,
                growth,
            };
            let choice = TargetChoice {
                pool,
                targets: &self.targets,
                prefixes: &self.prefixes,
                rating,
            };
            if let Some(slot) = choice.choose(&mut self.random) {
                return Some((QueueHead::of_item(queued), slot));
            }
            if queued.item.excluded.is_empty() {
                return None;
            }
        }
        None
    }

    pub(super) fn dispatch(&mut self, now: ClockTime, pool: usize, head: &QueueHead, slot: usize) {
        let Some((_, _, expiry)) = self.waiting.remove(&head.request) else {
            return;
        };
        self.expiries.remove(&(expiry, head.request.clone()));
        let pool = self.pools.pool_mut(pool);
        let Some(queued) = pool.queue.serve(head) else {
            return;
        };
        match pool.queue.is_empty() {
            true => pool.drain.skip(now),
            false => pool.drain.add(now, queued.cost),
        }
        let load = self.workspaces.entry(head.workspace.clone()).or_default();
        load.waiting -= 1;
        load.in_flight += 1;
        if load.in_flight >= queued.item.stream_limit {
            self.pause_workspace(&head.workspace, true);
        }
        self.prefixes.note(queued.item.prefix, slot, true);
        let stream = StreamState::new(slot, queued);
        let state = self.targets.state_mut(slot);
        state.view.add_stream(&stream.growth);
        state.report_uses += 1;
        self.actions.push(SchedAction::Dispatch {
            request: head.request.clone(),
            target: state.target.clone(),
            priority: stream.priority,
        });
        self.streams.insert(head.request.clone(), stream);
    }

    pub(super) fn pause_workspace(&mut self, workspace: &WorkspaceName, paused: bool) {
        for pool in 0..self.pools.len() {
            self.pools
                .pool_mut(pool)
                .queue
                .set_paused(workspace, paused);
        }
    }

    pub(super) fn serve_slot(&mut self, now: ClockTime, slot: usize) {
        for pool in 0..self.pools.len() {
            let state = self.pools.pool(pool);
            let touches = || state.local.contains(&slot) || state.remote.contains(&slot);
            if !state.queue.is_empty() && touches() {
                self.serve(now, pool);
            }
        }
    }

    pub(super) fn serve_all(&mut self, now: ClockTime) {
        for pool in 0..self.pools.len() {
            self.serve(now, pool);
        }
    }
}
