use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::{TargetBackoff, TargetState};

/// Largest number of runs that are kept.
const RUN_LIMIT: usize = 1_024;

/// Backoffs that runs of targets asked for and that are not over, while the runs are not listed. The
/// entry of a run may lapse and come back, and the run asks for its backoff only once.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use entry::BackoffMemory;
/// let (now, run) = (ClockTime::new(1_000), ("e1".parse().unwrap(), IncarnationNumber(1)));
/// let mut memory = BackoffMemory::default();
/// memory.start(now, &run, TimeSpan::from_secs(5));
/// assert_eq!(memory.take(&run).left(now), Some(TimeSpan::from_secs(5)));
/// assert_eq!(memory.take(&run).left(now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BackoffMemory {
    /// Sorted by run.
    runs: Vec<((TargetName, IncarnationNumber), TargetBackoff)>,
}

impl BackoffMemory {
    /// Keeps the backoff of a target that is dropped, unless it is over.
    pub fn keep(&mut self, now: ClockTime, state: &TargetState) {
        if !state.backoff.is_over(now) {
            self.insert(now, state.run(), state.backoff);
        }
    }

    /// Starts a backoff of a run that is not listed; returns the time for which it holds.
    pub fn start(
        &mut self,
        now: ClockTime,
        run: &(TargetName, IncarnationNumber),
        span: TimeSpan,
    ) -> TimeSpan {
        let mut backoff = self.take(run);
        let applied = backoff.start(now, span);
        self.insert(now, run.clone(), backoff);
        applied
    }

    /// Removes and returns the backoff of a run; one that holds nothing back if there is none.
    pub fn take(&mut self, run: &(TargetName, IncarnationNumber)) -> TargetBackoff {
        let found = self.runs.binary_search_by(|(known, _)| known.cmp(run));
        found.map_or(TargetBackoff::default(), |at| self.runs.remove(at).1)
    }

    /// Without room, the backoff is not kept: it takes more targets than lapse at a time.
    fn insert(
        &mut self,
        now: ClockTime,
        run: (TargetName, IncarnationNumber),
        backoff: TargetBackoff,
    ) {
        self.runs.retain(|(_, backoff)| !backoff.is_over(now));
        if self.runs.len() >= RUN_LIMIT {
            return;
        }
        match self.runs.binary_search_by(|(known, _)| known.cmp(&run)) {
            Ok(at) => self.runs[at].1 = backoff,
            Err(at) => self.runs.insert(at, (run, backoff)),
        }
    }
}
