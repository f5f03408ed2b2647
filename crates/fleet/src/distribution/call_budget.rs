use base::ClockTime;

/// Token bucket that limits the rate of this node's platform calls.
#[derive(Clone, Debug)]
pub struct CallBudget {
    per_second: u64,
    burst: u64,
    /// Tokens left, in thousandths of a call.
    milli_calls: u64,
    filled_at: ClockTime,
}

impl CallBudget {
    /// Creates a full bucket.
    pub fn new(per_second: u64, burst: u64) -> Self {
        Self {
            per_second,
            burst,
            milli_calls: burst * 1_000,
            filled_at: ClockTime::ZERO,
        }
    }

    /// Takes tokens for `calls` calls; returns false and takes none if there are fewer.
    pub fn take(&mut self, now: ClockTime, calls: u64) -> bool {
        let elapsed = (now - self.filled_at).as_millis();
        let filled = elapsed.saturating_mul(self.per_second);
        self.milli_calls = (self.milli_calls.saturating_add(filled)).min(self.burst * 1_000);
        self.filled_at = self.filled_at.max(now);
        if self.milli_calls < calls * 1_000 {
            return false;
        }
        self.milli_calls -= calls * 1_000;
        true
    }
}
