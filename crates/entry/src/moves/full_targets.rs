use base::{ClockTime, TargetName, TimeSpan};

/// Time for which an engine without room gets no copies. Generations of average size end at a rate
/// that frees memory for one more within about that time.
const FULL_TIME: TimeSpan = TimeSpan::new(600);

/// Engines that refused copies lately, because they had no room.
///
/// All generations of a node share it, and nodes tell it to the coordinators that they ask for
/// destinations. Without it, each generation that leaves an engine asks the same full destination
/// anew. Holds at most one entry for each engine.
///
/// ```
/// use base::ClockTime;
/// let mut full = entry::FullTargets::default();
/// let (now, engine) = (ClockTime::new(1_000), "e1".parse().unwrap());
/// full.mark(now, &engine);
/// assert_eq!(full.names(now), [engine]);
/// assert!(full.names(ClockTime::new(2_000)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct FullTargets {
    /// Engines, each with the time from which it may be tried again.
    entries: Vec<(TargetName, ClockTime)>,
}

impl FullTargets {
    /// Records that an engine refused a copy.
    pub fn mark(&mut self, now: ClockTime, target: &TargetName) {
        self.set(now, target, now + FULL_TIME);
    }

    /// Adopts what another node knows: engines, each with the time for which it still gets no copies.
    pub fn adopt(&mut self, now: ClockTime, entries: &[(TargetName, TimeSpan)]) {
        for (target, left) in entries {
            let until = now + (*left).min(FULL_TIME);
            let known = self.entries.iter().find(|(known, _)| known == target);
            if known.is_none_or(|(_, known)| *known < until) {
                self.set(now, target, until);
            }
        }
    }

    /// Engines that get no copies now, each with the time for which that holds.
    pub fn entries(&self, now: ClockTime) -> Vec<(TargetName, TimeSpan)> {
        let full = self.entries.iter().filter(|(_, until)| *until > now);
        full.map(|(target, until)| (target.clone(), until.since(now)))
            .collect()
    }

    /// Engines that get no copies now.
    pub fn names(&self, now: ClockTime) -> Vec<TargetName> {
        let full = self.entries.iter().filter(|(_, until)| *until > now);
        full.map(|(target, _)| target.clone()).collect()
    }

    fn set(&mut self, now: ClockTime, target: &TargetName, until: ClockTime) {
        self.entries
            .retain(|(known, until)| known != target && *until > now);
        self.entries.push((target.clone(), until));
    }
}
