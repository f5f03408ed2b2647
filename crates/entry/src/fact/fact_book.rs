use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use calls::{CrashVerdict, RequestFingerprint};
use facts::FactSet;

use super::{CrashSign, LeaveWord, NodeFact};

/// Deaths that condemn a call; with one alone, whatever ran beside it would be condemned too.
const DEATH_LIMIT: usize = 2;
/// Advice to the caller of a call that only suspicions condemn; they are settled sooner.
const SUSPECT_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// What the facts that a node knows mean, with what only this node suspects so far.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{CrashVerdict, RequestFingerprint};
/// use entry::FactBook;
/// let now = ClockTime::new(1_000);
/// let print = RequestFingerprint::new("/plans", b"{}");
/// let mut book = FactBook::default();
/// for name in ["e1", "e2"] {
///     let sign = book.sign(print, &name.parse().unwrap(), IncarnationNumber(1));
///     book.confirm(now, sign);
/// }
/// assert!(matches!(book.judge(now, print), CrashVerdict::Refused { .. }));
/// assert_eq!(book.complete(now, print), 2);
/// assert_eq!(book.judge(now, print), CrashVerdict::Unrestricted);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FactBook {
    /// The facts, to be compared with those of peers.
    pub set: FactSet<NodeFact>,
    /// Broken calls whose targets may have died, as long as that is looked into.
    suspected: Vec<CrashSign>,
}

impl FactBook {
    /// The sign that a call will leave if the target dies that it is sent to now.
    pub fn sign(
        &self,
        print: RequestFingerprint,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> CrashSign {
        CrashSign {
            print,
            target: target.clone(),
            incarnation,
            earlier: self.deaths(target, incarnation),
        }
    }

    /// Counts a call that broke off as if its target had died, until that is known.
    pub fn suspect(&mut self, sign: CrashSign) {
        if !self.suspected.contains(&sign) {
            self.suspected.push(sign);
        }
    }

    /// The target of a call that broke off lives.
    pub fn acquit(&mut self, sign: &CrashSign) {
        self.suspected.retain(|known| known != sign);
    }

    /// The target of a call that broke off died; returns whether that is new.
    pub fn confirm(&mut self, now: ClockTime, sign: CrashSign) -> bool {
        self.acquit(&sign);
        self.set.learn(now, NodeFact::Crashed(sign))
    }

    /// A call ran to its end, so it caused none of the deaths; returns how many counted.
    pub fn complete(&mut self, now: ClockTime, print: RequestFingerprint) -> usize {
        let signs: Vec<_> = self.open_signs(now, print).map(|(sign, _)| sign).collect();
        let count = signs.len();
        for sign in signs {
            self.set.learn(now, NodeFact::Completed(sign));
        }
        count
    }

    /// How a call may run.
    pub fn judge(&self, now: ClockTime, print: RequestFingerprint) -> CrashVerdict {
        if self.set.is_empty() && self.suspected.is_empty() {
            return CrashVerdict::Unrestricted;
        }
        let mut ends: Vec<_> = self.open_signs(now, print).map(|(_, left)| left).collect();
        let known = |sign: &&CrashSign| {
            sign.print == print && !self.set.contains(&NodeFact::Crashed((**sign).clone()))
        };
        let suspected = self.suspected.iter().filter(known).count();
        ends.sort();
        match ends.len() + suspected {
            0 => CrashVerdict::Unrestricted,
            deaths if deaths < DEATH_LIMIT => CrashVerdict::Isolated,
            // Until one death fewer than condemns it counts.
            _ => CrashVerdict::Refused {
                retry_after: ends
                    .iter()
                    .rev()
                    .nth(DEATH_LIMIT - 1)
                    .copied()
                    .unwrap_or(SUSPECT_WAIT),
            },
        }
    }

    /// Targets that died with a call, as far as that counts.
    pub fn victims(&self, now: ClockTime, print: RequestFingerprint) -> Vec<TargetName> {
        let signs = self.open_signs(now, print);
        signs.map(|(sign, _)| sign.target).collect()
    }

    /// Deaths of a run that are known.
    pub fn deaths(&self, target: &TargetName, incarnation: IncarnationNumber) -> u16 {
        let signs = self.set.facts().filter_map(|fact| match fact {
            NodeFact::Crashed(sign) => Some(sign),
            NodeFact::Completed(_) | NodeFact::Leaving(_) | NodeFact::Stayed(_) => None,
        });
        let of_run = signs.filter(|sign| sign.target == *target && sign.incarnation == incarnation);
        let last = of_run.map(|sign| sign.earlier.saturating_add(1)).max();
        last.unwrap_or(0)
    }

    /// A run of a target said that it leaves; returns whether that is new.
    pub fn note_leaving(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        let earlier = self.words(now, target, incarnation).1;
        let word = LeaveWord {
            target: target.clone(),
            incarnation,
            earlier,
        };
        self.set.learn(now, NodeFact::Leaving(word))
    }

    /// The platform took back that a run leaves; returns whether it had said so itself.
    pub fn note_stayed(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        if !self.is_leaving(now, target, incarnation) {
            return false;
        }
        let word = LeaveWord {
            target: target.clone(),
            incarnation,
            earlier: self.words(now, target, incarnation).1,
        };
        self.set.learn(now, NodeFact::Stayed(word))
    }

    /// Whether a run said that it leaves, and the platform did not take that back.
    pub fn is_leaving(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> bool {
        let (said, taken_back) = self.words(now, target, incarnation);
        said > taken_back
    }

    /// Runs that said that they leave, and did not stay.
    pub fn leaving(&self, now: ClockTime) -> Vec<(TargetName, IncarnationNumber)> {
        let words = self.set.facts().filter_map(|fact| match fact {
            NodeFact::Leaving(word) => Some((word.target.clone(), word.incarnation)),
            NodeFact::Crashed(_) | NodeFact::Completed(_) | NodeFact::Stayed(_) => None,
        });
        let mut runs: Vec<_> = words.collect();
        runs.dedup();
        runs.retain(|(target, incarnation)| self.is_leaving(now, target, *incarnation));
        runs
    }

    /// Times that a run said that it leaves, and times that this was taken back.
    fn words(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> (u16, u16) {
        let run = (target, incarnation);
        let said = self.set.after(now, |fact| match fact {
            NodeFact::Crashed(_) | NodeFact::Completed(_) => true,
            NodeFact::Leaving(word) => word.run() < run,
            NodeFact::Stayed(_) => false,
        });
        let said = said.map_while(|(fact, _)| match fact {
            NodeFact::Leaving(word) if word.run() == run => Some(word.earlier.saturating_add(1)),
            _ => None,
        });
        let taken_back = self.set.after(now, |fact| match fact {
            NodeFact::Stayed(word) => word.run() < run,
            NodeFact::Crashed(_) | NodeFact::Completed(_) | NodeFact::Leaving(_) => true,
        });
        let taken_back = taken_back.map_while(|(fact, _)| match fact {
            NodeFact::Stayed(word) if word.run() == run => Some(word.earlier.saturating_add(1)),
            _ => None,
        });
        (said.last().unwrap_or(0), taken_back.last().unwrap_or(0))
    }

    /// Signs of a call that no run to its end cleared, with the time for which they count.
    fn open_signs(
        &self,
        now: ClockTime,
        print: RequestFingerprint,
    ) -> impl Iterator<Item = (CrashSign, TimeSpan)> {
        let facts = self.set.after(now, move |fact| match fact {
            NodeFact::Crashed(sign) => sign.print < print,
            NodeFact::Completed(_) | NodeFact::Leaving(_) | NodeFact::Stayed(_) => false,
        });
        let signs = facts.map_while(move |(fact, left)| match fact {
            NodeFact::Crashed(sign) if sign.print == print => Some((sign.clone(), left)),
            _ => None,
        });
        signs.filter(|(sign, _)| !self.set.contains(&NodeFact::Completed(sign.clone())))
    }
}
