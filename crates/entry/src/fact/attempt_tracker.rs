use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::CrashSign;

/// Time for which an abandoned call is kept. The platform removes the entry of a target that
/// stopped answering after three heartbeats; the call has to be known until then.
const ABANDONED_RETENTION: TimeSpan = TimeSpan::from_secs(8);
/// Largest number of calls that are tracked.
const ATTEMPT_LIMIT: usize = 4_096;

/// A call that was sent to a target and has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Crash sign to record if the target turns out to have died.
    pub sign: CrashSign,
    /// Address to which it was sent.
    pub address: SocketAddr,
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
/// use entry::{AttemptTracker, FactState};
/// let target: base::TargetName = "e1".parse().unwrap();
/// let run = IncarnationNumber(1);
/// let sign = FactState::default().crash_sign(RequestFingerprint::new("/plans", b""), &target, run);
/// let mut tracker = AttemptTracker::default();
/// tracker.begin(sign.clone(), "127.0.0.1:9101".parse().unwrap());
/// tracker.abandon(ClockTime::new(5), &sign);
/// assert_eq!(tracker.take_run(&target, run).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptTracker {
    attempts: Vec<OpenAttempt>,
}

impl AttemptTracker {
    /// Starts tracking a call that is sent; does nothing if the limit is reached.
    pub fn begin(&mut self, sign: CrashSign, address: SocketAddr) {
        if self.attempts.len() < ATTEMPT_LIMIT {
            self.attempts.push(OpenAttempt {
                sign,
                address,
                abandoned_at: None,
            });
        }
    }

    /// Stops tracking a call that got its complete response, or whose failure has a known cause.
    pub fn finish(&mut self, sign: &CrashSign) {
        if let Some(at) = self.find(sign) {
            self.attempts.swap_remove(at);
        }
    }

    /// Marks a call as abandoned without a complete response.
    pub fn abandon(&mut self, now: ClockTime, sign: &CrashSign) {
        if let Some(at) = self.find(sign) {
            self.attempts[at].abandoned_at = Some(now);
        }
    }

    /// Removes and returns the calls without a complete response on a run of a target that ended.
    pub fn take_run(
        &mut self,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Vec<OpenAttempt> {
        let is_on_run = |attempt: &mut OpenAttempt| {
            attempt.sign.target == *target && attempt.sign.incarnation == incarnation
        };
        self.attempts.extract_if(.., is_on_run).collect()
    }

    /// Removes calls that were abandoned longer ago than they are kept.
    pub fn expire(&mut self, now: ClockTime) {
        self.attempts.retain(|attempt| {
            let abandoned_at = attempt.abandoned_at;
            abandoned_at.is_none_or(|at| now - at < ABANDONED_RETENTION)
        });
    }

    /// Index of a call that was not abandoned.
    fn find(&self, sign: &CrashSign) -> Option<usize> {
        let mut attempts = self.attempts.iter();
        attempts.position(|attempt| attempt.abandoned_at.is_none() && attempt.sign == *sign)
    }
}
