use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use facts::FactSet;

use super::target_fact::RATE_LIFETIME;
use super::{CrashSign, FeatureId, LeaveNotice, NamedRate, ProvenParts, RunEnd, TargetFact};

/// The facts that this node knows and the deaths that only it suspects, with the conclusions drawn
/// from them: which calls may run, and which targets are leaving.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::RequestFingerprint;
/// use entry::{CallFeatures, CallVerdict, FactState};
/// let now = ClockTime::new(1_000);
/// let fingerprint = RequestFingerprint::new("/plans", b"{}");
/// let features = CallFeatures::new(fingerprint);
/// let mut facts = FactState::default();
/// for name in ["e1", "e2"] {
///     let sign = facts.crash_sign(fingerprint, &name.parse().unwrap(), IncarnationNumber(1));
///     facts.confirm_death(now, sign);
/// }
/// assert!(matches!(facts.verdict(now, &features), CallVerdict::Trial { .. }));
/// assert_eq!(facts.record_completion(now, features.iter(), now).len(), 2);
/// assert_eq!(facts.verdict(now, &features), CallVerdict::Unrestricted);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FactState {
    /// Facts, which are synchronized with those of peers.
    pub set: FactSet<TargetFact>,
    /// Signs of calls whose connection broke, while it is checked whether their targets died.
    pub(super) suspected: Vec<CrashSign>,
    /// Prompt parts that were answered here while facts may be missing.
    pub(super) proven: ProvenParts,
    /// Time until which facts of before the start of this node may be missing, as no peer that had
    /// them told them.
    incomplete_until: ClockTime,
}

impl FactState {
    /// Creates the facts of a node that starts at `now` and knows none of those recorded before.
    ///
    /// ```
    /// use base::{ClockTime, TimeSpan};
    /// use entry::FactState;
    /// let now = ClockTime::new(1_000);
    /// let mut facts = FactState::started_at(now);
    /// assert!(facts.is_incomplete(now));
    /// // A peer has all facts, and the same ones.
    /// facts.complete_within(now, TimeSpan::ZERO);
    /// assert!(!facts.is_incomplete(now));
    /// ```
    pub fn started_at(now: ClockTime) -> Self {
        Self {
            incomplete_until: now + CrashSign::LIFETIME,
            ..Self::default()
        }
    }

    /// Whether crash signs of before the start of this node may be missing.
    pub fn is_incomplete(&self, now: ClockTime) -> bool {
        now < self.incomplete_until
    }

    /// Time for which crash signs may still be missing.
    pub fn incomplete_for(&self, now: ClockTime) -> TimeSpan {
        self.incomplete_until.since(now)
    }

    /// Records that a peer with the same facts lacks none once `span` is over.
    pub fn complete_within(&mut self, now: ClockTime, span: TimeSpan) {
        self.incomplete_until = self.incomplete_until.min(now + span);
    }

    /// Records that calls with these prompt parts were answered.
    pub fn record_proof(&mut self, now: ClockTime, parts: impl Iterator<Item = FeatureId>) {
        if self.is_incomplete(now) {
            for part in parts {
                self.proven.record(now, part);
            }
        }
    }

    /// Records that a run of a target announced that it is leaving; returns whether that is new.
    pub fn record_leaving(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        let notice = self.leave_notice(now, target, incarnation);
        self.set.insert(now, TargetFact::Leaving(notice))
    }

    /// The notice by which a run of a target announces now that it is leaving.
    pub fn leave_notice(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> LeaveNotice {
        LeaveNotice {
            target: target.clone(),
            incarnation,
            earlier: self.leave_counts(now, target, incarnation).1,
        }
    }

    /// Records that the platform published a run of a target as ready again; returns whether the
    /// run counted as leaving by its own announcement and that is now reversed.
    pub fn record_stayed(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        if !self.is_leaving(now, target, incarnation) {
            return false;
        }
        let notice = LeaveNotice {
            target: target.clone(),
            incarnation,
            earlier: self.leave_counts(now, target, incarnation).1,
        };
        self.set.insert(now, TargetFact::Stayed(notice))
    }

    /// Whether a run announced that it is leaving and the platform has not reversed that.
    pub fn is_leaving(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        let (announced, reversed) = self.leave_counts(now, target, incarnation);
        announced > reversed
    }

    /// Runs that announced that they are leaving, without those that the platform reversed.
    pub fn leaving_runs(&self, now: ClockTime) -> Vec<(TargetName, IncarnationNumber)> {
        let notices = self.set.facts().filter_map(|fact| match fact {
            TargetFact::Leaving(notice) => Some((notice.target.clone(), notice.incarnation)),
            TargetFact::Crashed(_)
            | TargetFact::Completed(_)
            | TargetFact::Stayed(_)
            | TargetFact::RateNamed(_)
            | TargetFact::Ended(_) => None,
        });
        let mut runs: Vec<_> = notices.collect();
        runs.dedup();
        runs.retain(|(target, incarnation)| self.is_leaving(now, target, *incarnation));
        runs
    }

    /// Records that a run of a target ended although it is still listed.
    pub fn record_end(&mut self, now: ClockTime, end: RunEnd) {
        self.set.insert(now, TargetFact::Ended(end));
    }

    /// Runs of targets that ended although they may still be listed.
    pub fn ended_runs(&self, now: ClockTime) -> impl Iterator<Item = &RunEnd> {
        let facts = self
            .set
            .iter_from(now, |fact| !matches!(fact, TargetFact::Ended(_)));
        facts.filter_map(|(fact, _)| match fact {
            TargetFact::Ended(end) => Some(end),
            _ => None,
        })
    }

    /// Records the rate of calls that a run of a target accepts.
    pub fn record_rate(&mut self, now: ClockTime, rate: NamedRate) {
        self.set.insert(now, TargetFact::RateNamed(rate));
    }

    /// Unexpired facts about the rates of calls that targets accept, superseded ones included.
    pub fn named_rates(&self, now: ClockTime) -> impl Iterator<Item = &NamedRate> {
        self.rates_with_remaining(now).map(|(rate, _)| rate)
    }

    /// Whether a recorded rate that still holds has to be recorded anew so that it does not expire.
    pub fn is_rate_expiring(&self, now: ClockTime, rate: &NamedRate) -> bool {
        let mut known = self.rates_with_remaining(now);
        known.all(|(known, remaining)| known != rate || remaining < RATE_LIFETIME / 2)
    }

    fn rates_with_remaining(&self, now: ClockTime) -> impl Iterator<Item = (&NamedRate, TimeSpan)> {
        let facts = self.set.iter_from(now, |fact| {
            !matches!(fact, TargetFact::RateNamed(_) | TargetFact::Ended(_))
        });
        facts.filter_map(|(fact, remaining)| match fact {
            TargetFact::RateNamed(rate) => Some((rate, remaining)),
            _ => None,
        })
    }

    /// How often a run announced that it is leaving, and how often the platform reversed that.
    fn leave_counts(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> (u16, u16) {
        let run = (target, incarnation);
        let announced = self.set.iter_from(now, |fact| match fact {
            TargetFact::Crashed(_) | TargetFact::Completed(_) => true,
            TargetFact::Leaving(notice) => notice.run() < run,
            TargetFact::Stayed(_) | TargetFact::RateNamed(_) | TargetFact::Ended(_) => false,
        });
        let announced = announced.map_while(|(fact, _)| match fact {
            TargetFact::Leaving(notice) if notice.run() == run => {
                Some(notice.earlier.saturating_add(1))
            }
            _ => None,
        });
        let reversed = self.set.iter_from(now, |fact| match fact {
            TargetFact::Stayed(notice) => notice.run() < run,
            TargetFact::Crashed(_) | TargetFact::Completed(_) | TargetFact::Leaving(_) => true,
            TargetFact::RateNamed(_) | TargetFact::Ended(_) => false,
        });
        let reversed = reversed.map_while(|(fact, _)| match fact {
            TargetFact::Stayed(notice) if notice.run() == run => {
                Some(notice.earlier.saturating_add(1))
            }
            _ => None,
        });
        (announced.last().unwrap_or(0), reversed.last().unwrap_or(0))
    }
}
