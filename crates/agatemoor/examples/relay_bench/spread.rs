use std::fmt;

/// Least, median and greatest of some figures.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    min: f64,
    median: f64,
    max: f64,
}

impl Spread {
    /// Creates the spread of at least one figure.
    pub fn new(figures: impl IntoIterator<Item = f64>) -> Self {
        let mut figures: Vec<f64> = figures.into_iter().collect();
        figures.sort_by(f64::total_cmp);
        let at = |place: usize| figures.get(place).copied().unwrap_or(f64::NAN);
        Self {
            min: at(0),
            median: at(figures.len() / 2),
            max: at(figures.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} / {:.3} / {:.3}", self.min, self.median, self.max)
    }
}
