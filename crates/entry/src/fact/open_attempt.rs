use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::{CallFeatures, CrashSign, FeatureId};

/// Time for which an answer has to go on until the parts of its prompt count as harmless. A deadly
/// part crashes the target when that begins to write an answer on it.
pub const ANSWER_PROOF_TIME: TimeSpan = TimeSpan::new(100);

/// How the death of a target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeathEvidence {
    /// The call broke off and the host refuses connections: the process ended, as after a crash.
    ProcessEnded,
    /// The target no longer answers or is listed, or another run has its name. Its host or a link may
    /// have failed, and several targets with it.
    Vanished,
}

/// A call that was sent to a target and has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Features of the call.
    pub features: CallFeatures,
    /// Suspected features of which the call is a trial.
    pub trial_features: Vec<FeatureId>,
    /// Deaths that the same whole request was blamed for when the call was sent.
    pub earlier_deaths: Vec<CrashSign>,
    /// Target to which it was sent.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// Known deaths of that run when the call was sent.
    pub earlier: u16,
    /// Address to which it was sent.
    pub address: SocketAddr,
    /// When the first event of the answer arrived.
    pub began_at: Option<ClockTime>,
    /// Whether it broke off although the host accepted connections right after that; a process that
    /// crashed may have been started again by then.
    pub has_broken_off: bool,
}

impl OpenAttempt {
    /// Whether the answer has gone on for [`ANSWER_PROOF_TIME`], so that the call hardly is the cause if
    /// the target dies now.
    pub fn is_proven(&self, now: ClockTime) -> bool {
        self.began_at
            .is_some_and(|began_at| now - began_at >= ANSWER_PROOF_TIME)
    }

    /// Signs to record if the target died now. Parts of the prompt are left out once the answer has
    /// gone on for [`ANSWER_PROOF_TIME`], and if the process of the target may not have crashed.
    pub fn crash_signs(&self, now: ClockTime, evidence: DeathEvidence) -> Vec<CrashSign> {
        let request = FeatureId::from(self.features.request());
        let mut features = vec![request];
        if !self.is_proven(now) && evidence == DeathEvidence::ProcessEnded {
            features.extend(self.features.parts());
            features.extend(self.trial_features.iter().map(|part| part.failed_trial()));
        }
        let signs = features.into_iter().map(|print| CrashSign {
            print,
            target: self.target.clone(),
            incarnation: self.incarnation,
            earlier: self.earlier,
        });
        signs.collect()
    }
}
