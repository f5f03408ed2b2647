use std::sync::Arc;
use std::time::Duration;

use base::{ClockTime, TimeSpan};
use entry::{CallFeatures, CallVerdict, FeatureId, TrialLedger};
use tokio::time::{Instant, timeout, timeout_at};

use super::TrialReply;
use super::trial_client::request_trial;
use crate::GatewayCore;

/// Longest wait until a trial is requested again; the outcome of the running one ends the wait
/// earlier.
const RETRY_WAIT: TimeSpan = TimeSpan::new(500);

/// Permit of a call to run as the trial of suspected features; the default permits none.
#[derive(Clone, Debug, Default)]
pub struct CallTrial {
    features: Vec<FeatureId>,
    expires_at: ClockTime,
}

impl CallTrial {
    /// Suspected features of which the call is a trial.
    pub fn features(&self) -> &[FeatureId] {
        &self.features
    }

    /// Whether the call may be sent now as a trial.
    pub fn is_valid(&self, now: ClockTime) -> bool {
        !self.features.is_empty() && now < self.expires_at
    }

    /// Waits until the call may run as a trial, if one of its features is suspected, or may run like
    /// any other. Whether it must not run at all is checked before it is sent.
    ///
    /// # Errors
    /// If other trials take until `deadline`; the time after which the caller may retry.
    pub async fn acquire(
        &mut self,
        core: &Arc<GatewayCore>,
        features: &CallFeatures,
        deadline: Instant,
    ) -> Result<(), TimeSpan> {
        let mut changes = core.watch_blame();
        loop {
            changes.mark_unchanged();
            let verdict = core.with_state(|state, now| state.facts.verdict(now, features));
            let CallVerdict::Trial { feature } = verdict else {
                self.features.clear();
                return Ok(());
            };
            if self.is_valid(core.now()) {
                return Ok(());
            }
            let TrialReply::Wait(wait) = request_trial(core, feature).await else {
                self.features =
                    core.with_state(|state, now| state.facts.suspected_features(now, features));
                self.expires_at = core.now() + TrialLedger::LEASE;
                return Ok(());
            };
            if Instant::now() >= deadline {
                return Err(RETRY_WAIT);
            }
            let changed = timeout(Duration::from(wait.min(RETRY_WAIT)), changes.changed());
            // After a time-out, the trial is requested again.
            let _ = timeout_at(deadline, changed).await;
        }
    }
}
