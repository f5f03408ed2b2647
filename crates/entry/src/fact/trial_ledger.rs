use base::{ClockTime, TimeSpan};

use super::FeatureId;

/// Largest number of trials at a time.
const TRIAL_LIMIT: usize = 64;

/// A trial that was granted.
#[derive(Clone, Copy, Debug)]
struct GrantedTrial {
    part: FeatureId,
    expires_at: ClockTime,
    /// Failed trials of the part that were known then.
    failed_trials: usize,
}

/// Trials of suspected prompt parts that one node grants to the fleet: one at a time for each part.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{FeatureId, TrialLedger};
/// let part = FeatureId::of_part(&"5c1e07a2".parse().unwrap());
/// let now = ClockTime::new(1_000);
/// let mut ledger = TrialLedger::default();
/// assert_eq!(ledger.grant(now, part, 0), Ok(()));
/// let wait = ledger.grant(now, part, 0).unwrap_err();
/// // The trial failed.
/// assert_eq!(ledger.grant(now, part, 1), Ok(()));
/// assert_eq!(ledger.grant(now + wait, part, 1), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TrialLedger {
    trials: Vec<GrantedTrial>,
}

impl TrialLedger {
    /// Time for which a trial excludes others of the same part unless it fails sooner. It covers
    /// connecting to the target and reading a long prompt.
    pub const LEASE: TimeSpan = TimeSpan::from_secs(3);

    /// Grants a trial of a part of which `failed_trials` are known.
    ///
    /// # Errors
    /// The time until the next one can be granted.
    pub fn grant(
        &mut self,
        now: ClockTime,
        part: FeatureId,
        failed_trials: usize,
    ) -> Result<(), TimeSpan> {
        self.trials.retain(|trial| {
            let has_failed = trial.part == part && trial.failed_trials < failed_trials;
            trial.expires_at > now && !has_failed
        });
        if let Some(trial) = self.trials.iter().find(|trial| trial.part == part) {
            return Err(trial.expires_at - now);
        }
        if self.trials.len() >= TRIAL_LIMIT {
            return Err(Self::LEASE);
        }
        self.trials.push(GrantedTrial {
            part,
            expires_at: now + Self::LEASE,
            failed_trials,
        });
        Ok(())
    }
}
