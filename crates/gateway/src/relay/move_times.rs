use base::{ClockTime, TimeSpan};

/// When the phases of a move ended, for its log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MoveTimes {
    started_at: ClockTime,
    copied_at: ClockTime,
    stopped_at: ClockTime,
}

impl MoveTimes {
    /// Times of a move that starts now.
    pub fn new(now: ClockTime) -> Self {
        Self {
            started_at: now,
            copied_at: now,
            stopped_at: now,
        }
    }

    /// Records that a copy request was answered: the first one copies the whole KV cache, the second
    /// one stops the source and copies the rest.
    pub fn record_copy(&mut self, now: ClockTime) {
        if self.copied_at == self.started_at {
            self.copied_at = now;
        }
        self.stopped_at = now;
    }

    /// Duration of the first copy, during which the source goes on generating.
    pub fn copy_time(&self) -> TimeSpan {
        self.copied_at.since(self.started_at)
    }

    /// Duration of the request that stops the source and copies the rest.
    pub fn stop_time(&self) -> TimeSpan {
        self.stopped_at.since(self.copied_at)
    }

    /// Time from the end of the copy until the generation resumed on another engine.
    pub fn resume_time(&self, now: ClockTime) -> TimeSpan {
        now.since(self.stopped_at)
    }
}
