use super::{LENGTH_BINS, LengthDistribution, bin_index};

/// Number of further observations after which the weight of an observation has halved.
const HALF_LIFE: f64 = 512.0;
/// Weight of a new observation above which all counts are scaled down to keep them bounded.
const RESCALE_AT: f64 = 1e9;

/// Histogram of output lengths with exponential decay: newer outputs have more weight.
///
/// ```
/// let mut histogram = sched::LengthHistogram::new();
/// histogram.add(100);
/// assert!(histogram.weight() > 0.99);
/// ```
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    counts: [f64; LENGTH_BINS],
    sum: f64,
    /// Weight of the latest observation; it grows with each one, so that older ones need no update.
    newest_weight: f64,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl LengthHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self {
            counts: [0.0; LENGTH_BINS],
            sum: 0.0,
            newest_weight: 1.0,
        }
    }

    /// Adds one output of `tokens` tokens.
    pub fn add(&mut self, tokens: u32) {
        self.newest_weight *= (1.0 / HALF_LIFE).exp2();
        if self.newest_weight > RESCALE_AT {
            self.rescale();
        }
        self.counts[bin_index(tokens)] += self.newest_weight;
        self.sum += self.newest_weight;
    }

    /// Effective number of observations after decay.
    pub fn weight(&self) -> f64 {
        self.sum / self.newest_weight
    }

    /// Mixes the histogram into a distribution that counts as `weight` observations.
    pub fn blend_into(&self, distribution: &mut LengthDistribution, weight: f64) {
        distribution.blend(weight, &self.counts, 1.0 / self.newest_weight);
    }

    /// Divides all weights by that of the latest observation.
    fn rescale(&mut self) {
        for count in &mut self.counts {
            *count /= self.newest_weight;
        }
        self.sum /= self.newest_weight;
        self.newest_weight = 1.0;
    }
}
