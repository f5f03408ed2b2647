use base::TimeSpan;

/// Longest factor on the times of the protocol, less one.
const HEALTH_LIMIT: u32 = 4;

/// How much this node distrusts its own observations (Lifeguard's local health multiplier).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Notes signs that this node is slow.
    pub(crate) fn worsen(&mut self, signs: u32) {
        self.score = self.score.saturating_add(signs).min(HEALTH_LIMIT);
    }

    /// Notes a probe that was answered in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Lengthens a time while this node is slow.
    pub(crate) fn scale(&self, span: TimeSpan) -> TimeSpan {
        span * u64::from(self.score + 1)
    }
}
