use std::collections::VecDeque;

use base::ClockTime;

/// Number of samples kept, for more than 2 s; reports are at most 2 s late.
const SAMPLE_LIMIT: usize = 96;
/// Changes closer together than this are combined into one sample.
const SAMPLE_GAP_MS: u64 = 25;

/// Recent history of the tokens and sequences that the node knew to be on a target.
///
/// A late load report is compared with what was known at the time of its measurement.
///
/// ```
/// use base::ClockTime;
/// let mut history = sched::ViewHistory::default();
/// history.push(ClockTime::new(100), 500, 2);
/// history.push(ClockTime::new(200), 800, 3);
/// assert_eq!(history.at(ClockTime::new(150)), (500, 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ViewHistory {
    /// Time, tokens and sequences, oldest first.
    samples: VecDeque<(ClockTime, u64, u32)>,
}

impl ViewHistory {
    /// Records the tokens and sequences known from `now` on.
    pub fn push(&mut self, now: ClockTime, tokens: u64, sequences: u32) {
        if let Some(last) = self.samples.back_mut()
            && now.since(last.0).as_millis() < SAMPLE_GAP_MS
        {
            (last.1, last.2) = (tokens, sequences);
            return;
        }
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, tokens, sequences));
    }

    /// Returns the tokens and sequences known at `time`.
    pub fn at(&self, time: ClockTime) -> (u64, u32) {
        let index = self.samples.partition_point(|sample| sample.0 <= time);
        let sample = index
            .checked_sub(1)
            .and_then(|index| self.samples.get(index));
        sample.map_or((0, 0), |sample| (sample.1, sample.2))
    }
}
