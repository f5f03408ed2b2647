use base::{ClockTime, RequestId, TargetName, TokenCount};

use super::{FinishState, LoadReport, PeerDigest, SchedAction, TargetInfo, WorkItem};

/// A routing policy: events in, actions out, no I/O and no clock of its own.
///
/// Every method may produce actions; the caller takes them with `drain_actions`. A request is
/// submitted once, leaves by `Dispatch` or `Refuse`, and a dispatched one ends by `on_finished`.
/// A request that is tried again is submitted again.
pub trait RoutePolicy: Send {
    /// Replaces the known targets, sorted by name.
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]);

    /// Takes a load report of an engine.
    fn on_report(&mut self, now: ClockTime, report: LoadReport);

    /// Takes a digest of a peer in the same failure domain.
    fn on_digest(&mut self, now: ClockTime, digest: PeerDigest);

    /// Takes a request that wants a target.
    fn submit(&mut self, now: ClockTime, item: WorkItem);

    /// Drops a request that still waits, since its caller went away.
    fn withdraw(&mut self, now: ClockTime, request: &RequestId);

    /// Notes that the target admitted a dispatched request.
    fn on_admitted(&mut self, now: ClockTime, request: &RequestId);

    /// Notes how many tokens a running request has produced so far.
    fn on_progress(&mut self, now: ClockTime, request: &RequestId, produced: TokenCount);

    /// Notes the end of a dispatched request.
    fn on_finished(&mut self, now: ClockTime, request: &RequestId, state: FinishState);

    /// Notes that a target holds a prefix, or no longer does; a hint that may be late or wrong.
    fn on_cache_event(&mut self, now: ClockTime, target: &TargetName, prefix: u64, held: bool);

    /// Lets time pass; to be called every 10 ms to 100 ms.
    fn on_tick(&mut self, now: ClockTime);

    /// Moves the pending actions to `actions`.
    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>);
}
