use rand::Rng;
use rand_distr::{Distribution, LogNormal, Pareto};

/// Distribution of a length in tokens: a log-normal body with a Pareto tail, clamped.
///
/// ```
/// use rand::SeedableRng;
/// let lengths = load::LengthDistribution::new(20.0, 0.5, 1, 64);
/// let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// assert!((1..=64).contains(&lengths.sample(&mut random, 1.0)));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct LengthDistribution {
    /// Median of the body in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of the body.
    pub sigma: f64,
    /// Share of lengths drawn from the tail.
    pub tail_share: f64,
    /// Smallest length of the tail in tokens.
    pub tail_start: f64,
    /// Exponent of the tail; smaller is heavier.
    pub tail_alpha: f64,
    /// Shortest length.
    pub min: u32,
    /// Longest length.
    pub max: u32,
}

impl LengthDistribution {
    /// Creates a distribution without a tail.
    pub fn new(median: f64, sigma: f64, min: u32, max: u32) -> Self {
        Self {
            median,
            sigma,
            tail_share: 0.0,
            tail_start: f64::from(max),
            tail_alpha: 1.0,
            min,
            max,
        }
    }

    /// Returns this distribution with a Pareto tail.
    #[must_use]
    pub fn with_tail(mut self, share: f64, start: f64, alpha: f64) -> Self {
        self.tail_share = share;
        self.tail_start = start;
        self.tail_alpha = alpha;
        self
    }

    /// Draws a length; if it comes from the body, it is scaled by `factor`.
    pub fn sample(&self, random: &mut impl Rng, factor: f64) -> u32 {
        let drawn = match random.random_bool(self.tail_share) {
            true => sample_tail(self, random),
            false => sample_body(self, random) * factor,
        };
        (drawn.round() as u32).clamp(self.min, self.max)
    }
}

fn sample_body(lengths: &LengthDistribution, random: &mut impl Rng) -> f64 {
    let body = LogNormal::new(lengths.median.max(1.0).ln(), lengths.sigma);
    body.map_or(lengths.median, |body| body.sample(random))
}

fn sample_tail(lengths: &LengthDistribution, random: &mut impl Rng) -> f64 {
    let tail = Pareto::new(lengths.tail_start, lengths.tail_alpha);
    tail.map_or(lengths.tail_start, |tail| tail.sample(random))
}
