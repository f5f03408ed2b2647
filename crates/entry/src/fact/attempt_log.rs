use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::CrashSign;

/// Time for which a call that was given up is remembered: the platform drops the entry of a silent
/// target after three heartbeats.
const ABANDONED_KEEP: TimeSpan = TimeSpan::from_secs(8);
/// Calls remembered at most.
const ATTEMPT_LIMIT: usize = 4_096;

/// A call that was sent and has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// The sign that it leaves if its target died.
    pub sign: CrashSign,
    /// Where it was sent.
    pub address: SocketAddr,
    abandoned_at: Option<ClockTime>,
}

/// Calls of this node without a whole answer, also those given up lately, for targets that die in
/// silence.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::RequestFingerprint;
/// use entry::{AttemptLog, FactBook};
/// let target: base::TargetName = "e1".parse().unwrap();
/// let run = IncarnationNumber(1);
/// let sign = FactBook::default().sign(RequestFingerprint::new("/plans", b""), &target, run);
/// let mut log = AttemptLog::default();
/// log.begin(sign.clone(), "127.0.0.1:9101".parse().unwrap());
/// log.abandon(ClockTime::new(5), &sign);
/// assert_eq!(log.end_run(&target, run).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    attempts: Vec<OpenAttempt>,
}

impl AttemptLog {
    /// A call is sent.
    pub fn begin(&mut self, sign: CrashSign, address: SocketAddr) {
        if self.attempts.len() < ATTEMPT_LIMIT {
            self.attempts.push(OpenAttempt {
                sign,
                address,
                abandoned_at: None,
            });
        }
    }

    /// A call got its whole answer, or it is known why not.
    pub fn settle(&mut self, sign: &CrashSign) {
        if let Some(at) = self.find(sign) {
            self.attempts.swap_remove(at);
        }
    }

    /// A call was given up without a whole answer.
    pub fn abandon(&mut self, now: ClockTime, sign: &CrashSign) {
        if let Some(at) = self.find(sign) {
            self.attempts[at].abandoned_at = Some(now);
        }
    }

    /// A run of a target ended; returns the calls that it left without a whole answer.
    pub fn end_run(
        &mut self,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Vec<OpenAttempt> {
        let is_there = |attempt: &mut OpenAttempt| {
            attempt.sign.target == *target && attempt.sign.incarnation == incarnation
        };
        self.attempts.extract_if(.., is_there).collect()
    }

    /// Forgets calls that were given up long ago.
    pub fn expire(&mut self, now: ClockTime) {
        self.attempts.retain(|attempt| {
            let given_up = attempt.abandoned_at;
            given_up.is_none_or(|at| now - at < ABANDONED_KEEP)
        });
    }

    fn find(&self, sign: &CrashSign) -> Option<usize> {
        let mut attempts = self.attempts.iter();
        attempts.position(|attempt| attempt.abandoned_at.is_none() && attempt.sign == *sign)
    }
}
