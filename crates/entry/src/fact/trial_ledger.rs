use base::{ClockTime, TimeSpan};

use super::FeatureId;

/// Largest number of trials at a time.
const TRIAL_LIMIT: usize = 64;

/// Trials of suspected prompt parts that one node grants to the fleet: one at a time for each part.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{FeatureId, TrialLedger};
/// let part = FeatureId::of_part(&"5c1e07a2".parse().unwrap());
/// let now = ClockTime::new(1_000);
/// let mut ledger = TrialLedger::default();
/// assert_eq!(ledger.grant(now, part), Ok(()));
/// let wait = ledger.grant(now, part).unwrap_err();
/// assert_eq!(ledger.grant(now + wait, part), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TrialLedger {
    trials: Vec<(FeatureId, ClockTime)>,
}

impl TrialLedger {
    /// Time for which a trial excludes others of the same part. It covers connecting to the target and
    /// reading a long prompt; a trial that ends sooner is known to all nodes by its outcome.
    pub const LEASE: TimeSpan = TimeSpan::from_secs(3);

    /// Grants a trial of a part.
    ///
    /// # Errors
    /// The time until the next one can be granted.
    pub fn grant(&mut self, now: ClockTime, part: FeatureId) -> Result<(), TimeSpan> {
        self.trials.retain(|(_, end)| *end > now);
        if let Some((_, end)) = self.trials.iter().find(|(known, _)| *known == part) {
            return Err(*end - now);
        }
        if self.trials.len() >= TRIAL_LIMIT {
            return Err(Self::LEASE);
        }
        self.trials.push((part, now + Self::LEASE));
        Ok(())
    }
}
