use super::{LENGTH_BINS, bin_index, bin_start};

/// Tail probability below which a prediction conditional on it is not meaningful.
const MIN_TAIL: f64 = 1e-9;

/// Predicted distribution of output lengths, as the tail probability at the start of each bin.
///
/// ```
/// let distribution = sched::LengthDistribution::prior();
/// assert_eq!(distribution.at_least(0), 1.0);
/// assert!(distribution.at_least(1_000) < distribution.at_least(100));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct LengthDistribution {
    /// Probability that an output is at least as long as the start of each bin.
    tails: [f64; LENGTH_BINS + 1],
}

impl LengthDistribution {
    /// Prior used without observations: log-logistic with a median of 128 tokens.
    pub fn prior() -> Self {
        let tail = |bin| 1.0 / (1.0 + f64::from(bin_start(bin)) / 128.0).powf(1.5);
        let mut tails: [f64; LENGTH_BINS + 1] = std::array::from_fn(tail);
        tails[0] = 1.0;
        tails[LENGTH_BINS] = 0.0;
        Self { tails }
    }

    /// Mixes observed counts, multiplied by `scale`, into the distribution, which itself counts as
    /// `weight` observations.
    pub(super) fn blend(&mut self, weight: f64, counts: &[f64; LENGTH_BINS], scale: f64) {
        let mut sum = 0.0;
        let mut tails = [0.0; LENGTH_BINS + 1];
        for bin in (0..LENGTH_BINS).rev() {
            sum += counts[bin] * scale;
            tails[bin] = sum;
        }
        for (own, tail) in self.tails.iter_mut().zip(tails) {
            *own = (*own * weight + tail) / (weight + sum);
        }
    }

    /// Probability that an output has at least `tokens` tokens.
    pub fn at_least(&self, tokens: u32) -> f64 {
        let bin = bin_index(tokens);
        let start = bin_start(bin);
        let width = bin_start(bin + 1) - start;
        let into = f64::from(tokens - start).min(f64::from(width)) / f64::from(width);
        self.tails[bin] - (self.tails[bin] - self.tails[bin + 1]) * into
    }

    /// Probability that an output of at most `cap` tokens that has `produced` tokens continues for
    /// `more` tokens.
    pub fn survival(&self, produced: u32, more: u32, cap: u32) -> f64 {
        let end = produced.saturating_add(more);
        if more > 0 && end >= cap {
            return 0.0;
        }
        let base = self.at_least(produced);
        if base < MIN_TAIL {
            return if more == 0 { 1.0 } else { 0.0 };
        }
        (self.at_least(end) / base).min(1.0)
    }

    /// Expected number of further tokens after `produced`, up to `cap` in all.
    pub fn mean_remaining(&self, produced: u32, cap: u32) -> f64 {
        let base = self.at_least(produced);
        if base < MIN_TAIL || produced >= cap {
            return 0.0;
        }
        let mut area = 0.0;
        let mut left = produced;
        let mut left_tail = base;
        for bin in bin_index(produced)..LENGTH_BINS {
            let right = bin_start(bin + 1).min(cap);
            if right <= left {
                break;
            }
            let right_tail = self.at_least(right);
            area += 0.5 * (left_tail + right_tail) * f64::from(right - left);
            left = right;
            left_tail = right_tail;
        }
        area / base
    }

    /// Total length that an output does not exceed with probability `share`, given `produced`.
    pub fn quantile(&self, share: f64, produced: u32, cap: u32) -> u32 {
        let goal = self.at_least(produced) * (1.0 - share);
        let bin = (bin_index(produced)..LENGTH_BINS).find(|bin| self.tails[bin + 1] <= goal);
        let Some(bin) = bin else {
            return cap;
        };
        let start = bin_start(bin);
        let width = f64::from(bin_start(bin + 1) - start);
        let fall = self.tails[bin] - self.tails[bin + 1];
        let into = if fall > 0.0 {
            (self.tails[bin] - goal) / fall
        } else {
            1.0
        };
        let length = start + (width * into.clamp(0.0, 1.0)).ceil() as u32;
        length.max(produced).min(cap)
    }
}
