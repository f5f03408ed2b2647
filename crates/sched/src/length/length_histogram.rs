use super::{LENGTH_BINS, LengthCurve, bin_of};

/// Observations after which an old one counts half.
const HALF_LIFE: f64 = 512.0;
/// Weight of a new observation at which all counts are scaled down again.
const RESCALE_AT: f64 = 1e9;

/// Lengths of outputs, newer ones weighing more.
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
    step: f64,
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
            step: 1.0,
        }
    }

    /// Adds one output of `tokens` tokens.
    pub fn add(&mut self, tokens: u32) {
        self.step *= (1.0 / HALF_LIFE).exp2();
        if self.step > RESCALE_AT {
            self.rescale();
        }
        self.counts[bin_of(tokens)] += self.step;
        self.sum += self.step;
    }

    /// Observations that the histogram is worth after decay.
    pub fn weight(&self) -> f64 {
        self.sum / self.step
    }

    /// Mixes the histogram into a curve that is worth `weight` observations.
    pub fn blend_into(&self, curve: &mut LengthCurve, weight: f64) {
        curve.blend(weight, &self.counts, 1.0 / self.step);
    }

    fn rescale(&mut self) {
        for count in &mut self.counts {
            *count /= self.step;
        }
        self.sum /= self.step;
        self.step = 1.0;
    }
}
