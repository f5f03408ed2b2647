use std::fmt;

/// Minimum, median and maximum of samples.
#[derive(Clone, Copy, Debug)]
pub struct SampleSummary {
    min: f64,
    median: f64,
    max: f64,
}

impl SampleSummary {
    /// Computes the summary of at least one sample.
    pub fn new(samples: impl IntoIterator<Item = f64>) -> Self {
        let mut samples: Vec<f64> = samples.into_iter().collect();
        samples.sort_by(f64::total_cmp);
        let at = |index: usize| samples.get(index).copied().unwrap_or(f64::NAN);
        Self {
            min: at(0),
            median: at(samples.len() / 2),
            max: at(samples.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for SampleSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} / {:.3} / {:.3}", self.min, self.median, self.max)
    }
}
