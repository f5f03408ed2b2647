use base::{ClockTime, RequestId, TargetName, TokenCount};

use super::{DispatchOutcome, LoadReport, PeerDigest, SchedAction, TargetInfo, WorkItem};

/// A routing policy: takes events and produces actions, without I/O and without its own clock.
///
/// Every method may produce actions, which the caller collects with `drain_actions`. A request is
/// added with `submit` and answered by one `Dispatch` or `Refuse` action, unless it is withdrawn
/// first. The end of a dispatched request is reported with `on_finished`. To retry a request, the
/// caller submits it again.
pub trait RoutePolicy: Send {
    /// Replaces the list of known targets; `targets` is sorted by name.
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]);

    /// Processes a load report of an engine.
    fn on_report(&mut self, now: ClockTime, report: LoadReport);

    /// Processes a digest of a peer in the same failure domain.
    fn on_digest(&mut self, now: ClockTime, digest: PeerDigest);

    /// Adds a request that needs a target.
    fn submit(&mut self, now: ClockTime, item: WorkItem);

    /// Removes a request that still waits because its caller disconnected.
    fn withdraw(&mut self, now: ClockTime, request: &RequestId);

    /// Reports that the target admitted a dispatched request.
    fn on_admitted(&mut self, now: ClockTime, request: &RequestId);

    /// Reports how many tokens a running request has produced so far.
    fn on_progress(&mut self, now: ClockTime, request: &RequestId, produced: TokenCount);

    /// Reports how a dispatched request ended.
    fn on_finished(&mut self, now: ClockTime, request: &RequestId, outcome: DispatchOutcome);

    /// Reports that a target cached or evicted a prefix; a hint that may be late or wrong.
    fn on_cache_event(&mut self, now: ClockTime, target: &TargetName, prefix: u64, held: bool);

    /// Does periodic work such as refusing expired requests; to be called every 10 ms to 100 ms.
    fn on_tick(&mut self, now: ClockTime);

    /// Appends the pending actions to `actions` and clears them.
    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>);
}
