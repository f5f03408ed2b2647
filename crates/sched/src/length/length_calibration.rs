/// Quantiles whose predictions are checked against outcomes.
const CHECKED: [f64; 3] = [0.5, 0.9, 0.99];

/// Share of outcomes that stayed at or below their predicted quantiles.
///
/// ```
/// let mut calibration = sched::LengthCalibration::default();
/// calibration.add(80, [64, 200, 900]);
/// assert_eq!(calibration.share_below(0.5), 0.0);
/// assert_eq!(calibration.share_below(0.9), 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LengthCalibration {
    count: u64,
    below: [u64; 3],
}

impl LengthCalibration {
    /// The quantiles that are checked.
    pub const fn quantiles() -> [f64; 3] {
        CHECKED
    }

    /// Adds an outcome and the lengths that were predicted for the checked quantiles.
    pub fn add(&mut self, outcome: u32, predicted: [u32; 3]) {
        self.count += 1;
        for (below, predicted) in self.below.iter_mut().zip(predicted) {
            *below += u64::from(outcome <= predicted);
        }
    }

    /// Outcomes seen.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Share of outcomes below the prediction of a checked quantile; 0 for any other quantile.
    pub fn share_below(&self, quantile: f64) -> f64 {
        let index = CHECKED.iter().position(|checked| *checked == quantile);
        let below = index.map_or(0, |index| self.below[index]);
        below as f64 / self.count.max(1) as f64
    }
}
