use base::{ClockTime, TargetName, TimeSpan};
use entry::{QueueLane, QueuedCall};
use metrics::{counter, gauge};
use strum::IntoEnumIterator;

use super::{GatewayState, PlacedTarget, PlacementRefusal, QueueRequest};

/// Interval at which the metrics of the queue are set.
const METRICS_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Number of workspaces whose shares are exported.
const EXPORTED_SHARES: usize = 10;
/// Thousandths in one; shares are exported as fractions.
const THOUSANDTHS: f64 = 1_000.0;

/// Refusals of calls that would wait for too long, and metrics of the queue.
impl GatewayState {
    /// Whether a call is to be refused unless it can be placed at once.
    ///
    /// Only a coordinator refuses calls: its queue has all those of the failure domain, and it
    /// places all.
    pub(super) fn expects_long_wait(
        &mut self,
        now: ClockTime,
        request: &QueueRequest,
        call: &QueuedCall,
    ) -> bool {
        let is_asked = request.accepts_refusal && request.placement.engine.is_some();
        let is_refused = is_asked
            && self
                .queue
                .refuse_early(now, call, request.patience)
                .is_some();
        is_refused && self.is_coordinator(now)
    }

    /// Places a call that is not in the queue on a target.
    pub(super) fn place_direct(
        &mut self,
        now: ClockTime,
        request: &QueueRequest,
        call: &QueuedCall,
        target: TargetName,
    ) -> PlacedTarget {
        let requester = request.requester.as_ref();
        let grant_id = self.record_placement(now, requester, &request.placement, &target);
        self.queue.place_direct(now, call);
        PlacedTarget { target, grant_id }
    }

    /// Refusal of a call that is expected to wait for longer than it can; `None` if it is to wait.
    pub(super) fn refuse_early(
        &mut self,
        now: ClockTime,
        request: &QueueRequest,
        call: &QueuedCall,
    ) -> Option<PlacementRefusal> {
        let refusal = self.queue.refuse_early(now, call, request.patience)?;
        let (first, interval) = (refusal.first_return, refusal.return_interval);
        let service = &call.service;
        let retry_after = self.returns.next_return(now, service, first, interval);
        self.early_refusals += 1;
        counter!(
            "gateway_queue_refusals_total",
            "service" => service.to_string(),
            "cause" => "expected_wait"
        )
        .increment(1);
        Some(PlacementRefusal::TooLongWait {
            retry_after,
            estimate: refusal.estimate,
        })
    }

    /// Sets the metrics of the queue, if they are due.
    pub(super) fn export_queue(&mut self, now: ClockTime) {
        if now.since(self.queue_metrics_at) < METRICS_INTERVAL {
            return;
        }
        self.queue_metrics_at = now;
        for status in self.queue.statuses(now, EXPORTED_SHARES) {
            let service = status.service.to_string();
            for lane in QueueLane::iter() {
                let name: &'static str = lane.into();
                let labels = [("service", service.clone()), ("lane", name.to_owned())];
                let waiting = status.waiting[lane as usize];
                gauge!("gateway_queue_waiting", &labels).set(f64::from(waiting));
                let wait = status.waits[lane as usize].unwrap_or_default();
                let seconds = wait.as_millis() as f64 / THOUSANDTHS;
                gauge!("gateway_queue_wait_seconds", &labels).set(seconds);
            }
            // Labelled by rank: the names of all workspaces that were ever among the largest would
            // have no bound.
            for rank in 0..EXPORTED_SHARES {
                let share = status.shares.get(rank).map_or(0, |(_, share)| *share);
                let labels = [
                    ("service", service.clone()),
                    ("rank", (rank + 1).to_string()),
                ];
                let share = f64::from(share) / THOUSANDTHS;
                gauge!("gateway_workspace_share", &labels).set(share);
            }
        }
    }
}
