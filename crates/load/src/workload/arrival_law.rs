use rand::Rng;
use rand_distr::{Distribution, Exp1};

const MICROS_PER_SEC: f64 = 1_000_000.0;

/// How the rate of open-loop arrivals changes; its mean over a period is one.
///
/// ```
/// let law = load::ArrivalLaw::Burst { period: 30.0, length: 3.0, factor: 4.0 };
/// assert_eq!(law.factor_at(1.0), 4.0);
/// assert!(law.factor_at(10.0) < 1.0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalLaw {
    /// A constant rate.
    Poisson,
    /// The rate is multiplied by `factor` for `length` seconds in each `period` and lower
    /// between the bursts.
    Burst {
        /// Seconds from burst to burst.
        period: f64,
        /// Seconds of a burst.
        length: f64,
        /// Rate in a burst over the mean rate.
        factor: f64,
    },
    /// The rate swings by `swing` around its mean, as over the day of a shift.
    Shift {
        /// Seconds of a whole swing.
        period: f64,
        /// Largest relative deviation from the mean rate.
        swing: f64,
    },
}

impl ArrivalLaw {
    /// Rate at `seconds` over the mean rate.
    pub fn factor_at(&self, seconds: f64) -> f64 {
        match *self {
            Self::Poisson => 1.0,
            Self::Burst {
                period,
                length,
                factor,
            } => match seconds % period < length {
                true => factor,
                false => ((period - length * factor) / (period - length)).max(0.0),
            },
            Self::Shift { period, swing } => {
                1.0 + swing * (std::f64::consts::TAU * seconds / period).sin()
            }
        }
    }

    /// Draws arrival times in microseconds for `seconds` at a mean `rate` per second.
    pub fn draw_times(&self, random: &mut impl Rng, rate: f64, seconds: f64) -> Vec<u64> {
        let mut times = Vec::new();
        let peak = rate * self.peak_factor();
        if peak <= 0.0 {
            return times;
        }
        let mut at = 0.0;
        loop {
            let step: f64 = Exp1.sample(random);
            at += step / peak;
            if at >= seconds {
                return times;
            }
            // Thinning (Lewis and Shedler, 1979) turns the peak rate into the rate at `at`.
            if random.random_bool((self.factor_at(at) * rate / peak).clamp(0.0, 1.0)) {
                times.push((at * MICROS_PER_SEC) as u64);
            }
        }
    }

    fn peak_factor(&self) -> f64 {
        match *self {
            Self::Poisson => 1.0,
            Self::Burst { factor, .. } => factor.max(1.0),
            Self::Shift { swing, .. } => 1.0 + swing,
        }
    }
}
