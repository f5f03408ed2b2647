use base::{ClockTime, TimeSpan};

/// When the parts of a move were done, for its log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MoveTimes {
    started_at: ClockTime,
    copied_at: ClockTime,
    stopped_at: ClockTime,
}

impl MoveTimes {
    /// Starts a move.
    pub fn new(now: ClockTime) -> Self {
        Self {
            started_at: now,
            copied_at: now,
            stopped_at: now,
        }
    }

    /// Notes that a copy was answered: first the whole one, then the one that stops the source.
    pub fn end_copy(&mut self, now: ClockTime) {
        if self.copied_at == self.started_at {
            self.copied_at = now;
        }
        self.stopped_at = now;
    }

    /// Time of the whole copy, while the generation goes on.
    pub fn copy(&self) -> TimeSpan {
        self.copied_at.since(self.started_at)
    }

    /// Time of the order to stop and of the rest of the copy.
    pub fn stop(&self) -> TimeSpan {
        self.stopped_at.since(self.copied_at)
    }

    /// Time until another engine went on.
    pub fn resume(&self, now: ClockTime) -> TimeSpan {
        now.since(self.stopped_at)
    }
}
