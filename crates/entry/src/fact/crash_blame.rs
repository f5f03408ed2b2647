use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use facts::SharedFact;

use super::{
    CallFeatures, CallVerdict, CrashSign, DeathEvidence, FactState, FeatureId, OpenAttempt,
    TargetFact,
};

/// Deaths after which calls with the same whole request only run as trials. After a single death, every
/// other call that ran on the same target would be restricted too.
const REQUEST_DEATHS: usize = 2;
/// Failed trials after which a whole request is refused.
const REQUEST_REFUSAL_TRIALS: usize = 1;
/// Largest number of failed trials that lengthen the pause of a whole request, so that the next one
/// runs before the signs of the last one expire.
const REQUEST_PAUSE_STEPS: usize = 1;
/// Occasions on which targets died, with failed trials counted once more, from which calls with a
/// prompt part only run as trials. Sound calls share parts, so that one death says little.
const PART_OCCASIONS: usize = 2;
/// Targets that die within this time may have died of one cause, such as the loss of a rack.
const OCCASION_SPAN: TimeSpan = TimeSpan::new(100);
/// Occasions that count as one, if other targets died on them too.
const DOUBTFUL_OCCASIONS: usize = 2;
/// Failed trials after which calls with a part are refused. The target of one may have died of another
/// cause, such as when targets are killed one after the other.
const REFUSAL_TRIALS: usize = 2;
/// Time around the death of a target within which others must not have died, if it is to be the only
/// one that a part is blamed for.
const SINGLE_DEATH_SPAN: TimeSpan = TimeSpan::from_secs(2);
/// Features other than its own that a call may lack of those blamed for a single death: the whole
/// request that crashed the target.
const SINGLE_DEATH_RIVALS: usize = 1;
/// Time after those in which no call with the part runs; each further failed trial multiplies it by
/// [`TRIAL_PAUSE_FACTOR`].
const TRIAL_PAUSE: TimeSpan = TimeSpan::from_secs(60);
/// Factor by which the pause after each further failed trial of a part is longer.
const TRIAL_PAUSE_FACTOR: u64 = 4;
/// Largest number of failed trials that lengthen the pause.
const TRIAL_PAUSE_STEPS: usize = 2;
/// Retry delay sent to the caller if suspected deaths are needed to refuse the call; they are
/// confirmed or cleared sooner than that.
const SUSPECT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Largest number of earlier deaths that are kept for a call.
const EARLIER_DEATH_LIMIT: usize = 4;

/// What a prompt part is blamed for.
struct PartBlame {
    part: FeatureId,
    /// Number of occasions on which targets died.
    occasions: usize,
    /// Number of failed trials.
    trials: usize,
    /// Time since the last failed trial.
    trial_age: TimeSpan,
    /// Failed trials after which calls with the part are refused.
    refusal_trials: usize,
}

impl PartBlame {
    /// Number of occasions; failed trials count once more, as a trial excludes chance.
    fn weight(&self) -> usize {
        self.occasions + self.trials
    }

    /// Rest of the pause after the last failed trial; `None` if the next trial may run.
    fn pause_left(&self) -> Option<TimeSpan> {
        if self.trials < self.refusal_trials {
            return None;
        }
        pause_left(self.trials.saturating_sub(REFUSAL_TRIALS), self.trial_age)
    }
}

/// Rest of the pause after the last failed trial, which was `trial_age` ago and was preceded by `more`
/// trials after the one that led to the first pause; `None` if the pause is over.
fn pause_left(more: usize, trial_age: TimeSpan) -> Option<TimeSpan> {
    let steps = more.min(TRIAL_PAUSE_STEPS) as u32;
    let pause = TRIAL_PAUSE * TRIAL_PAUSE_FACTOR.pow(steps);
    (trial_age < pause).then(|| pause.saturating_sub(trial_age))
}

/// Which features of calls are blamed for the deaths of targets.
impl FactState {
    /// Creates the crash sign of a feature of a call that is sent to a target now, to be recorded if
    /// the target dies.
    pub fn crash_sign(
        &self,
        feature: impl Into<FeatureId>,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> CrashSign {
        CrashSign {
            print: feature.into(),
            target: target.clone(),
            incarnation,
            earlier: self.death_count(target, incarnation),
        }
    }

    /// Counts the broken connection of a call as a death of its target until the check of the
    /// target is done.
    pub fn add_suspected(&mut self, sign: CrashSign) {
        if !self.suspected.contains(&sign) {
            self.suspected.push(sign);
        }
    }

    /// Removes a suspected death, since the target is alive.
    pub fn clear_suspected(&mut self, sign: &CrashSign) {
        self.suspected.retain(|known| known != sign);
    }

    /// Records that the target of a call died; returns whether that is new.
    pub fn confirm_death(&mut self, now: ClockTime, sign: CrashSign) -> bool {
        self.clear_suspected(&sign);
        self.set.insert(now, TargetFact::Crashed(sign))
    }

    /// Records that the target of a call died; returns the signs that are new.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        attempt: &OpenAttempt,
        evidence: DeathEvidence,
    ) -> Vec<CrashSign> {
        let lifetime = match attempt.is_proven(now) {
            true => CrashSign::PROVEN_LIFETIME,
            false => CrashSign::LIFETIME,
        };
        let mut signs = attempt.crash_signs(now, evidence);
        if !attempt.is_proven(now) && self.has_repeated_death(attempt) {
            let request = FeatureId::from(attempt.features.request());
            signs.push(CrashSign {
                print: request.failed_trial(),
                ..signs[0].clone()
            });
        }
        signs.retain(|sign| {
            self.clear_suspected(sign);
            let fact = TargetFact::Crashed(sign.clone());
            self.set.insert_for(now, fact, lifetime)
        });
        signs
    }

    /// Deaths of targets that ran the same whole request and were known or suspected when it was sent
    /// again.
    pub fn earlier_deaths(&self, now: ClockTime, features: &CallFeatures) -> Vec<CrashSign> {
        let request = features.request().into();
        let known = self.uncleared_signs(now, request).map(|(sign, _)| sign);
        let suspected = self.suspected.iter().filter(|sign| sign.print == request);
        known
            .chain(suspected.cloned())
            .take(EARLIER_DEATH_LIMIT)
            .collect()
    }

    /// Whether a call that crashed its target was sent after the same request had crashed another one,
    /// and no answer has cleared that since. Deaths of targets that ran it at the same time may have
    /// one cause, such as the loss of a rack.
    fn has_repeated_death(&self, attempt: &OpenAttempt) -> bool {
        attempt.earlier_deaths.iter().any(|sign| {
            let is_known = self.set.contains(&TargetFact::Crashed(sign.clone()));
            (is_known || self.suspected.contains(sign)) && !self.is_cleared(sign)
        })
    }

    /// Records that a call ran, so that the signs of earlier deaths no longer count against its
    /// features; returns the signs that it clears. Deaths after `began_at`, when its answer began,
    /// still count.
    pub fn record_completion(
        &mut self,
        now: ClockTime,
        features: impl Iterator<Item = FeatureId>,
        began_at: ClockTime,
    ) -> Vec<CrashSign> {
        let answer_age = now - began_at;
        let mut signs = Vec::new();
        for feature in features {
            for print in [feature, feature.failed_trial()] {
                let earlier = self.uncleared_signs(now, print);
                let earlier = earlier.filter(|(_, age)| *age >= answer_age);
                signs.extend(earlier.map(|(sign, _)| sign));
            }
        }
        for sign in &signs {
            self.set.insert(now, TargetFact::Completed(sign.clone()));
        }
        signs
    }

    /// Whether and how a call may run.
    pub fn verdict(&self, now: ClockTime, features: &CallFeatures) -> CallVerdict {
        if self.set.is_empty() && self.suspected.is_empty() {
            return CallVerdict::Unrestricted;
        }
        let request = self.request_verdict(now, features.request().into());
        if matches!(request, CallVerdict::Refused { .. }) {
            return request;
        }
        let blames = self.part_blames(now, features);
        let refusals = blames
            .iter()
            .filter_map(|blame| Some((blame.pause_left()?, blame.part)));
        if let Some((retry_after, feature)) = refusals.max() {
            return CallVerdict::Refused {
                retry_after,
                feature,
            };
        }
        // Of parts that are blamed alike, all nodes choose the same one.
        let most_blamed = blames
            .iter()
            .max_by_key(|blame| (blame.weight(), std::cmp::Reverse(blame.part)));
        match (request, most_blamed) {
            (CallVerdict::Trial { .. }, _) | (_, None) => request,
            (_, Some(blame)) => CallVerdict::Trial {
                feature: blame.part,
            },
        }
    }

    /// Features that a trial of the call tests: all that are blamed for a death, since any of them may
    /// crash its target.
    pub fn suspected_features(&self, now: ClockTime, features: &CallFeatures) -> Vec<FeatureId> {
        let suspected = features
            .iter()
            .filter(|feature| self.uncleared_signs(now, *feature).next().is_some());
        suspected.collect()
    }

    /// Number of failed trials of a feature.
    pub fn failed_trials(&self, now: ClockTime, feature: FeatureId) -> usize {
        self.uncleared_signs(now, feature.failed_trial()).count()
    }

    /// Whether a call that was sent but has not begun to answer is likely to crash its target. Deaths
    /// that are only suspected do not count, and of the same whole request only failed trials do: as
    /// long as it may be sound, its calls that run show that by their answers.
    pub fn is_dangerous(&self, now: ClockTime, features: &CallFeatures) -> bool {
        if self.set.is_empty() {
            return false;
        }
        let request = features.request().into();
        self.failed_trials(now, request) >= REFUSAL_TRIALS
            || !self.part_blames(now, features).is_empty()
    }

    /// Targets that died while a call with a feature ran on them, without the signs that were
    /// cleared.
    pub fn crashed_targets(
        &self,
        now: ClockTime,
        feature: impl Into<FeatureId>,
    ) -> Vec<TargetName> {
        let signs = self.uncleared_signs(now, feature.into());
        signs.map(|(sign, _)| sign.target).collect()
    }

    /// Number of known deaths of a run of a target.
    pub fn death_count(&self, target: &TargetName, incarnation: IncarnationNumber) -> u16 {
        let signs = self.set.facts().filter_map(TargetFact::as_crash);
        let run_signs =
            signs.filter(|sign| sign.target == *target && sign.incarnation == incarnation);
        let last = run_signs.map(|sign| sign.earlier.saturating_add(1)).max();
        last.unwrap_or(0)
    }

    fn request_verdict(&self, now: ClockTime, request: FeatureId) -> CallVerdict {
        let trials = self.uncleared_signs(now, request.failed_trial());
        let trial_ages: Vec<_> = trials.map(|(_, age)| age).collect();
        if let Some(last) = trial_ages.iter().min() {
            let more = trial_ages.len().saturating_sub(REQUEST_REFUSAL_TRIALS);
            return match pause_left(more.min(REQUEST_PAUSE_STEPS), *last) {
                Some(retry_after) => CallVerdict::Refused {
                    retry_after,
                    feature: request,
                },
                None => CallVerdict::Trial { feature: request },
            };
        }
        let confirmed = self.uncleared_signs(now, request).count();
        let is_unconfirmed = |sign: &&CrashSign| {
            sign.print == request && !self.set.contains(&TargetFact::Crashed((**sign).clone()))
        };
        let suspected = self.suspected.iter().filter(is_unconfirmed).count();
        match (confirmed + suspected, suspected) {
            (0, _) => CallVerdict::Unrestricted,
            (deaths, _) if deaths < REQUEST_DEATHS => CallVerdict::Isolated,
            (_, 0) => CallVerdict::Trial { feature: request },
            _ => CallVerdict::Refused {
                retry_after: SUSPECT_RETRY_AFTER,
                feature: request,
            },
        }
    }

    /// The parts of a prompt that are blamed on [`PART_OCCASIONS`] or more, unless a feature that the
    /// call lacks may have caused all the same deaths; or for a single death, while signs may be missing.
    fn part_blames(&self, now: ClockTime, features: &CallFeatures) -> Vec<PartBlame> {
        let mut blames = Vec::new();
        for part in features.parts() {
            let deaths: Vec<_> = self.uncleared_signs(now, *part).collect();
            if deaths.is_empty() {
                continue;
            }
            let trial_ages = self.failed_trial_ages(now, features, *part);
            let is_single_cause = self.is_single_cause(now, features, *part, &deaths);
            let blame = PartBlame {
                part: *part,
                occasions: self.count_occasions(now, *part, &deaths),
                trials: trial_ages.len(),
                trial_age: trial_ages.into_iter().min().unwrap_or_default(),
                refusal_trials: match is_single_cause && self.has_clear_trial(now, *part) {
                    true => 1,
                    false => REFUSAL_TRIALS,
                },
            };
            let is_foreign =
                |print: FeatureId| !print.is_failed_trial() && !features.contains(print);
            let is_blamed =
                || blame.weight() >= PART_OCCASIONS && !self.has_rival(now, &deaths, is_foreign);
            if is_single_cause || is_blamed() {
                blames.push(blame);
            }
        }
        blames
    }

    /// Whether one of these deaths is enough to blame a part, as crash signs may be missing: no call with
    /// the part was answered here, no other call had not begun to answer on the target, and no other
    /// target died at about that time.
    fn is_single_cause(
        &self,
        now: ClockTime,
        features: &CallFeatures,
        part: FeatureId,
        deaths: &[(CrashSign, TimeSpan)],
    ) -> bool {
        self.is_incomplete(now)
            && deaths.iter().any(|(death, age)| {
                if self.proven.contains(now.saturating_sub(*age), part) {
                    return false;
                }
                let rivals = self.crash_signs(now).filter(|(sign, age)| {
                    let is_foreign =
                        !sign.print.is_failed_trial() && !features.contains(sign.print);
                    sign.is_same_death(death)
                        && is_foreign
                        && proven_age(*age).is_none()
                        && !self.is_cleared(sign)
                });
                rivals.take(SINGLE_DEATH_RIVALS + 1).count() <= SINGLE_DEATH_RIVALS
                    && !self.has_other_death(now, part, (death, *age), SINGLE_DEATH_SPAN)
            })
    }

    /// Whether a trial of a part failed while no other target died.
    fn has_clear_trial(&self, now: ClockTime, part: FeatureId) -> bool {
        let mut trials = self.uncleared_signs(now, part.failed_trial());
        trials.any(|(sign, age)| !self.has_other_death(now, part, (&sign, age), SINGLE_DEATH_SPAN))
    }

    /// Ages of the failed trials of a part. If all of them tested a part that the call lacks as well,
    /// they say nothing about the call.
    fn failed_trial_ages(
        &self,
        now: ClockTime,
        features: &CallFeatures,
        part: FeatureId,
    ) -> Vec<TimeSpan> {
        let trials: Vec<_> = self.uncleared_signs(now, part.failed_trial()).collect();
        let own: Vec<_> = features
            .parts()
            .iter()
            .map(|part| part.failed_trial())
            .collect();
        let is_foreign = |print: FeatureId| print.is_failed_trial() && !own.contains(&print);
        if self.has_rival(now, &trials, is_foreign) {
            return Vec::new();
        }
        trials.into_iter().map(|(_, age)| age).collect()
    }

    /// Number of occasions on which targets died that calls with a part ran on. An occasion on which
    /// other targets died too may have had another cause: two of them count as one.
    fn count_occasions(
        &self,
        now: ClockTime,
        part: FeatureId,
        deaths: &[(CrashSign, TimeSpan)],
    ) -> usize {
        let (mut clear, mut doubtful) = (Vec::new(), Vec::new());
        for (death, age) in deaths {
            match self.has_other_death(now, part, (death, *age), OCCASION_SPAN) {
                true => doubtful.push(*age),
                false => clear.push(*age),
            }
        }
        count_apart(clear) + count_apart(doubtful) / DOUBTFUL_OCCASIONS
    }

    /// Whether another target, on which no call with the part ran, died within `span` of a death of
    /// this age.
    fn has_other_death(
        &self,
        now: ClockTime,
        part: FeatureId,
        (death, age): (&CrashSign, TimeSpan),
        span: TimeSpan,
    ) -> bool {
        let mut others = self.crash_signs(now);
        others.any(|(sign, other)| {
            let with_part = CrashSign {
                print: part,
                ..sign.clone()
            };
            let is_together = !is_apart(age, other, span)
                || proven_age(other).is_some_and(|other| !is_apart(age, other, span));
            is_together
                && sign.target != death.target
                && !self.set.contains(&TargetFact::Crashed(with_part))
        })
    }

    /// Whether a feature that a call lacks may have caused all the deaths that a part of its prompt is
    /// blamed for; `is_foreign` tells the features that it lacks. A sound part that stood beside a
    /// deadly one in each call that crashed its target is blamed for the same deaths.
    fn has_rival(
        &self,
        now: ClockTime,
        deaths: &[(CrashSign, TimeSpan)],
        is_foreign: impl Fn(FeatureId) -> bool,
    ) -> bool {
        let mut rival: Option<(FeatureId, usize)> = None;
        for (sign, _) in self.crash_signs(now) {
            let is_shared = deaths.iter().any(|(death, _)| death.is_same_death(sign));
            if !is_shared || !is_foreign(sign.print) || self.is_cleared(sign) {
                continue;
            }
            // The signs of a feature follow one another.
            let count = rival
                .filter(|(feature, _)| *feature == sign.print)
                .map_or(1, |(_, count)| count + 1);
            if count == deaths.len() {
                return true;
            }
            rival = Some((sign.print, count));
        }
        false
    }

    /// Crash signs, cleared or not, each with its age.
    fn crash_signs(&self, now: ClockTime) -> impl Iterator<Item = (&CrashSign, TimeSpan)> {
        let facts = self.set.iter_from(now, |_| false);
        facts.map_while(|(fact, remaining)| {
            let sign = fact.as_crash()?;
            Some((sign, fact.lifetime().saturating_sub(remaining)))
        })
    }

    fn is_cleared(&self, sign: &CrashSign) -> bool {
        self.set.contains(&TargetFact::Completed(sign.clone()))
    }

    /// Crash signs of a feature that no later answer cleared, each with its age.
    fn uncleared_signs(
        &self,
        now: ClockTime,
        feature: FeatureId,
    ) -> impl Iterator<Item = (CrashSign, TimeSpan)> {
        let facts = self.set.iter_from(now, move |fact| match fact {
            TargetFact::Crashed(sign) => sign.print < feature,
            TargetFact::Completed(_)
            | TargetFact::Leaving(_)
            | TargetFact::Stayed(_)
            | TargetFact::RateNamed(_)
            | TargetFact::Ended(_) => false,
        });
        let signs = facts.map_while(move |(fact, remaining)| match fact {
            TargetFact::Crashed(sign) if sign.print == feature => {
                Some((sign.clone(), fact.lifetime().saturating_sub(remaining)))
            }
            _ => None,
        });
        signs.filter(|(sign, _)| !self.is_cleared(sign))
    }
}

/// Number of occasions on which deaths of these ages happened.
fn count_apart(mut ages: Vec<TimeSpan>) -> usize {
    ages.sort();
    let mut counted: Vec<TimeSpan> = Vec::new();
    for age in ages {
        if counted
            .last()
            .is_none_or(|last| is_apart(age, *last, OCCASION_SPAN))
        {
            counted.push(age);
        }
    }
    counted.len()
}

/// Whether two deaths of these ages happened `span` or more apart.
fn is_apart(age: TimeSpan, other: TimeSpan, span: TimeSpan) -> bool {
    age.saturating_sub(other) >= span || other.saturating_sub(age) >= span
}

/// Age of a sign if it was recorded with the shorter lifetime; `age` holds for the longer one. A sign
/// does not tell which of the two it has.
fn proven_age(age: TimeSpan) -> Option<TimeSpan> {
    let remaining = CrashSign::LIFETIME.saturating_sub(age);
    (remaining <= CrashSign::PROVEN_LIFETIME)
        .then(|| CrashSign::PROVEN_LIFETIME.saturating_sub(remaining))
}
