use base::{ClockTime, TimeSpan};

use super::FeatureId;

/// Time for which a part counts as harmless after an answer to a call with it.
const PROOF_LIFETIME: TimeSpan = TimeSpan::from_secs(60);
/// Largest number of parts that are kept.
const PART_LIMIT: usize = 2_048;

/// Prompt parts of calls that were answered here lately, so that they hardly crash targets.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{FeatureId, ProvenParts};
/// let part = FeatureId::of_part(&"5c1e07a2".parse().unwrap());
/// let now = ClockTime::new(1_000);
/// let mut parts = ProvenParts::default();
/// parts.record(now, part);
/// assert!(parts.contains(now, part));
/// assert!(!parts.contains(now + TimeSpan::from_secs(90), part));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ProvenParts {
    /// Sorted by part, each with the time of its last answer.
    parts: Vec<(FeatureId, ClockTime)>,
}

impl ProvenParts {
    /// Records an answer to a call with a part. If the parts of too many calls were answered lately, a
    /// further one is not kept.
    pub fn record(&mut self, now: ClockTime, part: FeatureId) {
        let found = self.find(part);
        match found {
            Ok(at) => self.parts[at].1 = now,
            Err(_) if self.parts.len() >= PART_LIMIT && !self.expire(now) => {}
            Err(_) => {
                let at = self.find(part).unwrap_or_else(|at| at);
                self.parts.insert(at, (part, now));
            }
        }
    }

    /// Whether a call with a part was answered shortly before `time`, or later.
    pub fn contains(&self, time: ClockTime, part: FeatureId) -> bool {
        self.find(part)
            .is_ok_and(|at| time.since(self.parts[at].1) < PROOF_LIFETIME)
    }

    /// Removes parts without a recent answer; returns whether there were any.
    fn expire(&mut self, now: ClockTime) -> bool {
        let before = self.parts.len();
        self.parts
            .retain(|(_, answered_at)| now.since(*answered_at) < PROOF_LIFETIME);
        self.parts.len() < before
    }

    fn find(&self, part: FeatureId) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&part, |(known, _)| *known)
    }
}
