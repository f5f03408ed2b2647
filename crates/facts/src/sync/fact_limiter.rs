use base::{ByteCount, ClockTime};

/// Average bytes per second for the synchronization of facts; all control traffic may take 11 KB/s.
const BYTES_PER_SECOND: u64 = 3_000;
/// Largest burst in bytes: a node that joins gets a full set of 512 facts at once, and the burst
/// covers that and the requests for it.
const BURST_BYTES: u64 = 96_000;
const SECOND_MS: u64 = 1_000;

/// Rate limiter (token bucket) for the bytes that a node spends on synchronizing facts. A node has
/// one for the requests that it sends and one for those that it answers.
///
/// ```
/// use base::{ByteCount, ClockTime};
/// use facts::FactLimiter;
/// let mut limiter = FactLimiter::default();
/// let now = ClockTime::new(1_000);
/// assert!(limiter.has_credit(now));
/// limiter.charge(now, ByteCount(100_000));
/// assert!(!limiter.has_credit(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FactLimiter {
    /// Bytes that may be sent now, times 1,000.
    credit: u64,
    /// Bytes sent in excess of the credit, times 1,000; repaid before credit accrues.
    debt: u64,
    refilled_at: ClockTime,
}

impl Default for FactLimiter {
    fn default() -> Self {
        Self {
            credit: BURST_BYTES * SECOND_MS,
            debt: 0,
            refilled_at: ClockTime::ZERO,
        }
    }
}

impl FactLimiter {
    /// Whether another request may be sent or answered now.
    pub fn has_credit(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        self.credit > 0
    }

    /// Charges the bytes of a request and its response.
    pub fn charge(&mut self, now: ClockTime, bytes: ByteCount) {
        self.refill(now);
        let cost = bytes.0.saturating_mul(SECOND_MS);
        self.debt += cost.saturating_sub(self.credit);
        self.credit = self.credit.saturating_sub(cost);
    }

    fn refill(&mut self, now: ClockTime) {
        let gain = (now - self.refilled_at)
            .as_millis()
            .saturating_mul(BYTES_PER_SECOND);
        self.refilled_at = now.max(self.refilled_at);
        let surplus = gain.saturating_sub(self.debt);
        self.debt = self.debt.saturating_sub(gain);
        self.credit = (self.credit + surplus).min(BURST_BYTES * SECOND_MS);
    }
}
