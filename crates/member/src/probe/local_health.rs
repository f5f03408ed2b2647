use base::TimeSpan;

/// Highest score; times are then lengthened by a factor of five.
const MAX_HEALTH_SCORE: u32 = 4;

/// Lifeguard's local health multiplier: the higher the score, the more likely this node itself is
/// slow, and the longer it waits before it suspects a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Raises the score by a number of signs that this node is slow.
    pub(crate) fn worsen(&mut self, signs: u32) {
        self.score = self.score.saturating_add(signs).min(MAX_HEALTH_SCORE);
    }

    /// Lowers the score by one, after a probe that was answered in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a time by the score plus one.
    pub(crate) fn scale(&self, span: TimeSpan) -> TimeSpan {
        span * u64::from(self.score + 1)
    }
}
