/// Quantiles whose predictions are compared with actual lengths.
const CHECKED_QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Accuracy of length predictions: the share of outputs no longer than their predicted quantiles.
///
/// ```
/// let mut calibration = sched::LengthCalibration::default();
/// calibration.add(80, [64, 200, 900]);
/// assert_eq!(calibration.coverage(0.5), 0.0);
/// assert_eq!(calibration.coverage(0.9), 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LengthCalibration {
    count: u64,
    /// Number of outputs no longer than predicted, for each checked quantile.
    within: [u64; 3],
}

impl LengthCalibration {
    /// The quantiles that are checked.
    pub const fn quantiles() -> [f64; 3] {
        CHECKED_QUANTILES
    }

    /// Adds an actual length and the lengths that were predicted for the checked quantiles.
    pub fn add(&mut self, length: u32, predicted: [u32; 3]) {
        self.count += 1;
        for (within, predicted) in self.within.iter_mut().zip(predicted) {
            *within += u64::from(length <= predicted);
        }
    }

    /// Number of outputs added.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Share of outputs no longer than predicted for a checked quantile; 0 for other quantiles.
    pub fn coverage(&self, quantile: f64) -> f64 {
        let index = CHECKED_QUANTILES
            .iter()
            .position(|checked| *checked == quantile);
        let within = index.map_or(0, |index| self.within[index]);
        within as f64 / self.count.max(1) as f64
    }
}
