use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::OpenAttempt;

/// Time for which an abandoned call is kept. The platform removes the entry of a target that
/// stopped answering after three heartbeats; the call has to be known until then.
const ABANDONED_RETENTION: TimeSpan = TimeSpan::from_secs(8);
/// Largest number of calls that are tracked.
const ATTEMPT_LIMIT: usize = 4_096;

/// Identifies a call of this node while it is tracked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId(u64);

#[derive(Clone, Debug)]
struct TrackedAttempt {
    id: AttemptId,
    attempt: OpenAttempt,
    abandoned_at: Option<ClockTime>,
}

/// Calls of this node without a complete response, including those abandoned lately.
///
/// A target may die without closing its connections. Its calls then time out and are abandoned
/// before the platform reports the death, and are still found here when it does.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::RequestFingerprint;
/// use entry::{AttemptTracker, CallFeatures, OpenAttempt};
/// let run = IncarnationNumber(1);
/// let mut tracker = AttemptTracker::default();
/// let id = tracker.begin(OpenAttempt {
///     features: CallFeatures::new(RequestFingerprint::new("/plans", b"")),
///     trial_features: Vec::new(),
///     earlier_deaths: Vec::new(),
///     target: "e1".parse().unwrap(),
///     incarnation: run,
///     earlier: 0,
///     address: "127.0.0.1:9101".parse().unwrap(),
///     began_at: None,
///     has_broken_off: false,
/// });
/// tracker.abandon(ClockTime::new(5), id);
/// assert_eq!(tracker.take_run(&"e1".parse().unwrap(), run).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptTracker {
    /// Sorted by identifier.
    attempts: Vec<TrackedAttempt>,
    next_id: u64,
}

impl AttemptTracker {
    /// Starts tracking a call that is sent; it is not tracked if the limit is reached.
    pub fn begin(&mut self, attempt: OpenAttempt) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        if self.attempts.len() < ATTEMPT_LIMIT {
            self.attempts.push(TrackedAttempt {
                id,
                attempt,
                abandoned_at: None,
            });
        }
        id
    }

    /// Records when the first event of the answer to a call arrived.
    pub fn record_begin(&mut self, id: AttemptId, began_at: ClockTime) {
        if let Some(at) = self.find(id) {
            self.attempts[at].attempt.began_at = Some(began_at);
        }
    }

    /// Stops tracking a call that got its complete response, or whose failure has a known cause;
    /// returns it if it was tracked.
    pub fn finish(&mut self, id: AttemptId) -> Option<OpenAttempt> {
        let at = self.find(id)?;
        Some(self.attempts.remove(at).attempt)
    }

    /// Marks a call as abandoned without a complete response.
    pub fn abandon(&mut self, now: ClockTime, id: AttemptId) {
        if let Some(at) = self.find(id) {
            self.attempts[at].abandoned_at = Some(now);
        }
    }

    /// Removes and returns the calls without a complete response on a run of a target that ended.
    pub fn take_run(
        &mut self,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Vec<OpenAttempt> {
        let is_on_run = |tracked: &mut TrackedAttempt| {
            tracked.attempt.target == *target && tracked.attempt.incarnation == incarnation
        };
        let taken = self.attempts.extract_if(.., is_on_run);
        taken.map(|tracked| tracked.attempt).collect()
    }

    /// Removes calls that were abandoned longer ago than they are kept.
    pub fn expire(&mut self, now: ClockTime) {
        self.attempts.retain(|tracked| {
            let abandoned_at = tracked.abandoned_at;
            abandoned_at.is_none_or(|at| now - at < ABANDONED_RETENTION)
        });
    }

    fn find(&self, id: AttemptId) -> Option<usize> {
        let found = self
            .attempts
            .binary_search_by_key(&id.0, |tracked| tracked.id.0);
        found.ok()
    }
}
